// Package recompute scores what the fleet loses by computing a prompt where it
// is not held.
package recompute

import "github.com/carawaystile/carawaystile/systems/placement"

// Scorer gives the uncached part of the prompt as seconds of one speed that is
// the same for all endpoints, from 0 up.
type Scorer struct{}

// Name names the part in explanations.
func (Scorer) Name() string { return "recompute" }

// Score divides the uncached tokens by the default speed.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	return c.UncachedTokens(q) / placement.DefaultPrefillRate
}
