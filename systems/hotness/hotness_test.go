package hotness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/hotness"
	"github.com/carawaystile/carawaystile/tables"
)

// The rate of a block must converge to its request rate, and fall again when the
// requests stop: gradually by decay steps, and to 0 after a long gap.
func TestRateTracksRequestsAndDecays(t *testing.T) {
	var c hotness.Sketch
	now := time.Duration(0)
	for range 1000 {
		now += 100 * time.Millisecond
		c.Add(now, []tables.BlockHash{42})
	}
	assert.Assert(t, c.Rate(42) > 8 && c.Rate(42) < 12, "rate %v", c.Rate(42))
	now += 3 * hotness.TimeConstant
	c.Add(now, nil)
	assert.Assert(t, c.Rate(42) < 1, "rate %v", c.Rate(42))
	now += 100 * hotness.TimeConstant
	c.Add(now, nil)
	assert.Equal(t, c.Rate(42), 0.0)
}

// Many blocks share the counters of the sketch. Collisions may raise a count but
// must never lower it.
func TestCountNeverUnderestimates(t *testing.T) {
	var c hotness.Sketch
	for i := range tables.BlockHash(40000) {
		c.Add(time.Second, []tables.BlockHash{i * 7919})
	}
	c.Add(time.Second, []tables.BlockHash{1, 1, 1})
	assert.Assert(t, c.Count(1) >= 3)
}
