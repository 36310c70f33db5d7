// Package compute scores the prefill of the part of a prompt that an endpoint
// does not hold.
package compute

import "github.com/carawaystile/carawaystile/systems/placement"

// Scorer gives the time of the request's own prefill in seconds, from 0 up. It
// is both a part of the time to first token and work that others wait for.
type Scorer struct{}

// Name names the part in explanations.
func (Scorer) Name() string { return "compute" }

// Score divides the uncached tokens by the endpoint's learned speed.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	return c.UncachedTokens(q) / c.PrefillRate()
}
