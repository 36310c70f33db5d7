package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against an endpoint that has announced its end and gets requests again: after an
// answer without the announcement, or after a list without the endpoint or its start time.
func TestAnnouncedDrainingLastsForTheProcess(t *testing.T) {
	d, all := newTestDispatcher(2)
	now := time.Second
	leaving := mustPlace(t, d, now, requestWithoutParts())
	assert.Assert(t, d.RecordDraining(leaving))
	assert.Assert(t, !d.RecordDraining(leaving))
	d.RecordResponseStart(now, leaving)
	d.RecordOutcome(now, leaving, Completed)

	id := leaving.Endpoint.ID
	unknownStart := all[id].Clone()
	unknownStart.StartUnixMilli = 0
	for range 3 {
		for range 4 {
			a := mustPlace(t, d, now, requestWithoutParts())
			assert.Assert(t, a.Endpoint.ID != id)
			d.RecordResponseStart(now, a)
			d.RecordOutcome(now, a, Completed)
		}
		d.SetEndpoints(nil)
		d.TakeLoadReports(now)
		now += time.Second
		all[id] = unknownStart
		d.SetEndpoints(all)
	}
	assert.Equal(t, d.CountEndpoints(now, requestWithoutParts()).Draining, 1)
	assert.DeepEqual(t, d.Avoided(now, "models").Draining, []tables.EndpointID{id})

	restarted := all[id].Clone()
	restarted.StartUnixMilli = 2
	all[id] = restarted
	d.SetEndpoints(all)
	r := requestWithoutParts()
	for other := range all {
		if other != id {
			r.Tried = append(r.Tried, other)
		}
	}
	assert.Equal(t, mustPlace(t, d, now, r).Endpoint.ID, id)
}

// Guards against instances that have had no answer of a draining endpoint themselves sending
// requests there until the platform's list shows it.
func TestAnnouncedDrainingReachesOtherInstances(t *testing.T) {
	c := newTestCluster(3, 2)
	now := time.Second
	leaving := mustPlace(t, c.dispatchers[0], now, requestWithoutParts())
	c.dispatchers[0].RecordDraining(leaving)
	c.exchange(now)
	for _, d := range c.dispatchers[1:] {
		for range 4 {
			assert.Assert(t, mustPlace(t, d, now, requestWithoutParts()).Endpoint.ID != leaving.Endpoint.ID)
		}
		assert.Assert(t, d.endpoints[leaving.Endpoint.ID].notice(now) == nil, "passed on by an instance without an announcement of its own")
	}
	repeated := 0
	for _, l := range c.dispatchers[0].TakeLoadReports(now + 2*time.Second) {
		if l.Notice != nil && l.Notice.Draining {
			repeated++
		}
	}
	assert.Equal(t, repeated, 1, "a report may be lost")
}

// Guards against a draining endpoint that a scheduler chooses because it does not know of
// the announcement yet.
func TestChoiceOfADrainingEndpointIsNotAccepted(t *testing.T) {
	scheduler, _ := newTestDispatcher(1)
	sender, _ := newTestDispatcher(1)
	now := time.Second
	announced := mustPlace(t, sender, now, requestWithoutParts())
	chosen := mustPlace(t, scheduler, now, requestWithoutParts())
	sender.RecordDraining(announced)
	assert.Assert(t, sender.AcceptDecision(now, requestWithoutParts(), chosen.Decision(now)) == nil)
}
