package store

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const lockName = "LOCK"

// DataDir is a data folder that this process has locked.
type DataDir struct {
	dir  string
	lock *os.File
	fs   files
}

// OpenDataDir locks a data folder and creates it, and the folders above it, if
// needed. It fails with *Locked if another process, or another Folder of this
// one, has it: two processes that append to one log would overwrite each other.
func OpenDataDir(dir string) (*DataDir, error) {
	f, err := openFolder(osFiles{}, dir)
	return f, trace.Wrap(err)
}

func openFolder(fs files, dir string) (*DataDir, error) {
	if err := makeDir(fs, dir); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, lockName)
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, failed(OpOpen, path, err)
	}
	err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return &DataDir{dir: dir, lock: lock, fs: fs}, nil
	}
	lock.Close()
	if err == unix.EWOULDBLOCK {
		return nil, &LockedError{Dir: dir}
	}
	return nil, failed(OpLock, path, err)
}

// makeDir makes a directory and those above it, and syncs each one that got a
// new entry: a power failure could take the whole folder away otherwise.
func makeDir(fs files, dir string) error {
	err := os.Mkdir(dir, dirPerm)
	if os.IsNotExist(err) {
		if err := makeDir(fs, filepath.Dir(dir)); err != nil {
			return err
		}
		err = os.Mkdir(dir, dirPerm)
	}
	if os.IsExist(err) {
		return nil
	}
	if err != nil {
		return failed(OpOpen, dir, err)
	}
	return fs.syncDir(filepath.Dir(dir))
}

// Close gives the folder free.
func (f *DataDir) Close() error {
	return trace.Wrap(failed(OpLock, f.dir, f.lock.Close()))
}

// Path is the folder's path.
func (f *DataDir) Path() string { return f.dir }

// WriteAtomic is like the function of that name.
func (f *DataDir) WriteAtomic(name string, data []byte) error {
	return trace.Wrap(writeAtomic(f.fs, f.dir, name, data))
}

// ReadAtomic is like the function of that name.
func (f *DataDir) ReadAtomic(name string) ([]byte, error) {
	return ReadAtomic(f.dir, name)
}
