package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// replacedAt is when the weights of the engines in these tests were replaced, and expiredAt the
// time before which a request has to be expected to begin on them.
const (
	replacedAt = time.Second
	expiredAt  = replacedAt + 8*time.Second - staleMargin
)

// newOutdatedDispatcher returns a dispatcher for engines whose weights have been replaced.
func newOutdatedDispatcher(engines int) *Dispatcher {
	d, _ := newTestDispatcher(engines)
	recordVersion(d, 2, replacedAt)
	return d
}

// setQueue sets the prefill backlog of an endpoint to a queue in time.
func setQueue(d *Dispatcher, id tables.EndpointID, queue time.Duration) {
	row := d.endpoints[id]
	row.prefillTokens = milliseconds(queue) * row.prefillRate
}

// Guards against a request that is placed in time at an endpoint with replaced weights, waits in
// its queue, and begins when they may no longer be used.
func TestRequestIsNotPlacedWhereItBeginsTooLateOnStaleWeights(t *testing.T) {
	for _, queue := range []time.Duration{0, 500 * time.Millisecond, 2500 * time.Millisecond} {
		newDispatcher := func() *Dispatcher {
			d := newOutdatedDispatcher(1)
			setQueue(d, "e0", queue)
			return d
		}
		expected := mustPlace(t, newDispatcher(), replacedAt, newTestRequest(7)).ExpectedLatency
		assert.Assert(t, expected > queue)
		mustPlace(t, newDispatcher(), expiredAt-expected-time.Millisecond, newTestRequest(7))
		late, reason := newDispatcher().Place(expiredAt-expected, newTestRequest(7))
		assert.Assert(t, late == nil, "queue %v: placed to begin at %v", queue, expiredAt)
		assert.Equal(t, reason, NoEndpoint)
	}
}

// Guards against a refusal while an endpoint with replaced weights could still begin the request
// in time, because a cheaper one could not.
func TestRequestGoesToTheStaleEndpointThatBeginsItInTime(t *testing.T) {
	d := newOutdatedDispatcher(2)
	d.RecordCacheEvents(replacedAt, "e0", []parts.Key{parts.ID(1).KeyAt(1), parts.ID(7).KeyAt(1)}, nil, true)
	setQueue(d, "e0", time.Second)
	r := newTestRequest(7)
	r.PromptTokens = 20_000
	r.SharedParts[0].EndTokens, r.SharedParts[1].EndTokens = 10_000, 19_000
	early := mustPlace(t, d, replacedAt, r)
	assert.Equal(t, early.Endpoint.ID, tables.EndpointID("e0"), "it holds the prompt")
	d.RecordOutcome(replacedAt, early, Cancelled)
	assert.Equal(t, mustPlace(t, d, expiredAt-time.Second, r).Endpoint.ID, tables.EndpointID("e1"))
}

// Guards against a long queue at current weights that is refused because older ones expire.
func TestQueueAtCurrentWeightsMayBeLong(t *testing.T) {
	d, all := newTestDispatcher(1)
	current := all["e0"].Clone()
	current.Weights["m"] = 2
	all["e0"] = current
	d.SetEndpoints(all)
	recordVersion(d, 2, replacedAt)
	setQueue(d, "e0", time.Minute)
	mustPlace(t, d, expiredAt, newTestRequest(7))
}

// Guards against a scheduler's decision that reaches an instance late: the expected wait begins
// only when the request is sent.
func TestDecisionIsNotAcceptedIfItBeginsTooLateOnStaleWeights(t *testing.T) {
	d := newOutdatedDispatcher(1)
	chosen := Decision{Endpoint: "e0", WeightsVersion: 1, ExpectedLatency: 2500 * time.Millisecond}
	accepted := d.AcceptDecision(expiredAt-chosen.ExpectedLatency-time.Millisecond, newTestRequest(7), chosen)
	assert.Assert(t, accepted != nil)
	assert.Assert(t, d.AcceptDecision(expiredAt-chosen.ExpectedLatency, newTestRequest(7), chosen) == nil)
}

// Guards against callers that are told to wait for the queue of an endpoint whose weights expire
// before.
func TestQueueOfExpiringWeightsIsNotWaitedFor(t *testing.T) {
	d := newOutdatedDispatcher(1)
	setQueue(d, "e0", 3*time.Second)
	r := admissionRequest(400*time.Millisecond, 300)
	_, reason := d.Place(expiredAt-2*time.Second, r)
	assert.Equal(t, reason, NoEndpoint)
	assert.Equal(t, r.SaturatedFor, time.Duration(0))
}

// Guards against a log line that counts endpoints as free while the request is refused.
func TestEndpointsWithExpiringWeightsAreNotCountedAsAvailable(t *testing.T) {
	d := newOutdatedDispatcher(1)
	assert.Equal(t, d.CountEndpoints(expiredAt-2*time.Second, newTestRequest(7)).Available, 1)
	setQueue(d, "e0", 3*time.Second)
	counts := d.CountEndpoints(expiredAt-2*time.Second, newTestRequest(7))
	assert.Equal(t, counts.Available, 0)
	assert.Equal(t, counts.OtherWeights, 1)
}
