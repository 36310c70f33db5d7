package state

import (
	"maps"
	"slices"

	"github.com/carawaystile/carawaystile/rpc"
)

// documents holds what operators keep under numbers of their own, by name. A
// document is never modified once it is in force, so it may be shared.
//
// Numbers come from outside and arrive in any order: an operator sends again
// what got no answer, to any instance, and two operators race. The highest
// number wins wherever it stands in the log, so that a late message cannot
// bring an older content back. Of two contents under one number the first
// stays: what was acknowledged under a number does not change.
type documents struct {
	rows map[string]*rpc.Document
}

func newDocuments() documents { return documents{rows: map[string]*rpc.Document{}} }

// maxDocuments bounds the names, and maxDocumentBytes the content of one.
const (
	maxDocuments     = 256
	maxDocumentBytes = 8 << 20
)

// put stores the document if its number is higher than that in force. A lower
// number is acknowledged too: the sender cannot know what has overtaken it.
func (d *documents) put(request *rpc.PutDocument) *rpc.Result {
	document := request.GetDocument()
	name := document.GetName()
	if name == "" || len(name) > maxNameBytes || len(document.GetContent()) > maxDocumentBytes {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	current, known := d.rows[name]
	if !known && len(d.rows) >= maxDocuments {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	stored := !known || document.GetNumber() > current.GetNumber()
	if stored {
		d.rows[name] = document
	}
	answer := &rpc.DocumentAnswer{Number: d.rows[name].GetNumber(), Stored: stored}
	return &rpc.Result{Answer: &rpc.Result_Document{Document: answer}}
}

func (d *documents) sorted() []*rpc.Document {
	sorted := make([]*rpc.Document, 0, len(d.rows))
	for _, name := range slices.Sorted(maps.Keys(d.rows)) {
		sorted = append(sorted, d.rows[name])
	}
	return sorted
}

func (d *documents) load(snapshot *rpc.Snapshot) {
	for _, document := range snapshot.GetDocuments() {
		d.rows[document.GetName()] = document
	}
}

// Document returns the document in force under a name, nil if there is none.
// The caller must not change it.
func (s *State) Document(name string) *rpc.Document { return s.documents.rows[name] }

// Documents returns all documents in force, by name. The caller must not change
// them.
func (s *State) Documents() []*rpc.Document { return s.documents.sorted() }
