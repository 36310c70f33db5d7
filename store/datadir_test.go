package store

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// A new deployment names a data folder whose parents do not exist yet. The
// instance used to refuse to start.
func TestFoldersAboveAreMade(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b", "c")
	folder, err := OpenDataDir(dir)
	assert.NilError(t, err)
	assert.NilError(t, folder.WriteAtomic("file", []byte("x")))
	assert.NilError(t, folder.Close())
}
