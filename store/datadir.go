package store

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const lockName = "LOCK"

// DataDir is a data directory that this process has locked.
type DataDir struct {
	dir  string
	lock *os.File
	fs   fileSystem
}

// OpenDataDir locks a data directory and creates it and its parents if needed.
// It fails with *LockedError if another process, or another DataDir of this
// process, has locked it: two processes that append to one log would overwrite
// each other's entries. Other failures are an *IOError.
func OpenDataDir(dir string) (*DataDir, error) {
	f, err := openDataDir(osFileSystem{}, dir)
	return f, trace.Wrap(err)
}

func openDataDir(fs fileSystem, dir string) (*DataDir, error) {
	if err := makeDir(fs, dir); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, lockName)
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, wrapIOError(OpOpen, path, err)
	}
	err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return &DataDir{dir: dir, lock: lock, fs: fs}, nil
	}
	lock.Close()
	if err == unix.EWOULDBLOCK {
		return nil, &LockedError{Dir: dir}
	}
	return nil, wrapIOError(OpLock, path, err)
}

// makeDir creates a directory and its parents, and syncs each parent that got a
// new entry. Otherwise a power failure could remove the whole data directory. It
// syncs the parent of an existing directory too: the process that created it may
// have been killed before its sync. A parent that it may not read is not one that
// it has created.
func makeDir(fs fileSystem, dir string) error {
	err := os.Mkdir(dir, dirPerm)
	if os.IsNotExist(err) {
		if err := makeDir(fs, filepath.Dir(dir)); err != nil {
			return err
		}
		err = os.Mkdir(dir, dirPerm)
	}
	if os.IsExist(err) {
		if err := fs.syncDir(filepath.Dir(dir)); !errors.Is(err, os.ErrPermission) {
			return err
		}
		return nil
	}
	if err != nil {
		return wrapIOError(OpOpen, dir, err)
	}
	return fs.syncDir(filepath.Dir(dir))
}

// Close unlocks the directory.
func (d *DataDir) Close() error {
	return trace.Wrap(wrapIOError(OpLock, d.dir, d.lock.Close()))
}

// Path returns the path of the directory.
func (d *DataDir) Path() string { return d.dir }

// WriteAtomic is like the function WriteAtomic for a file in this directory.
func (d *DataDir) WriteAtomic(name string, data []byte) error {
	return trace.Wrap(writeAtomic(d.fs, d.dir, name, data))
}

// ReadAtomic is like the function ReadAtomic for a file in this directory.
func (d *DataDir) ReadAtomic(name string) ([]byte, error) {
	return ReadAtomic(d.dir, name)
}
