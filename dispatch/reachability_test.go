package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// loseLinks has all endpoints accept no connection.
func loseLinks(d *Dispatcher, now tables.Instant) {
	for id := range d.endpoints {
		d.SetReachable(now, id, false)
	}
}

// Guards against a few endpoints that are down counting as lost links, and against lost links
// that are not noticed until each of many endpoints has failed.
func TestLinksCountAsLostOnlyWithoutAnyResponse(t *testing.T) {
	d, _ := newTestDispatcher(20)
	d.SetRelayAvailable(true)
	now := time.Second
	for i, id := range []tables.EndpointID{"e0", "e1", "e2", "e3"} {
		assert.Assert(t, !d.LinksLost())
		d.SetReachable(now, id, false)
		if i == minLostLinks-2 {
			a := mustPlace(t, d, now, requestWithoutParts())
			d.RecordResponseStart(now, a)
			d.RecordOutcome(now, a, Completed)
			assert.Assert(t, !d.LinksSuspected())
		}
	}
	assert.Assert(t, !d.LinksLost())
	for _, id := range []tables.EndpointID{"e4", "e5", "e6"} {
		d.SetReachable(now, id, false)
	}
	assert.Assert(t, d.LinksLost())
	for range 5 {
		assert.Assert(t, mustPlace(t, d, now, requestWithoutParts()).Relayed)
	}
	for _, e := range d.LinkProbes(3) {
		assert.Assert(t, !d.endpoints[e.ID].unreachable, "%s has been probed", e.ID)
	}
	d.RecordLinkResponse()
	assert.Assert(t, !mustPlace(t, d, now, requestWithoutParts()).Relayed)
}

// Guards against bytes that take a way through another instance without need.
func TestRelaysAreTheSecondChoice(t *testing.T) {
	d, _ := newTestDispatcher(3)
	d.SetRelayAvailable(true)
	now := time.Second
	d.SetReachable(now, "e0", false)
	for range 6 {
		assert.Assert(t, !mustPlace(t, d, now, requestWithoutParts()).Relayed)
	}
	loseLinks(d, now)
	assert.Assert(t, mustPlace(t, d, now, requestWithoutParts()).Relayed)

	alone, _ := newTestDispatcher(1)
	loseLinks(alone, now)
	_, reason := alone.Place(now, requestWithoutParts())
	assert.Equal(t, reason, NoEndpoint)
}

// Guards against a relayed response counting as one over the instance's own link, and against an
// endpoint that a relay cannot reach being chosen again at once.
func TestRelayedAttemptsSayNothingOfTheOwnLink(t *testing.T) {
	d, _ := newTestDispatcher(1)
	d.SetRelayAvailable(true)
	now := time.Second
	loseLinks(d, now)
	a := mustPlace(t, d, now, requestWithoutParts())
	d.RecordResponseStart(now, a)
	d.RecordOutcome(now, a, Completed)
	assert.Assert(t, d.LinksLost())
	for _, outcome := range []Outcome{ConnectionRefused, ConnectTimeout, RelayUnavailable} {
		a := mustPlace(t, d, now, requestWithoutParts())
		assert.Assert(t, a.Relayed)
		d.RecordOutcome(now, a, outcome)
		_, reason := d.Place(now, requestWithoutParts())
		assert.Equal(t, reason, NoEndpoint)
		now += connectBackoff
	}
	assert.Equal(t, d.endpoints["e0"].currentFailureScore(now), 0.0)
}

// Guards against a scheduler without links rejecting the requests of instances that have theirs,
// and against one that has its links choosing endpoints that the asking instance cannot reach.
func TestSchedulerPlacesByTheLinksOfTheAskingInstance(t *testing.T) {
	scheduler, _ := newTestDispatcher(2)
	scheduler.SetRelayAvailable(true)
	now := time.Second
	loseLinks(scheduler, now)
	r := requestWithoutParts()
	r.Remote = true
	chosen := mustPlace(t, scheduler, now, r)
	assert.Assert(t, !chosen.Relayed)

	asking, _ := newTestDispatcher(20)
	asking.SetRelayAvailable(true)
	asking.SetReachable(now, "e0", false)
	assert.DeepEqual(t, asking.UnusableEndpoints(now, "models", 10), []tables.EndpointID{"e0"})
	loseLinks(asking, now)
	assert.Equal(t, len(asking.UnusableEndpoints(now, "models", 10)), 0)
	accepted := asking.AcceptDecision(now, requestWithoutParts(), chosen.Decision(now))
	assert.Assert(t, accepted != nil && accepted.Relayed)
}

// Guards against a relay that opens connections to addresses that are no endpoints, or at which
// the endpoint has asked it to send nothing, and against a second hop.
func TestRelayVerdicts(t *testing.T) {
	d, all := newTestDispatcher(6)
	now := time.Second
	e := all["e0"]
	judge := func() RelayVerdict { return d.JudgeRelay(now, &e) }
	assert.Equal(t, judge(), RelayAllowed)
	assert.Equal(t, d.JudgeRelay(now, &fleet.Endpoint{ID: "other", Address: e.Address}), RelayUnknownEndpoint)
	moved := all["e1"]
	moved.ID = "e0"
	assert.Equal(t, d.JudgeRelay(now, &moved), RelayUnknownEndpoint)
	d.RecordCallPushback(now, "e0", time.Second)
	assert.Equal(t, judge(), RelayPushedBack)
	now += 2 * time.Second
	d.RecordCallDraining("e0")
	assert.Equal(t, judge(), RelayLeaving)
	d.SetReachable(now, "e0", false)
	assert.Equal(t, judge(), RelayUnreachable)
	loseLinks(d, now)
	assert.Equal(t, judge(), RelayPartitioned)
}

// Guards against the capacity that is left over few links being all that clients get.
func TestRequestsAreRelayedWhenTheEndpointsInReachAreFull(t *testing.T) {
	d, _ := newTestDispatcher(3)
	d.SetRelayAvailable(true)
	now := time.Second
	d.SetReachable(now, "e0", false)
	d.SetReachable(now, "e1", false)
	direct := 0
	for {
		a, _ := d.Place(now, requestWithoutParts())
		if a == nil || a.Relayed {
			assert.Assert(t, a != nil)
			break
		}
		direct++
		d.RecordResponseStart(now, a)
	}
	assert.Assert(t, direct > 0)
}
