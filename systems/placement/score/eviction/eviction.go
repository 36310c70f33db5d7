// Package eviction scores the cost of the blocks that a prompt evicts from an
// endpoint's cache.
package eviction

import "github.com/carawaystile/carawaystile/systems/placement"

// maxPressure is the upper bound of a cache's pressure relative to the mean of
// the candidates.
const maxPressure = 4

// Scorer estimates the time, in seconds from 0 up, to recompute the blocks that
// the prompt evicts. A cache with a short turnover time holds blocks that were
// used more recently than those of a cache with a long one, so evicted blocks
// are more likely to be needed again.
type Scorer struct{}

// Name is the name of the cost term in reports.
func (Scorer) Name() string { return "eviction" }

// Score multiplies the prefill time of the uncached tokens by the cache's
// pressure: the mean turnover time of the candidates divided by its own.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	if c.TurnoverSeconds <= 0 || q.MeanTurnoverSeconds <= 0 {
		return 0
	}
	pressure := min(maxPressure, q.MeanTurnoverSeconds/c.TurnoverSeconds)
	return c.UncachedTokens(q) / placement.DefaultPrefillRate * pressure
}
