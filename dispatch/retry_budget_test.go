package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against each instance using the whole budget, which would multiply the load when
// the fleet is weakest. Here every first attempt fails, at all instances at once.
func TestInstancesTogetherStayWithinTheRetryBudget(t *testing.T) {
	const instances, perInstance = 9, 300
	limits := RetryBudget{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	requests, retries := 0, 0
	for range instances {
		d := New(Options{RetryBudget: limits, Predecessor: NoPredecessor()})
		d.SetInstanceCount(instances)
		for i := range perInstance {
			now := time.Duration(i) * limits.Window / perInstance
			d.RecordRequest(now, "models")
			requests++
			if d.TakeRetry(now, "models") {
				retries++
			}
		}
	}
	bound := limits.Ratio*float64(requests) + limits.Extra
	assert.Assert(t, float64(retries) <= bound, "%d retries, budget %.0f", retries, bound)
	assert.Assert(t, float64(retries) > bound/2, "%d retries, budget %.0f", retries, bound)
}

// Guards against requests being counted over more than the window, which would permit
// more retries than the budget of any window. Here engines decline all requests for a
// second, at all instances, after a calm period.
func TestNoWindowHoldsMoreRetriesThanItsRequestsPermit(t *testing.T) {
	const instances, perSecond, seconds = 9, 30, 30
	limits := RetryBudget{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	const bins = 20 // per second
	requests, retries := make([]int, seconds*bins), make([]int, seconds*bins)
	for range instances {
		d := New(Options{RetryBudget: limits})
		d.SetInstanceCount(instances)
		for i := range perSecond * seconds {
			now := time.Duration(i) * time.Second / perSecond
			bin := int(now * bins / time.Second)
			d.RecordRequest(now, "models")
			requests[bin]++
			for now/time.Second == seconds/2 && d.TakeRetry(now, "models") {
				retries[bin]++
			}
		}
	}
	for first := range (seconds-10)*bins + 1 {
		windowRequests, windowRetries := 0, 0
		for bin := first; bin < first+10*bins; bin++ {
			windowRequests += requests[bin]
			windowRetries += retries[bin]
		}
		bound := limits.Ratio*float64(windowRequests) + limits.Extra
		assert.Assert(t, float64(windowRetries) <= bound, "%d retries in 10 s from bin %d, budget %.0f", windowRetries, first, bound)
	}
}

// Guards against a window with fixed boundaries, in which two bursts of retries on either
// side of a boundary together exceed the budget.
func TestRetryWindowSlides(t *testing.T) {
	d := New(Options{RetryBudget: RetryBudget{Ratio: 0, Extra: 100, Window: 10 * time.Second}, Predecessor: NoPredecessor()})
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

// Guards against the retries of one service using up the budget of another.
func TestServicesHaveSeparateRetryBudgets(t *testing.T) {
	d := New(Options{RetryBudget: RetryBudget{Extra: 2, Window: time.Second}, Predecessor: NoPredecessor()})
	d.SetInstanceCount(1)
	assert.Equal(t, d.TakeRetry(0, "a"), true)
	assert.Equal(t, d.TakeRetry(0, "a"), false)
	assert.Equal(t, d.TakeRetry(0, "b"), true)
}
