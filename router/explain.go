package router

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Explanation says why a request went where it went, or why it did not run.
type Explanation struct {
	Request tables.RequestID `json:"request"`
	// At is the reading of the router's clock when it was decided.
	At tables.Instant `json:"at_nanoseconds"`
	// Endpoint is the chosen one; empty while the request waits.
	Endpoint   tables.EndpointID  `json:"endpoint,omitempty"`
	Candidates []placement.Report `json:"candidates"`
}

// ring holds the newest explanations.
type ring struct {
	rows []Explanation
	at   map[tables.RequestID]int
	next int
}

func newRing(size int) ring {
	return ring{rows: make([]Explanation, size), at: make(map[tables.RequestID]int, size)}
}

// slot returns the row for a request, reusing its former or the oldest one.
func (g *ring) slot(id tables.RequestID) *Explanation {
	i, ok := g.at[id]
	if !ok {
		i = g.next
		g.next = (g.next + 1) % len(g.rows)
		delete(g.at, g.rows[i].Request)
		g.at[id] = i
	}
	return &g.rows[i]
}

// Explain returns the last decision on a request, while it is remembered.
func (r *Router) Explain(id tables.RequestID) (Explanation, bool) {
	i, ok := r.explained.at[id]
	if !ok {
		return Explanation{}, false
	}
	return r.explained.rows[i], true
}

func (r *Router) explain(q *placement.Query, candidates []placement.Candidate, chosen tables.EndpointIndex) {
	row := r.explained.slot(q.Request.Request.ID)
	row.Request = q.Request.Request.ID
	row.At = q.Now
	row.Endpoint = ""
	if chosen != tables.NoEndpoint {
		row.Endpoint = r.endpoints.Row(chosen).Endpoint.ID
	}
	row.Candidates = r.picker.Explain(row.Candidates[:0], q, candidates)
}

// explainWait records why a request waits, once; it is tried again many times.
func (r *Router) explainWait(q *placement.Query, candidates []placement.Candidate) {
	if _, ok := r.explained.at[q.Request.Request.ID]; !ok {
		r.explain(q, candidates, tables.NoEndpoint)
	}
}
