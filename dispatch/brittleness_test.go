package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against instances that have had no answer of a brittle endpoint themselves, and against
// an older answer that arrives late.
func TestBrittlenessReachesOtherInstances(t *testing.T) {
	c := newTestCluster(3, 1)
	now := time.Second
	a := mustPlace(t, c.dispatchers[0], now, requestWithoutParts())
	assert.Assert(t, c.dispatchers[0].RecordBrittleness(now, a, Brittleness{Brittle: true, Rejections: 4}))
	c.exchange(now)
	for _, d := range c.dispatchers[1:] {
		assert.Equal(t, d.Brittleness(mustPlace(t, d, now, requestWithoutParts())), Brittleness{Brittle: true, Rejections: 4})
	}
	assert.Assert(t, c.dispatchers[0].RecordBrittleness(now+time.Second, a, Brittleness{}))
	c.exchange(now + time.Second)
	late := &Notice{Brittleness: &BrittlenessReport{Brittleness: Brittleness{Brittle: true}, Age: 2 * time.Second}}
	for _, d := range c.dispatchers {
		d.ApplyLoadReport(now+2*time.Second, "late", LoadReport{Endpoint: "e0", Notice: late})
		assert.Equal(t, d.CountBrittle(), 0)
	}
}

// Guards against a crowd at a process that has just started and has announced nothing yet, of a
// service whose processes are brittle.
func TestNewProcessIsExpectedToBeBrittleLikeItsService(t *testing.T) {
	d, all := newTestDispatcher(2)
	now := time.Second
	a := mustPlace(t, d, now, requestWithoutParts())
	d.RecordBrittleness(now, a, Brittleness{Brittle: true, Rejections: 1})
	d.RecordOutcome(now, a, Completed)
	for id, e := range all {
		if id != a.Endpoint.ID {
			restarted := e.Clone()
			restarted.StartUnixMilli += 5000
			all[id] = restarted
		}
	}
	d.SetEndpoints(all)
	assert.Equal(t, d.CountBrittle(), 2)
}

// Guards against attempts that wait for a permit counting as load of the endpoint at others.
func TestAttemptsThatAwaitPermitsAreNotReported(t *testing.T) {
	d, _ := newTestDispatcher(1)
	now := time.Second
	running := func() int {
		count := 0
		for _, l := range d.TakeLoadReports(now) {
			count += l.Running
		}
		return count
	}
	a := mustPlace(t, d, now, requestWithoutParts())
	d.AwaitPermit(a)
	assert.Equal(t, running(), 0)
	d.RecordPermit(a)
	assert.Equal(t, running(), 1)
	b := mustPlace(t, d, now, requestWithoutParts())
	d.AwaitPermit(b)
	d.RecordPermitDenied(now, b)
	assert.Equal(t, running(), 1)
	assert.Equal(t, d.endpoints["e0"].awaitingPermit, 0)
}
