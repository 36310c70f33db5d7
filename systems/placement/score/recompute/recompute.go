// Package recompute scores the compute time that the fleet spends when a prompt
// runs at an endpoint that has not cached it.
package recompute

import "github.com/carawaystile/carawaystile/systems/placement"

// Scorer returns the prefill time of the uncached tokens in seconds, from 0 up,
// at one reference rate for all endpoints.
type Scorer struct{}

// Name is the name of the cost term in reports.
func (Scorer) Name() string { return "recompute" }

// Score divides the uncached tokens by the default prefill rate.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	return c.UncachedTokens(q) / placement.DefaultPrefillRate
}
