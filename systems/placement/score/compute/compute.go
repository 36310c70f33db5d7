// Package compute scores the prefill of the part of a prompt that an endpoint
// does not hold.
package compute

import "github.com/carawaystile/carawaystile/systems/placement"

// maxBusy bounds the use at which an endpoint's time has its highest price.
const maxBusy = 0.95

// Scorer gives the time of the request's own prefill in seconds, from 0 up,
// with the wait that it means for those who come after it: a second of work at
// an endpoint that is busy for the part b of its time delays others by about
// b/(1-b) seconds in all. Work that can be held yields to others and delays
// nobody.
type Scorer struct{}

// Name names the part in explanations.
func (Scorer) Name() string { return "compute" }

// Score divides the uncached tokens by the endpoint's learned speed.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	score := q.WaitWeight * c.UncachedTokens(q) / c.PrefillRate()
	if q.Request.Profile.MaxWait <= 0 {
		score += ImposedDelay(q, c)
	}
	return score
}

// ImposedDelay is the wait in seconds that the request's prefill means for others.
func ImposedDelay(q *placement.Query, c *placement.Candidate) float64 {
	busy := min(c.Row.Load.BusyFraction, maxBusy)
	return busy / (1 - busy) * c.UncachedTokens(q) / c.PrefillRate()
}
