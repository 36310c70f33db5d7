package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// A process crashes while it replaces an atomic file. After its restart, an
// entry instance needs one complete configuration, either the old or the new.
func TestAtomicFileSurvivesCrashes(t *testing.T) {
	d := newCrashFS(t)
	assert.NilError(t, writeAtomic(d, d.root, "config", []byte("old")))
	seen := map[string]bool{}
	d.check = func(op Op, dir string) {
		got, err := ReadAtomic(dir, "config")
		assert.NilError(t, err)
		seen[string(got)] = true
	}
	assert.NilError(t, writeAtomic(d, d.root, "config", []byte("new")))
	assert.DeepEqual(t, seen, map[string]bool{"old": true, "new": true})
	d.check(OpSync, d.root)
}

// A disk returns other bytes than were written, or fewer. An instance that
// started from them would apply a configuration that was never accepted.
func TestAtomicFileReportsEveryCorruptByte(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, WriteAtomic(dir, "config", []byte("content")))
	path := filepath.Join(dir, "config")
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	for i := range b {
		b[i] ^= 1
		_, corruption := decodeAtomic(b)
		assert.Assert(t, corruption != nil, "byte %d", i)
		b[i] ^= 1
	}
	assert.NilError(t, os.Truncate(path, int64(len(b)-1)))
	_, err = ReadAtomic(dir, "config")
	var corruption *CorruptionError
	assert.Assert(t, errors.As(err, &corruption))
	assert.Equal(t, corruption.File, path)
}

func TestAtomicFileNames(t *testing.T) {
	dir := t.TempDir()
	var missing *NotFoundError
	_, err := ReadAtomic(dir, "config")
	assert.Assert(t, errors.As(err, &missing))
	var bad *InvalidNameError
	for _, name := range []string{"", ".hidden", "a/b", "..", "x.tmp", lockName, logDirName} {
		assert.Assert(t, errors.As(WriteAtomic(dir, name, nil), &bad), "%q", name)
	}
}
