package state

import (
	"maps"
	"slices"

	"github.com/carawaystile/carawaystile/rpc"
)

// documentStore holds operators' documents by name, each with a version number
// that the operator assigns. A document is immutable once it is in force, so it
// can be shared.
//
// The store is a last-writer-wins register on the version number. Numbers can
// arrive in any order, because operators retry unanswered requests at any
// instance and may race each other. The highest number wins wherever it stands
// in the log, so that a delayed message cannot restore an older content. Of two
// contents with the same number the first is kept, so that the content
// acknowledged under a number does not change.
type documentStore struct {
	rows map[string]*rpc.Document
	pool cachePool
}

func newDocumentStore() documentStore { return documentStore{rows: map[string]*rpc.Document{}} }

// maxDocuments bounds the number of documents, and maxDocumentBytes the content
// of one.
const (
	maxDocuments     = 256
	maxDocumentBytes = 8 << 20
)

// put stores the document if its number is higher than the one in force. A
// lower number is acknowledged too, since its sender cannot know that a newer
// one arrived first. The group is that of the replicas.
func (d *documentStore) put(group uint64, request *rpc.PutDocument) *rpc.Result {
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
		d.rows[name] = &rpc.Document{
			Name: name, Number: document.GetNumber(), Content: document.GetContent(),
			CachePool: d.pool.update(group, document.GetNumber(), request.GetCache()),
		}
	}
	answer := &rpc.DocumentAnswer{Number: d.rows[name].GetNumber(), Stored: stored}
	return &rpc.Result{Answer: &rpc.Result_Document{Document: answer}}
}

func (d *documentStore) sorted() []*rpc.Document {
	sorted := make([]*rpc.Document, 0, len(d.rows))
	for _, name := range slices.Sorted(maps.Keys(d.rows)) {
		sorted = append(sorted, d.rows[name])
	}
	return sorted
}

func (d *documentStore) restore(snapshot *rpc.Snapshot) {
	for _, document := range snapshot.GetDocuments() {
		d.rows[document.GetName()] = document
	}
	d.pool.restore(snapshot.GetCachePool())
}

// Document returns the document in force under a name, nil if there is none.
// The caller must not modify it.
func (s *State) Document(name string) *rpc.Document { return s.documents.rows[name] }

// Documents returns all documents in force, sorted by name. The caller must not
// modify them.
func (s *State) Documents() []*rpc.Document { return s.documents.sorted() }
