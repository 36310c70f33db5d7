// Package hotness estimates how often prompt blocks are requested, with a
// count-min sketch that decays exponentially. Memory is constant: blocks share
// counters by hashing, and the estimate of a block is the minimum of its
// counters, which can be too high but never too low. Decay lets a prefix that
// is no longer requested cool down quickly.
package hotness

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// depth is the number of counter rows, and thus of counters per block.
	depth = 3
	// width is the number of counters per row: 16 Ki, which makes 192 KB in all.
	width = 1 << 14
	// TimeConstant is the time constant of the exponential decay.
	TimeConstant = 20 * time.Second
	// decaySteps is the number of decay steps per TimeConstant.
	decaySteps = 8
)

// decayFactor is the factor that one decay step applies: e^(-1/decaySteps).
const decayFactor = 0.8824969

// Sketch is a count-min sketch of block requests with exponential decay. The
// zero value is empty. A Sketch is not safe for concurrent use.
type Sketch struct {
	counts    [depth][width]float32
	decayedAt tables.Instant
}

// Add counts one request for each of the blocks.
func (s *Sketch) Add(now tables.Instant, blocks []tables.BlockHash) {
	s.decay(now)
	for _, hash := range blocks {
		for d := range depth {
			s.counts[d][counterIndex(hash, d)]++
		}
	}
}

// Count returns the decayed number of requests for a block. At a steady rate of
// r requests per second it converges to r times TimeConstant in seconds.
func (s *Sketch) Count(hash tables.BlockHash) float64 {
	least := s.counts[0][counterIndex(hash, 0)]
	for d := 1; d < depth; d++ {
		least = min(least, s.counts[d][counterIndex(hash, d)])
	}
	return float64(least)
}

// Rate returns the estimated request rate of a block in requests per second.
func (s *Sketch) Rate(hash tables.BlockHash) float64 { return s.Count(hash) / TimeConstant.Seconds() }

// counterIndex returns the column of the block's counter in row d.
func counterIndex(hash tables.BlockHash, d int) uint64 {
	return placement.Mix64(uint64(hash)+uint64(d)*0x9e3779b97f4a7c15) & (width - 1)
}

// decay applies the decay steps that are due. After a gap of more than 8 time
// constants it clears all counters instead.
func (s *Sketch) decay(now tables.Instant) {
	const step = TimeConstant / decaySteps
	for s.decayedAt+step <= now {
		if now-s.decayedAt > 8*TimeConstant {
			s.counts = [depth][width]float32{}
			s.decayedAt = now
			return
		}
		s.decayedAt += step
		for d := range s.counts {
			for i := range s.counts[d] {
				s.counts[d][i] *= decayFactor
			}
		}
	}
}
