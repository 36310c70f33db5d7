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

// Two operators race, and one of them sends an older change again after its
// acknowledgement was lost. A user notices when the older content is in force
// again after the newer one was acknowledged.
func TestAnOlderDocumentNeverComesBack(t *testing.T) {
	s := New(DefaultLimits())
	assert.Equal(t, putDocument(s, 1, 7, "seven").GetStored(), true)
	late := putDocument(s, 2, 5, "five")
	assert.Equal(t, late.GetStored(), false)
	assert.Equal(t, late.GetNumber(), uint64(7))
	assert.Equal(t, string(s.Document("routes").GetContent()), "seven")
}

// An operator reuses a number with another content. What was acknowledged under
// the number first would change without a new number, and instances that took
// the first would never hear of the second.
func TestTheFirstContentUnderANumberStays(t *testing.T) {
	s := New(DefaultLimits())
	putDocument(s, 1, 7, "first")
	assert.Equal(t, putDocument(s, 2, 7, "second").GetStored(), false)
	assert.Equal(t, string(s.Document("routes").GetContent()), "first")
}

// A replica that restarts, or joins, starts from a snapshot. Without documents
// in it an acknowledged change would be gone after the next restart.
func TestDocumentsOutliveASnapshot(t *testing.T) {
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
