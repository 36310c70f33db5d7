package tables

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Reports come seconds apart. All instances see the same one and would avoid
// the same endpoint, and crowd the others, for as long as it is the newest; a
// user notices requests refused at a load that the fleet can carry. An old
// report must therefore give way to what is usual there.
func TestOldReportGivesWayToTheMean(t *testing.T) {
	var o RemoteLoad
	now := Instant(0)
	for range 100 {
		now += 500 * time.Millisecond
		o.Observe(now, 4, 4000)
	}
	now += 500 * time.Millisecond
	o.Observe(now, 20, 40000)
	assert.Assert(t, o.Attempts > 19 && o.Tokens > 39000, "a new report counts fully: %+v", o)
	o.Advance(now + 4*time.Second)
	assert.Assert(t, o.Attempts < 6 && o.Tokens < 7000, "an old one does not: %+v", o)
}

func TestFirstReportIsKept(t *testing.T) {
	var o RemoteLoad
	o.Observe(time.Second, 3, 300)
	o.Advance(time.Minute)
	assert.Equal(t, o.Attempts, 3.0)
	assert.Equal(t, o.Tokens, 300.0)
}
