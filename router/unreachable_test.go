package router_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
)

// A zone is cut off from the others, and most endpoints with it. A request
// that meets them one after another must still get to the one that can be
// reached, and the next request must not go through all of them again.
func TestUnreachableEndpointsAreLeftAtOnce(t *testing.T) {
	r := newRouter(8)
	now := ms
	r.Submit(now, request("r1", "draft", now))
	reached := only[router.Dispatch](t, r.Tick(now))
	for range 7 {
		r.Observe(now, router.AttemptEnded{Attempt: reached.Attempt, Result: router.Unreachable})
		now += 20 * ms
		reached = only[router.Dispatch](t, r.Tick(now))
	}
	second := dispatched(t, r, now, request("r2", "draft", now))
	assert.Equal(t, second.Endpoint.ID, reached.Endpoint.ID)
}

// Publishing services cannot be reached. Nothing was published, so another one
// may be asked, and if none is left the caller is told that nothing ran.
func TestUnreachableServicesProveNotRun(t *testing.T) {
	r := newRouter(1)
	first := dispatched(t, r, ms, request("r1", "publish", ms))
	r.Observe(2*ms, router.AttemptEnded{Attempt: first.Attempt, Result: router.Unreachable})
	second := only[router.Dispatch](t, r.Tick(100*ms))
	assert.Assert(t, second.Endpoint.ID != first.Endpoint.ID)
}
