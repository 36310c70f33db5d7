package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// requestWithoutParts returns a request without shared parts.
func requestWithoutParts() *Request {
	r := newTestRequest(1)
	r.SharedParts = nil
	return r
}

// perSecond returns a rate limit in requests a second.
func perSecond(rate float64) RateLimit { return RateLimit{PerSecond: rate, Limited: true} }

// Guards against an endpoint with an exhausted rate limit being chosen again and again
// while others are available.
func TestRateLimitedEndpointReceivesNothingUntilItsLimitAdmitsIt(t *testing.T) {
	d, _ := newTestDispatcher(2)
	now := time.Second
	first := mustPlace(t, d, now, requestWithoutParts())
	d.RecordRateLimit(now, first, perSecond(1))
	d.RecordRateLimited(now, first, 300*time.Millisecond)
	for range 3 {
		other := mustPlace(t, d, now, requestWithoutParts())
		assert.Assert(t, other.Endpoint.ID != first.Endpoint.ID)
	}
	r := requestWithoutParts()
	for id := range d.endpoints {
		if id != first.Endpoint.ID {
			r.Tried = append(r.Tried, id)
		}
	}
	_, reason := d.Place(now, r)
	assert.Equal(t, reason, NoCapacity)
	assert.Equal(t, d.CountEndpoints(now, r).RateLimited, 1)
	assert.Equal(t, mustPlace(t, d, now+300*time.Millisecond, r).Endpoint.ID, first.Endpoint.ID)
}

// Guards against an endpoint staying excluded long after it has lifted its limit.
func TestLiftedRateLimitMakesAnEndpointAvailableAtOnce(t *testing.T) {
	d, _ := newTestDispatcher(1)
	now := time.Second
	running := mustPlace(t, d, now, requestWithoutParts())
	d.RecordRateLimit(now, running, perSecond(1))
	d.RecordRateLimited(now, mustPlace(t, d, now, requestWithoutParts()), time.Second)
	_, reason := d.Place(now, requestWithoutParts())
	assert.Equal(t, reason, NoCapacity)
	before := d.RecordRateLimit(now, running, RateLimit{})
	assert.Equal(t, before, perSecond(1))
	assert.Equal(t, d.RateLimit(mustPlace(t, d, now, requestWithoutParts()).Endpoint.ID), RateLimit{})
}

// Guards against instances without an answer of their own sending as if there were no
// limit, and against an older report overwriting a newer answer.
func TestRateLimitsReachOtherInstances(t *testing.T) {
	c := newTestCluster(3, 1)
	now := time.Second
	a := mustPlace(t, c.dispatchers[0], now, requestWithoutParts())
	c.dispatchers[0].RecordRateLimit(now, a, perSecond(2))
	c.exchange(now)
	for _, d := range c.dispatchers {
		assert.Equal(t, d.RateLimit(mustPlace(t, d, now, requestWithoutParts()).Endpoint.ID), perSecond(2))
	}

	now += time.Second
	b := mustPlace(t, c.dispatchers[1], now, requestWithoutParts())
	c.dispatchers[1].RecordRateLimit(now, b, RateLimit{})
	c.dispatchers[1].ApplyLoadReport(now, "late", LoadReport{Endpoint: "e0", Limit: &RateLimitReport{RateLimit: perSecond(2), Age: 500 * time.Millisecond}})
	assert.Equal(t, c.dispatchers[1].RateLimit(b.Endpoint.ID), RateLimit{})
	c.exchange(now)
	assert.Equal(t, c.dispatchers[2].RateLimit(mustPlace(t, c.dispatchers[2], now, requestWithoutParts()).Endpoint.ID), RateLimit{})
}

// Guards against a lost report leaving an instance without knowledge of a limit.
func TestRateLimitIsReportedAgainWhileInForce(t *testing.T) {
	d, _ := newTestDispatcher(1)
	now := time.Second
	a := mustPlace(t, d, now, requestWithoutParts())
	d.RecordRateLimit(now, a, perSecond(2))
	d.RecordOutcome(now, a, Completed)
	assert.Equal(t, len(d.TakeLoadReports(now)), 1)
	assert.Equal(t, len(d.TakeLoadReports(now+loadReportInterval)), 0)
	again := d.TakeLoadReports(now + 2*loadReportInterval)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Limit.RateLimit, perSecond(2))
	assert.Equal(t, again[0].Limit.Age, 2*loadReportInterval)
}

// Guards against an instance sending by a scheduler's decision without counting against
// the limit, and against the scheduler choosing an endpoint that was just found to be
// exhausted.
func TestDecisionCarriesTheRateLimit(t *testing.T) {
	scheduler, _ := newTestDispatcher(2)
	asking, _ := newTestDispatcher(2)
	now := time.Second
	chosen := mustPlace(t, scheduler, now, requestWithoutParts())
	scheduler.RecordRateLimit(now, chosen, perSecond(3))
	accepted := asking.AcceptDecision(now, requestWithoutParts(), chosen.Decision(now))
	assert.Equal(t, asking.RateLimit(accepted.Endpoint.ID), perSecond(3))

	asking.RecordRateLimited(now, accepted, time.Second)
	assert.Assert(t, asking.AcceptDecision(now, requestWithoutParts(), chosen.Decision(now)) == nil)
	scheduler.RecordOutcome(now, chosen, DecodeOutcome(uint32(RateLimited)))
	assert.Assert(t, mustPlace(t, scheduler, now, requestWithoutParts()).Endpoint.ID != chosen.Endpoint.ID)
}

// Guards against a new process at an endpoint's address being held to the limit of its
// predecessor.
func TestNewProcessHasNoRateLimitYet(t *testing.T) {
	d, all := newTestDispatcher(1)
	now := time.Second
	d.RecordRateLimit(now, mustPlace(t, d, now, requestWithoutParts()), perSecond(1))
	e := all["e0"].Clone()
	e.StartUnixMilli++
	all["e0"] = e
	d.SetEndpoints(all)
	assert.Equal(t, d.RateLimit(mustPlace(t, d, now, requestWithoutParts()).Endpoint.ID), RateLimit{})
}
