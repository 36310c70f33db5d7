package router_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against requests that fail because their endpoints are slow and the retry budget is used up.
func TestAttemptTimesOutOnlyWithARetry(t *testing.T) {
	r := newRouter(9)
	var waiting []tables.AttemptID
	for i := range 30 {
		now := time.Duration(i) * 20 * ms
		d := submitForDispatch(t, r, now, request(fmt.Sprint("r", i), "draft", now))
		waiting = append(waiting, d.Attempt)
	}
	now := 2 * time.Second
	for r.AllowTimeout(now, waiting[0]) {
		r.Observe(now, router.AttemptEnded{Attempt: waiting[0], Result: router.Interrupted})
		waiting = waiting[1:]
	}
	actions := tickUntil(r, now, 20*time.Second)
	assert.Equal(t, countActions[router.Fail](actions)+countActions[router.Abort](actions), 0)
	for _, id := range waiting {
		r.Observe(21*time.Second, router.AttemptEnded{Attempt: id, Result: router.Completed})
	}
	assert.Equal(t, countActions[router.Fail](r.Tick(21*time.Second)), 0)
}
