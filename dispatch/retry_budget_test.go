package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Every first attempt fails, at all instances at once. If each instance could
// use the whole allowance, the sum over all of them would multiply the load just
// when the fleet is weakest.
func TestInstancesTogetherKeepTheRetryBound(t *testing.T) {
	const instances, perInstance = 9, 300
	limits := RetryBudget{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	requests, repeats := 0, 0
	for range instances {
		d := New(Options{RetryBudget: limits})
		d.SetInstanceCount(instances)
		for i := range perInstance {
			now := time.Duration(i) * limits.Window / perInstance
			d.RecordRequest(now, "models")
			requests++
			if d.TakeRetry(now, "models") {
				repeats++
			}
		}
	}
	bound := limits.Ratio*float64(requests) + limits.Extra
	assert.Assert(t, float64(repeats) <= bound, "%d repeats, bound %.0f", repeats, bound)
	assert.Assert(t, float64(repeats) > bound/2, "%d repeats, bound %.0f", repeats, bound)
}

// After a calm time engines decline all requests for a second, at all instances.
// Counted over a little more than the window, earlier requests allow for more
// repeats in that second than any window that holds it bears.
func TestNoWindowHoldsMoreRepeatsThanItsRequestsAllow(t *testing.T) {
	const instances, perSecond, seconds = 9, 30, 30
	limits := RetryBudget{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	const bins = 20 // in a second
	requests, repeats := make([]int, seconds*bins), make([]int, seconds*bins)
	for range instances {
		d := New(Options{RetryBudget: limits})
		d.SetInstanceCount(instances)
		for i := range perSecond * seconds {
			now := time.Duration(i) * time.Second / perSecond
			bin := int(now * bins / time.Second)
			d.RecordRequest(now, "models")
			requests[bin]++
			for now/time.Second == seconds/2 && d.TakeRetry(now, "models") {
				repeats[bin]++
			}
		}
	}
	for first := range (seconds-10)*bins + 1 {
		asked, again := 0, 0
		for bin := first; bin < first+10*bins; bin++ {
			asked += requests[bin]
			again += repeats[bin]
		}
		bound := limits.Ratio*float64(asked) + limits.Extra
		assert.Assert(t, float64(again) <= bound, "%d repeats in 10 s from bin %d, bound %.0f", again, first, bound)
	}
}

// A burst of repeats is followed by a second one before the window has passed.
// With a window that starts anew at fixed times, both together would exceed the
// bound.
func TestTheRetryWindowSlides(t *testing.T) {
	d := New(Options{RetryBudget: RetryBudget{Ratio: 0, Extra: 100, Window: 10 * time.Second}})
	d.SetInstanceCount(1)
	count := func(now time.Duration) int {
		n := 0
		for d.TakeRetry(now, "models") {
			n++
		}
		return n
	}
	assert.Equal(t, count(9*time.Second), 80)
	assert.Equal(t, count(11*time.Second), 0)
	assert.Equal(t, count(18*time.Second), 0)
	assert.Equal(t, count(20*time.Second), 80)
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	d := New(Options{RetryBudget: RetryBudget{Extra: 2, Window: time.Second}})
	d.SetInstanceCount(1)
	assert.Equal(t, d.TakeRetry(0, "a"), true)
	assert.Equal(t, d.TakeRetry(0, "a"), false)
	assert.Equal(t, d.TakeRetry(0, "b"), true)
}
