// Package hotness measures how often blocks of prompts are asked for. Its
// memory is fixed: counters are shared between blocks by hashing, and the least
// of a block's counters is taken, which can only be too high. All counts decay,
// so that a prefix that is no longer asked for is soon no longer hot.
package hotness

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// depth is how many counters each block has.
	depth = 3
	// width is the number of counters of each depth: 16 Ki, 192 KB in all.
	width = 1 << 14
	// TimeConstant is the time constant of the decay.
	TimeConstant = 20 * time.Second
	// steps is how often within Window all counters are lowered.
	steps = 8
)

// keep is the part of a counter that one step leaves: e^(-1/steps).
const keep = 0.8824969

// Sketch counts blocks. It is not safe for concurrent use.
type Sketch struct {
	counts  [depth][width]float32
	decayed tables.Instant
}

// Add counts one request for each block.
func (c *Sketch) Add(now tables.Instant, blocks []tables.BlockHash) {
	c.decay(now)
	for _, hash := range blocks {
		for d := range depth {
			c.counts[d][slot(hash, d)]++
		}
	}
}

// Count is the decayed number of requests for a block; a steady rate of r a
// second gives r times Window.
func (c *Sketch) Count(hash tables.BlockHash) float64 {
	least := c.counts[0][slot(hash, 0)]
	for d := 1; d < depth; d++ {
		least = min(least, c.counts[d][slot(hash, d)])
	}
	return float64(least)
}

// Rate is the requests per second for a block.
func (c *Sketch) Rate(hash tables.BlockHash) float64 { return c.Count(hash) / TimeConstant.Seconds() }

func slot(hash tables.BlockHash, d int) uint64 {
	return placement.Mix64(uint64(hash)+uint64(d)*0x9e3779b97f4a7c15) & (width - 1)
}

func (c *Sketch) decay(now tables.Instant) {
	const step = TimeConstant / steps
	for c.decayed+step <= now {
		if now-c.decayed > 8*TimeConstant {
			c.counts = [depth][width]float32{}
			c.decayed = now
			return
		}
		c.decayed += step
		for d := range c.counts {
			for i := range c.counts[d] {
				c.counts[d][i] *= keep
			}
		}
	}
}
