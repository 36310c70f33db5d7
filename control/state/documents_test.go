package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

func putDocument(s *State, index, number uint64, content string) *rpc.DocumentAnswer {
	return s.Execute(index, &rpc.Command{Action: &rpc.Command_PutDocument{PutDocument: &rpc.PutDocument{
		Document: &rpc.Document{Name: "routes", Number: number, Content: []byte(content)},
	}}}).GetDocument()
}

// Two operators race, and one of them resends an older document after its
// acknowledgement was lost. The older content must not replace the newer one
// that was acknowledged.
func TestLowerDocumentNumberIsNotStored(t *testing.T) {
	s := New(DefaultLimits())
	assert.Equal(t, putDocument(s, 1, 7, "seven").GetStored(), true)
	late := putDocument(s, 2, 5, "five")
	assert.Equal(t, late.GetStored(), false)
	assert.Equal(t, late.GetNumber(), uint64(7))
	assert.Equal(t, string(s.Document("routes").GetContent()), "seven")
}

// An operator reuses a number with another content. If it were stored, the
// content acknowledged under the number would change without a new number, and
// instances that have the first content would never fetch the second.
func TestEqualDocumentNumberKeepsFirstContent(t *testing.T) {
	s := New(DefaultLimits())
	putDocument(s, 1, 7, "first")
	assert.Equal(t, putDocument(s, 2, 7, "second").GetStored(), false)
	assert.Equal(t, string(s.Document("routes").GetContent()), "first")
}

// A replica that restarts or joins starts from a snapshot. A snapshot without
// the documents would lose acknowledged changes.
func TestDocumentsSurviveSnapshotRestore(t *testing.T) {
	s := New(DefaultLimits())
	putDocument(s, 1, 7, "seven")
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored := New(DefaultLimits())
	assert.NilError(t, restored.Restore(data))
	assert.Equal(t, string(restored.Document("routes").GetContent()), "seven")
	assert.Equal(t, putDocument(restored, 2, 6, "six").GetStored(), false)
	assert.Equal(t, len(restored.Documents()), 1)
}
