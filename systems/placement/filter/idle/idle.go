// Package idle restricts requests that have used up much of their maximum wait
// to idle endpoints.
package idle

import "github.com/carawaystile/carawaystile/systems/placement"

const (
	// An endpoint counts as idle below maxBusyFraction and below a prefill queue
	// of maxQueueSeconds.
	maxBusyFraction = 0.8
	maxQueueSeconds = 0.5
)

// Filter accepts all endpoints, or only idle ones if the query is a last chance.
// Without the last chance, a request that waits for the endpoints that hold its
// prefix would be refused while others are idle. Busy endpoints stay excluded:
// sending requests there would turn overload into recomputation, and
// recomputation into more overload.
type Filter struct{}

// Name is the reason reported for a rejected candidate.
func (Filter) Name() string { return "idle" }

// Keep checks the endpoint's recent busy fraction and its prefill queue.
func (Filter) Keep(q *placement.Query, c *placement.Candidate) bool {
	if !q.LastChance {
		return true
	}
	load := &c.Row.Load
	return load.BusyFraction < maxBusyFraction && float64(load.PrefillBacklog()) < maxQueueSeconds*c.PrefillRate()
}
