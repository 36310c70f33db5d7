package store

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// crashDisk records what is durable: the content of files as of their last sync,
// and the names in a directory as of its last sync. After every operation it
// calls check with two copies of the folder as a crash could leave them, one
// with all that was written and one with only what is durable.
type crashDisk struct {
	osFiles
	t       *testing.T
	root    string
	content map[uint64][]byte
	names   map[uint64]map[string]node
	check   func(op Op, dir string)
	// failSync makes the next sync of a file fail.
	failSync bool
}

type node struct {
	inode uint64
	dir   bool
}

func newCrashDisk(t *testing.T) *crashDisk {
	d := &crashDisk{t: t, root: t.TempDir(), content: map[uint64][]byte{}, names: map[uint64]map[string]node{}}
	d.check = func(Op, string) {}
	assert.NilError(t, d.syncDir(d.root))
	return d
}

func (d *crashDisk) inode(path string) uint64 {
	var st unix.Stat_t
	assert.NilError(d.t, unix.Stat(path, &st))
	return st.Ino
}

func (d *crashDisk) write(f *os.File, b []byte) error {
	half := len(b) / 2
	assert.NilError(d.t, d.osFiles.write(f, b[:half]))
	d.crash(OpWrite)
	err := d.osFiles.write(f, b[half:])
	d.crash(OpWrite)
	return err
}

func (d *crashDisk) sync(f *os.File) error {
	if d.failSync {
		d.failSync = false
		return failed(OpSync, f.Name(), unix.EIO)
	}
	b, err := os.ReadFile(f.Name())
	assert.NilError(d.t, err)
	d.content[d.inode(f.Name())] = b
	d.crash(OpSync)
	return nil
}

func (d *crashDisk) syncDir(dir string) error {
	entries, err := os.ReadDir(dir)
	assert.NilError(d.t, err)
	names := map[string]node{}
	for _, e := range entries {
		names[e.Name()] = node{inode: d.inode(filepath.Join(dir, e.Name())), dir: e.IsDir()}
	}
	d.names[d.inode(dir)] = names
	d.crash(OpSync)
	return nil
}

func (d *crashDisk) rename(from, to string) error {
	err := d.osFiles.rename(from, to)
	d.crash(OpRename)
	return err
}

func (d *crashDisk) remove(path string) error {
	err := d.osFiles.remove(path)
	d.crash(OpRemove)
	return err
}

func (d *crashDisk) crash(op Op) {
	written := d.t.TempDir()
	assert.NilError(d.t, os.CopyFS(written, skipLock{os.DirFS(d.root)}))
	d.check(op, written)
	durable := d.t.TempDir()
	d.restore(d.inode(d.root), durable)
	d.check(op, durable)
}

func (d *crashDisk) restore(inode uint64, to string) {
	for name, n := range d.names[inode] {
		path := filepath.Join(to, name)
		if n.dir {
			assert.NilError(d.t, os.Mkdir(path, dirPerm))
			d.restore(n.inode, path)
			continue
		}
		assert.NilError(d.t, os.WriteFile(path, d.content[n.inode], filePerm))
	}
}

// skipLock is a plain view of a folder; os.CopyFS wants no more.
type skipLock struct{ fs.FS }
