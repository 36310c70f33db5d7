package router

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Explanation records why a request went to an endpoint, or why it did not run.
type Explanation struct {
	Request tables.RequestID `json:"request"`
	// At is the reading of the router's clock at the decision.
	At tables.Instant `json:"at_nanoseconds"`
	// Endpoint is the chosen endpoint; empty while the request waits.
	Endpoint   tables.EndpointID           `json:"endpoint,omitempty"`
	Candidates []placement.CandidateReport `json:"candidates"`
}

// explanationRing is a ring buffer of the newest explanations, indexed by
// request.
type explanationRing struct {
	entries []Explanation
	index   map[tables.RequestID]int
	next    int
}

func newExplanationRing(size int) explanationRing {
	return explanationRing{entries: make([]Explanation, size), index: make(map[tables.RequestID]int, size)}
}

// slot returns the request's entry. A new request takes the oldest entry.
func (r *explanationRing) slot(id tables.RequestID) *Explanation {
	i, ok := r.index[id]
	if !ok {
		i = r.next
		r.next = (r.next + 1) % len(r.entries)
		delete(r.index, r.entries[i].Request)
		r.index[id] = i
	}
	return &r.entries[i]
}

// Explain returns the last decision on a request, if it is still remembered.
func (r *Router) Explain(id tables.RequestID) (Explanation, bool) {
	i, ok := r.explanations.index[id]
	if !ok {
		return Explanation{}, false
	}
	return r.explanations.entries[i], true
}

func (r *Router) recordExplanation(q *placement.Query, candidates []placement.Candidate, chosen tables.EndpointIndex) {
	row := r.explanations.slot(q.Request.Request.ID)
	row.Request = q.Request.Request.ID
	row.At = q.Now
	row.Endpoint = ""
	if chosen != tables.NoEndpoint {
		row.Endpoint = r.endpoints.Row(chosen).Endpoint.ID
	}
	row.Candidates = r.picker.Explain(row.Candidates[:0], q, candidates)
}

// explainWait records why a request waits. It records only the first decision,
// since the router retries a queued request many times.
func (r *Router) explainWait(q *placement.Query, candidates []placement.Candidate) {
	if _, ok := r.explanations.index[q.Request.Request.ID]; !ok {
		r.recordExplanation(q, candidates, tables.NoEndpoint)
	}
}
