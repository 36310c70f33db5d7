package store

import (
	"os"
	"path/filepath"
)

// fileSystem contains the operations whose order and failures decide what
// survives a crash. Tests replace it to simulate crashes.
type fileSystem interface {
	write(f *os.File, b []byte) error
	sync(f *os.File) error
	// syncDir makes the names in a directory durable. Without it, a synced file
	// may still be missing after a crash.
	syncDir(dir string) error
	rename(from, to string) error
	remove(path string) error
}

// osFileSystem is the file system of the operating system.
type osFileSystem struct{}

func (osFileSystem) write(f *os.File, b []byte) error {
	_, err := f.Write(b)
	return wrapIOError(OpWrite, f.Name(), err)
}

func (osFileSystem) sync(f *os.File) error { return wrapIOError(OpSync, f.Name(), f.Sync()) }

func (osFileSystem) syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return wrapIOError(OpOpen, dir, err)
	}
	defer d.Close()
	return wrapIOError(OpSync, dir, d.Sync())
}

func (osFileSystem) rename(from, to string) error {
	return wrapIOError(OpRename, to, os.Rename(from, to))
}

func (osFileSystem) remove(path string) error { return wrapIOError(OpRemove, path, os.RemoveAll(path)) }

// wrapIOError returns err as an *IOError, or nil if err is nil.
func wrapIOError(op Op, file string, err error) error {
	if err == nil {
		return nil
	}
	return &IOError{Op: op, File: file, Cause: err}
}

// createFile creates or truncates a file with the given content and syncs it,
// but not its directory.
func createFile(fs fileSystem, path string, content []byte) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return nil, wrapIOError(OpOpen, path, err)
	}
	if err := fs.write(f, content); err != nil {
		f.Close()
		return nil, err
	}
	if err := fs.sync(f); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file,
// renames it and syncs the directory. After a crash either the old or the new
// content is complete.
func replaceFile(fs fileSystem, path string, content []byte) error {
	temp := path + tempSuffix
	f, err := createFile(fs, temp, content)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return wrapIOError(OpWrite, temp, err)
	}
	if err := fs.rename(temp, path); err != nil {
		return err
	}
	return fs.syncDir(filepath.Dir(path))
}

const (
	filePerm   = 0o600
	dirPerm    = 0o700
	tempSuffix = ".tmp"
)
