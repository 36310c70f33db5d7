package store

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// A crash comes while a small file is replaced. An entry instance that restarts
// then needs one whole configuration, the old or the new.
func TestAtomicFileSurvivesCrashes(t *testing.T) {
	d := newCrashDisk(t)
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

// A disk returns other bytes than were written, or less of them. An instance that
// starts from them would work by a configuration that nobody accepted.
func TestAtomicFileReportsEveryDamagedByte(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, WriteAtomic(dir, "config", []byte("content")))
	path := filepath.Join(dir, "config")
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	for i := range b {
		b[i] ^= 1
		_, damage := decodeAtomic(b)
		assert.Assert(t, damage != nil, "byte %d", i)
		b[i] ^= 1
	}
	assert.NilError(t, os.Truncate(path, int64(len(b)-1)))
	_, err = ReadAtomic(dir, "config")
	var damaged *CorruptionError
	assert.Assert(t, errors.As(err, &damaged))
	assert.Equal(t, damaged.File, path)
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
