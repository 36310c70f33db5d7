// Package compute scores the time to prefill the uncached part of a prompt.
package compute

import "github.com/carawaystile/carawaystile/systems/placement"

// maxBusyFraction caps the busy fraction in ImposedDelay, which would otherwise
// grow without bound.
const maxBusyFraction = 0.95

// Scorer returns the time of the request's own prefill in seconds, from 0 up,
// plus the delay that it imposes on later requests. Deferrable work yields to
// other work and imposes no delay.
type Scorer struct{}

// Name is the name of the cost term in reports.
func (Scorer) Name() string { return "compute" }

// Score divides the uncached tokens by the endpoint's prefill rate, weighted by
// WaitWeight, and adds ImposedDelay for requests without a maximum wait.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	score := q.WaitWeight * c.UncachedTokens(q) / c.PrefillRate()
	if q.Request.Profile.MaxWait <= 0 {
		score += ImposedDelay(q, c)
	}
	return score
}

// ImposedDelay returns the total delay, in seconds, that the request's prefill
// imposes on others. As in a single-server queue, a second of work at an
// endpoint that is busy for a fraction b of the time delays other requests by
// about b/(1-b) seconds in all.
func ImposedDelay(q *placement.Query, c *placement.Candidate) float64 {
	busy := min(c.Row.Load.BusyFraction, maxBusyFraction)
	return busy / (1 - busy) * c.UncachedTokens(q) / c.PrefillRate()
}
