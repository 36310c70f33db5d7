package store

import (
	"os"
	"path/filepath"
)

// files are the operations whose order and failure decide what survives a crash.
// Tests put their own in between.
type files interface {
	write(f *os.File, b []byte) error
	sync(f *os.File) error
	// syncDir makes the names in a directory durable: a file that was synced can
	// still be missing after a crash if the directory was not.
	syncDir(dir string) error
	rename(from, to string) error
	remove(path string) error
}

type osFiles struct{}

func (osFiles) write(f *os.File, b []byte) error {
	_, err := f.Write(b)
	return failed(OpWrite, f.Name(), err)
}

func (osFiles) sync(f *os.File) error { return failed(OpSync, f.Name(), f.Sync()) }

func (osFiles) syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return failed(OpOpen, dir, err)
	}
	defer d.Close()
	return failed(OpSync, dir, d.Sync())
}

func (osFiles) rename(from, to string) error { return failed(OpRename, to, os.Rename(from, to)) }

func (osFiles) remove(path string) error { return failed(OpRemove, path, os.RemoveAll(path)) }

func failed(op Op, file string, err error) error {
	if err == nil {
		return nil
	}
	return &IOError{Op: op, File: file, Cause: err}
}

// createFile makes a new file with the given content and syncs it, but not the
// directory.
func createFile(fs files, path string, content []byte) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return nil, failed(OpOpen, path, err)
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

// replaceFile puts new content in place of a file, so that after a crash either
// the old or the new one is there as a whole.
func replaceFile(fs files, path string, content []byte) error {
	temp := path + tempSuffix
	f, err := createFile(fs, temp, content)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return failed(OpWrite, temp, err)
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
