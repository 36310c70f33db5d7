package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

const testPause = 3 * time.Second

// pushBackFrom places a request, and has its endpoint push the instance back.
func pushBackFrom(t *testing.T, d *Dispatcher, now tables.Instant) *Attempt {
	t.Helper()
	a := mustPlace(t, d, now, requestWithoutParts())
	applied, began := d.RecordPushback(now, a, testPause)
	assert.Equal(t, applied, testPause)
	assert.Assert(t, began)
	d.RecordOutcome(now, a, Declined)
	return a
}

// assertPushedBack checks whether the only endpoint of a dispatcher accepts requests.
func assertPushedBack(t *testing.T, d *Dispatcher, now tables.Instant, pushedBack bool) {
	t.Helper()
	_, all := d.PushedBack(now, requestWithoutParts())
	assert.Equal(t, all, pushedBack)
	a, _ := d.Place(now, requestWithoutParts())
	assert.Equal(t, a == nil, pushedBack)
	if a != nil {
		d.RecordOutcome(now, a, Cancelled)
	}
}

// Guards against a pushback that is lost: by the success of an earlier request, by a list
// without the endpoint or its start time, or by a second, shorter one.
func TestPushbackLastsForItsTime(t *testing.T) {
	d, all := newTestDispatcher(1)
	now := time.Second
	earlier := mustPlace(t, d, now, requestWithoutParts())
	pushBackFrom(t, d, now)
	now += 200 * time.Millisecond
	d.RecordResponseStart(now, earlier)
	d.RecordOutcome(now, earlier, Completed)
	assertPushedBack(t, d, now, true)

	d.RecordPushback(now, earlier, time.Second)
	assertPushedBack(t, d, now+testPause-300*time.Millisecond, true)

	d.SetEndpoints(nil)
	d.TakeLoadReports(now + time.Second)
	d.SetEndpoints(all)
	assertPushedBack(t, d, now+time.Second, true)

	unknownStart := all["e0"].Clone()
	unknownStart.StartUnixMilli = 0
	d.SetEndpoints(map[tables.EndpointID]fleet.Endpoint{"e0": unknownStart})
	assertPushedBack(t, d, now+time.Second, true)

	assertPushedBack(t, d, now+testPause+maxPushbackJitter, false)
}

// Guards against a pushback that outlives the process which asked for it.
func TestNewProcessIsNotPushingBack(t *testing.T) {
	d, all := newTestDispatcher(1)
	now := time.Second
	pushBackFrom(t, d, now)
	restarted := all["e0"].Clone()
	restarted.StartUnixMilli++
	d.SetEndpoints(map[tables.EndpointID]fleet.Endpoint{"e0": restarted})
	assertPushedBack(t, d, now, false)

	d.ApplyLoadReport(now, "other", LoadReport{Endpoint: "e0", Notice: &Notice{StartUnixMilli: all["e0"].StartUnixMilli, PushbackFor: time.Minute}})
	assert.Assert(t, !d.endpoints["e0"].announced.pushedBackAny(now), "a notice of the process before")
}

// Guards against an absurd value that takes an endpoint out of service for good.
func TestPushbackIsBounded(t *testing.T) {
	d, _ := newTestDispatcher(1)
	now := time.Second
	a := mustPlace(t, d, now, requestWithoutParts())
	applied, _ := d.RecordPushback(now, a, 1<<62)
	assert.Equal(t, applied, maxPushback)
	d.RecordOutcome(now, a, Declined)
	assertPushedBack(t, d, now+maxPushback-time.Second, true)
	assertPushedBack(t, d, now+maxPushback+maxPushbackJitter, false)
}

// Guards against a scheduler that chooses an endpoint for an instance which that endpoint has
// pushed back, and against one that applies its own pushback to other instances.
func TestSchedulerKeepsTheAskersPushbackOnly(t *testing.T) {
	scheduler, _ := newTestDispatcher(1)
	sender, _ := newTestDispatcher(1)
	now := time.Second
	pushBackFrom(t, scheduler, now)
	now += declinedBackoff
	r := requestWithoutParts()
	r.Remote = true
	chosen := mustPlace(t, scheduler, now, r)
	assert.Assert(t, sender.AcceptDecision(now, requestWithoutParts(), chosen.Decision(now)) != nil)

	pushBackFrom(t, sender, now)
	assert.Assert(t, sender.AcceptDecision(now, requestWithoutParts(), chosen.Decision(now)) == nil)
	r = requestWithoutParts()
	r.Remote, r.Avoided = true, sender.PushingBack(now, "models", MaxAvoidedEndpoints)
	refused, reason := scheduler.Place(now, r)
	assert.Assert(t, refused == nil)
	assert.Equal(t, reason, NoEndpoint)
}

// Guards against each of many instances being pushed back in turn by an overloaded endpoint
// while others are idle, and against an endpoint that no instance uses because it has pushed
// back a single one.
func TestPushbackMakesOtherInstancesPreferOtherEndpoints(t *testing.T) {
	c := newTestCluster(3, 4)
	now := time.Second
	pushedBack := pushBackFrom(t, c.dispatchers[0], now)
	c.exchange(now)
	other := c.dispatchers[1]
	now += declinedBackoff
	for range 3 {
		assert.Assert(t, mustPlace(t, other, now, requestWithoutParts()).Endpoint.ID != pushedBack.Endpoint.ID)
	}
	r := requestWithoutParts()
	for id := range other.endpoints {
		if id != pushedBack.Endpoint.ID {
			r.Tried = append(r.Tried, id)
		}
	}
	assert.Equal(t, mustPlace(t, other, now, r).Endpoint.ID, pushedBack.Endpoint.ID)
}

// Guards against a herd of waiting requests at an endpoint whose pushback has just ended.
func TestEndpointIsProbedAfterAPushback(t *testing.T) {
	d, _ := newTestDispatcher(1)
	now := time.Second
	pushBackFrom(t, d, now)
	now += testPause + maxPushbackJitter
	probe := mustPlace(t, d, now, requestWithoutParts())
	second, _ := d.Place(now, requestWithoutParts())
	assert.Assert(t, second == nil)
	d.RecordOutcome(now, probe, Completed)
	mustPlace(t, d, now, requestWithoutParts())
	mustPlace(t, d, now, requestWithoutParts())
}

// Guards against instances that were pushed back at the same moment returning at the same
// moment.
func TestPushbacksOfInstancesEndAtDifferentTimes(t *testing.T) {
	c := newTestCluster(8, 1)
	ends := map[tables.Instant]bool{}
	for _, d := range c.dispatchers {
		pushBackFrom(t, d, time.Second)
		left, all := d.PushedBack(time.Second, requestWithoutParts())
		assert.Assert(t, all && left.Service >= testPause && left.Service <= testPause+maxPushbackJitter, "%v", left)
		ends[left.Service] = true
	}
	assert.Assert(t, len(ends) > 4, "%d different ends", len(ends))
}

// Guards against a request that is rejected at once although an endpoint may run it, or that
// waits although none may.
func TestPushedBackOnlyIfNoEndpointIsLeft(t *testing.T) {
	d, all := newTestDispatcher(3)
	now := time.Second
	first, second := pushBackFrom(t, d, now), pushBackFrom(t, d, now)
	_, pushedBack := d.PushedBack(now, requestWithoutParts())
	assert.Assert(t, !pushedBack)
	last := mustPlace(t, d, now, requestWithoutParts()).Endpoint.ID
	assert.Assert(t, last != first.Endpoint.ID && last != second.Endpoint.ID)

	d.SetReachable(now, last, false)
	_, pushedBack = d.PushedBack(now, requestWithoutParts())
	assert.Assert(t, pushedBack, "the last endpoint is unreachable")
	d.SetReachable(now, last, true)

	leaving := all[last].Clone()
	leaving.Draining = true
	all[last] = leaving
	d.SetEndpoints(all)
	left, pushedBack := d.PushedBack(now+time.Second, requestWithoutParts())
	assert.Assert(t, pushedBack, "the last endpoint is leaving")
	assert.Assert(t, left.Service >= testPause-time.Second && left.Service < testPause, "%v", left)
	assert.Equal(t, d.CountEndpoints(now, requestWithoutParts()).PushingBack, 2)
}

// Guards against requests to an endpoint that has requested a back-off in answer to a
// call that is not a request.
func TestPushbackOfACallBindsRequests(t *testing.T) {
	d, _ := newTestDispatcher(1)
	now := time.Second
	assert.Assert(t, d.RecordCallPushback(now, "e0", testPause))
	assert.Assert(t, !d.RecordCallPushback(now, "unknown", testPause))
	assertPushedBack(t, d, now, true)
	assert.Assert(t, d.PausedFor(now, "e0") >= testPause)
	assert.Equal(t, d.PausedFor(now+time.Minute, "e0"), time.Duration(0))
}

// Guards against a request that waits for an endpoint it has tried while the others push
// back, and against a Retry-After for its client that is as long as theirs.
func TestRequestIsPushedBackIfTheOthersWereTried(t *testing.T) {
	d, _ := newTestDispatcher(3)
	now := time.Second
	pushBackFrom(t, d, now)
	pushBackFrom(t, d, now)
	r := requestWithoutParts()
	tried := mustPlace(t, d, now, r)
	d.RecordOutcome(now, tried, Broken)
	_, pushedBack := d.PushedBack(now, r)
	assert.Assert(t, !pushedBack)
	r.Tried = append(r.Tried, tried.Endpoint.ID)
	left, pushedBack := d.PushedBack(now, r)
	assert.Assert(t, pushedBack && left.Request >= testPause, "%v", left)
	assert.Equal(t, left.Service, time.Duration(0))
}
