package store

import (
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against records that are lost, or that hide later ones, after a crash at any operation.
func TestJournalKeepsRecordsAcrossCrashes(t *testing.T) {
	fs := newCrashFS(t)
	appended, dropped := 0, 0
	fs.check = func(_ Op, dir string) {
		j, records, err := openJournal(osFileSystem{}, dir, "journal")
		assert.NilError(t, err)
		first := 0
		if len(records) > 0 {
			_, err := fmt.Sscan(string(records[0]), &first)
			assert.NilError(t, err)
		}
		assert.Assert(t, first <= dropped && len(records) >= appended-first, "%d records from %d, of %d", len(records), first, appended)
		for i, r := range records {
			assert.Equal(t, string(r), fmt.Sprint(first+i))
		}
		assert.NilError(t, j.Append([]byte("more")))
		assert.NilError(t, j.Close())
		_, again, err := openJournal(osFileSystem{}, dir, "journal")
		assert.NilError(t, err)
		assert.Equal(t, len(again), len(records)+1)
	}
	j, _, err := openJournal(fs, fs.root, "journal")
	assert.NilError(t, err)
	current := 0
	for n := range 12 {
		if n%4 == 3 {
			dropped = current
			assert.NilError(t, j.Rotate())
			current = n
		}
		assert.NilError(t, j.Append(fmt.Append(nil, n)))
		appended = n + 1
	}
	_, records, err := openJournal(osFileSystem{}, fs.root, "journal")
	assert.NilError(t, err)
	assert.Equal(t, string(records[0]), "7")
}

// Guards against records that cannot be read because an earlier write failed half way.
func TestJournalContinuesAfterFailedWrite(t *testing.T) {
	fs := newCrashFS(t)
	fs.check = func(Op, string) {}
	j, _, err := openJournal(fs, fs.root, "journal")
	assert.NilError(t, err)
	fs.failSync = true
	assert.ErrorContains(t, j.Append([]byte("a")), filepath.Join(fs.root, "journal"))
	assert.NilError(t, j.Append([]byte("b")))
	_, records, err := openJournal(osFileSystem{}, fs.root, "journal")
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, string(records[0]), "b")
}
