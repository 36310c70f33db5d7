package router_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against requests that fail because their endpoints are slow, on a busy machine, and the
// retry budget is used up: an attempt is given up only with a retry at hand.
func TestSilentAttemptIsGivenUpOnlyForARetry(t *testing.T) {
	r := newRouter(9)
	var attempts []tables.AttemptID
	for i := range 30 {
		now := time.Duration(i) * 20 * ms
		r.Submit(now, request(fmt.Sprint("r", i), "draft", now))
		for _, action := range r.Tick(now) {
			if d, ok := action.(router.Dispatch); ok {
				attempts = append(attempts, d.Attempt)
			}
		}
	}
	assert.Assert(t, len(attempts) > 25, "%d dispatched", len(attempts))
	now := 2 * time.Second
	var waiting []tables.AttemptID
	for _, id := range attempts {
		if r.GiveUp(now, id) {
			r.Observe(now, router.AttemptEnded{Attempt: id, Result: router.Interrupted})
			continue
		}
		waiting = append(waiting, id)
	}
	assert.Assert(t, len(waiting) > 0)
	actions := tickUntil(r, now, 3*time.Second)
	assert.Equal(t, countActions[router.Fail](actions), 0)
	assert.Equal(t, countActions[router.Abort](tickUntil(r, 3*time.Second, 20*time.Second)), 0, "no retry is left for a hung attempt")
	for _, id := range waiting {
		r.Observe(21*time.Second, router.AttemptEnded{Attempt: id, Result: router.Completed})
	}
	assert.Equal(t, countActions[router.Fail](r.Tick(21*time.Second)), 0)
}
