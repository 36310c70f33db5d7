package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/admission"
)

// Guards against waits predicted from the rate of a time without a queue, which is the rate of
// arrivals and not the capacity.
func TestThroughputLeavesOutIdleTime(t *testing.T) {
	rate := admission.NewThroughput(2 * time.Second)
	now := time.Second
	_, measured := rate.PredictedWait(now, 100)
	assert.Assert(t, !measured)
	for range 20 {
		rate.SetQueued(now, true)
		for range 10 {
			now += 10 * time.Millisecond
			rate.Departed(now, 50)
		}
		rate.SetQueued(now, false)
		now += 5 * time.Second
	}
	wait, measured := rate.PredictedWait(now, 1000)
	assert.Assert(t, measured)
	assert.Assert(t, wait > 180*time.Millisecond && wait < 220*time.Millisecond, "1,000 units at 5,000 a second: %s", wait)
}

// Guards against a wait of two minutes that is predicted while nothing has left the queue, which
// says that the queue is young and not how long it is.
func TestNoWaitIsPredictedBeforeTheFirstDeparture(t *testing.T) {
	rate := admission.NewThroughput(2 * time.Second)
	rate.SetQueued(time.Second, true)
	_, measured := rate.PredictedWait(10*time.Second, 100)
	assert.Assert(t, !measured)
	rate.Departed(10*time.Second, 50)
	_, measured = rate.PredictedWait(10*time.Second, 100)
	assert.Assert(t, measured)
}
