package router_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
)

// A zone is cut off, and with it most endpoints. A request that meets
// unreachable endpoints one after another must still get to the reachable one,
// and the next request must not try all of them again.
func TestUnreachableEndpointsAreEjectedAtOnce(t *testing.T) {
	r := newRouter(8)
	now := ms
	r.Submit(now, request("r1", "draft", now))
	reached := singleAction[router.Dispatch](t, r.Tick(now))
	for range 7 {
		r.Observe(now, router.AttemptEnded{Attempt: reached.Attempt, Result: router.Unreachable})
		now += 20 * ms
		reached = singleAction[router.Dispatch](t, r.Tick(now))
	}
	second := submitForDispatch(t, r, now, request("r2", "draft", now))
	assert.Equal(t, second.Endpoint.ID, reached.Endpoint.ID)
}

// A publishing service is unreachable. Nothing was published, so another
// service may be tried.
func TestUnreachableServiceProvesNothingRan(t *testing.T) {
	r := newRouter(1)
	first := submitForDispatch(t, r, ms, request("r1", "publish", ms))
	r.Observe(2*ms, router.AttemptEnded{Attempt: first.Attempt, Result: router.Unreachable})
	second := singleAction[router.Dispatch](t, r.Tick(100*ms))
	assert.Assert(t, second.Endpoint.ID != first.Endpoint.ID)
}
