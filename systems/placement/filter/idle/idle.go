// Package idle keeps only endpoints with time to spare, for requests that have
// waited almost as long as they may.
package idle

import "github.com/carawaystile/carawaystile/systems/placement"

const (
	// maxBusy is the part of its time, and maxQueue the queue in seconds, that
	// an endpoint with time to spare has work for.
	maxBusy  = 0.8
	maxQueue = 0.5
)

// Filter keeps all endpoints, and for a query in its last chance only those
// that are idle. A request that could wait no longer at the endpoints that hold
// its prefix would be refused beside idle ones; but were it sent to busy ones,
// overload would turn into recomputation, and recomputation into more overload.
type Filter struct{}

// Name is the reason given for a dropped candidate.
func (Filter) Name() string { return "idle" }

// Keep looks at the use of the endpoint in the last seconds and at its queue.
func (Filter) Keep(q *placement.Query, c *placement.Candidate) bool {
	if !q.LastChance {
		return true
	}
	load := &c.Row.Load
	return load.BusyFraction < maxBusy && float64(load.PrefillBacklog()) < maxQueue*c.PrefillRate()
}
