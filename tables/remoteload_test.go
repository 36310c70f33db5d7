package tables

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load reports arrive seconds apart, and all instances see the same one. If the
// newest report counted fully until the next one, all instances would avoid the
// same endpoint and overload the others; users would see requests refused at a
// load that the fleet can carry. A stale report must therefore decay to the
// long-term mean.
func TestStaleReportDecaysToMean(t *testing.T) {
	var o RemoteLoad
	now := Instant(0)
	for range 100 {
		now += 500 * time.Millisecond
		o.Observe(now, 4, 4000)
	}
	now += 500 * time.Millisecond
	o.Observe(now, 20, 40000)
	assert.Assert(t, o.Attempts > 19 && o.Tokens > 39000, "a new report must count fully: %+v", o)
	o.Advance(now + 4*time.Second)
	assert.Assert(t, o.Attempts < 6 && o.Tokens < 7000, "a stale report must decay to the mean: %+v", o)
}

func TestSingleReportIsItsOwnMean(t *testing.T) {
	var o RemoteLoad
	o.Observe(time.Second, 3, 300)
	o.Advance(time.Minute)
	assert.Equal(t, o.Attempts, 3.0)
	assert.Equal(t, o.Tokens, 300.0)
}
