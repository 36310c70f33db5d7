package store

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// A new deployment configures a data directory whose parents don't exist yet.
// The instance must create them instead of failing to start.
func TestOpenDataDirCreatesParents(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b", "c")
	dataDir, err := OpenDataDir(dir)
	assert.NilError(t, err)
	assert.NilError(t, dataDir.WriteAtomic("file", []byte("x")))
	assert.NilError(t, dataDir.Close())
}
