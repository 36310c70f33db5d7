package router_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
)

// Several engines crash while a check that may wait an hour is tried at them.
// Nothing runs, and all its attempts fail within a tenth of a second. The
// request must stay queued; it used to be refused then, with nearly the whole
// hour left.
func TestDeferrableWorkOutlastsExhaustedRetries(t *testing.T) {
	r := newRouter(9)
	now := ms
	req := request("r1", "check", now)
	req.Deadline = 2 * time.Hour
	r.Submit(now, req)
	tried := 0
	for now < time.Hour/2 && tried < 12 {
		now += 50 * ms
		for _, action := range r.Tick(now) {
			d, ok := action.(router.Dispatch)
			assert.Assert(t, ok, "unexpected %T after %d attempts", action, tried)
			tried++
			r.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.NotStarted})
		}
	}
	assert.Equal(t, tried, 12)
	for range 2000 {
		now += 50 * ms
		for _, action := range r.Tick(now) {
			if d, ok := action.(router.Dispatch); ok {
				r.Observe(now, router.FirstToken{Attempt: d.Attempt})
				r.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.Completed})
				return
			}
		}
	}
	t.Fatal("the request was not dispatched again after its failed attempts")
}
