// Package eviction scores what a prompt pushes out of an endpoint's cache.
package eviction

import "github.com/carawaystile/carawaystile/systems/placement"

// maxPressure bounds how much worse than the mean an endpoint's cache can be
// taken to be.
const maxPressure = 4

// Scorer gives the time, in seconds from 0 up, that it will take to compute
// again what the prompt pushes out. Blocks pushed out of a cache that is filled
// over quickly were used more lately than those of a slow one, so they are
// more likely to be missed.
type Scorer struct{}

// Name names the part in explanations.
func (Scorer) Name() string { return "eviction" }

// Score weighs the uncached tokens by how quickly the cache turns over against
// the mean of the candidates.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	if c.TurnoverSeconds <= 0 || q.MeanTurnoverSeconds <= 0 {
		return 0
	}
	pressure := min(maxPressure, q.MeanTurnoverSeconds/c.TurnoverSeconds)
	return c.UncachedTokens(q) / placement.DefaultPrefillRate * pressure
}
