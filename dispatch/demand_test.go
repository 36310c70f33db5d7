package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A prompt is asked for every few seconds, and its home has a long queue. Holding
// to the home would make the answer late to guard against a second reading that
// hardly ever happens.
func TestARarePartLeavesABusyHome(t *testing.T) {
	d, all := newTestDispatcher(6)
	d.SetInstanceCount(9)
	home := mustPlace(t, d, time.Second, newTestRequest(7)).Endpoint.ID
	fresh, _ := newTestDispatcher(6)
	fresh.SetEndpoints(all)
	fresh.SetInstanceCount(9)
	fresh.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: home, Running: 1, MemoryTokens: 20_000, PrefillTokens: 20_000})
	r := newTestRequest(7)
	r.Route.Target = 600 * time.Millisecond
	assert.Assert(t, mustPlace(t, fresh, time.Second, r).Endpoint.ID != home)
}

// A part is in nearly every prompt, and new weights were named: all instances meet it
// within the same moment. Each would have it read at another engine.
func TestACommonPartIsReadAtItsHome(t *testing.T) {
	d, _ := newTestDispatcher(6)
	d.SetInstanceCount(9)
	now := time.Second
	for range 200 {
		d.demand.recordOnce(now, newTestRequest(7))
		now += 20 * time.Millisecond
	}
	assert.Assert(t, d.collisionProbability(now, newTestRequest(7).SharedParts[0].ID) > 0.5)
	assert.Assert(t, d.collisionProbability(now, newTestRequest(8).SharedParts[1].ID) < 0.05)
	assert.Assert(t, d.collisionProbability(now+time.Minute, newTestRequest(7).SharedParts[0].ID) < 0.05, "demand is forgotten")
}

// A request that waits is placed again every few milliseconds. Counted each time, its
// parts would look like common ones.
func TestARequestCountsOnceAsDemand(t *testing.T) {
	d, _ := newTestDispatcher(2)
	r := newTestRequest(7)
	for i := range 50 {
		d.demand.recordOnce(time.Duration(i)*time.Millisecond, r)
	}
	assert.Assert(t, d.demand.count(50*time.Millisecond, r.SharedParts[0].ID) <= 1)
}
