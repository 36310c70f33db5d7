package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against late answers due to insisting on the home of a part. A prompt that is
// requested every few seconds is unlikely to be computed twice, so a home with a long
// queue is not worth waiting for.
func TestRarePartIsPlacedAwayFromABusyHome(t *testing.T) {
	d, all := newTestDispatcher(6)
	d.SetInstanceCount(9)
	home := mustPlace(t, d, time.Second, newTestRequest(7)).Endpoint.ID
	fresh, _ := newTestDispatcher(6)
	fresh.SetEndpoints(all)
	fresh.SetInstanceCount(9)
	fresh.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: home, Running: 1, MemoryTokens: 20_000, PrefillTokens: 20_000})
	r := newTestRequest(7)
	r.Route.TargetLatency = 600 * time.Millisecond
	assert.Assert(t, mustPlace(t, fresh, time.Second, r).Endpoint.ID != home)
}

// Guards against a common part being computed on many engines after new weights were
// announced, when all instances place it within the same moment.
func TestCommonPartHasAHighCollisionProbability(t *testing.T) {
	d, _ := newTestDispatcher(6)
	d.SetInstanceCount(9)
	now := time.Second
	for range 200 {
		d.demand.recordOnce(now, newTestRequest(7))
		now += 20 * time.Millisecond
	}
	assert.Assert(t, d.collisionProbability(now, newTestRequest(7).SharedParts[0].ID) > 0.5)
	assert.Assert(t, d.collisionProbability(now, newTestRequest(8).SharedParts[1].ID) < 0.05)
	assert.Assert(t, d.collisionProbability(now+time.Minute, newTestRequest(7).SharedParts[0].ID) < 0.05, "demand decays")
}

// Guards against a queued request, whose placement is retried every few milliseconds,
// being counted each time, which would make its parts look common.
func TestRequestCountsOnceAsDemand(t *testing.T) {
	d, _ := newTestDispatcher(2)
	r := newTestRequest(7)
	for i := range 50 {
		d.demand.recordOnce(time.Duration(i)*time.Millisecond, r)
	}
	assert.Assert(t, d.demand.count(50*time.Millisecond, r.SharedParts[0].ID) <= 1)
}
