package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against long prompts that pile up, and are late, at a single endpoint which is cheap
// because it holds their parts, while others have queues that they may join.
func TestQueueLimitRestrictsTheChoice(t *testing.T) {
	now := 10 * time.Second
	for admission, want := range map[bool]tables.EndpointID{false: "e0", true: "e1"} {
		d, _ := newTestDispatcher(2)
		d.placedShares = map[string]*placedShare{"models": {urgent: 1000, other: 1000, at: now}}
		d.RecordCacheEvents(now, "e0", []parts.Key{parts.ID(1).KeyAt(1)}, nil, true)
		d.endpoints["e0"].prefillTokens = 500 * d.endpoints["e0"].prefillRate
		r := admissionRequest(3*time.Second, 20_500)
		r.SharedParts = []SharedPart{{ID: 1, EndTokens: 20_000}}
		if !admission {
			r.UrgentTarget = 0
		}
		assert.Equal(t, mustPlace(t, d, now, r).Endpoint.ID, want, "admission: %t", admission)
	}
}

// Guards against a retry that joins a long queue of a confirmed endpoint because an endpoint
// that it does not go to has a short one.
func TestRetryIsLimitedByConfirmedEndpoints(t *testing.T) {
	d, _ := newTestDispatcher(4)
	now := 10 * time.Second
	d.endpoints["e1"].hasResponded, d.endpoints["e1"].respondedAt = true, now
	d.endpoints["e1"].prefillTokens = 5000 * d.endpoints["e1"].prefillRate
	r := admissionRequest(400*time.Millisecond, 300)
	r.DeliveredAttempts = 1
	a, reason := d.Place(now, r)
	assert.Assert(t, a == nil, "placed at %v", a)
	assert.Equal(t, reason, Saturated)
	assert.Assert(t, r.SaturatedFor > 4*time.Second)
}

// Guards against relayed requests that join any queue.
func TestQueueLimitAppliesToRelayedRequests(t *testing.T) {
	d, _ := newTestDispatcher(8)
	now := 10 * time.Second
	d.SetRelayAvailable(true)
	loseLinks(d, now)
	assert.Assert(t, mustPlace(t, d, now, admissionRequest(400*time.Millisecond, 300)).Relayed)
	setQueues(d, 5000)
	_, reason := d.Place(now, admissionRequest(400*time.Millisecond, 300))
	assert.Equal(t, reason, Saturated)
}

// Guards against shares that count attempts which reached no process, and attempts of schedulers
// whose answers came too late: less urgent work would lose its minimum share.
func TestAttemptsThatDidNotRunGiveBackTheirShare(t *testing.T) {
	now := 10 * time.Second
	for outcome, counted := range map[Outcome]bool{ConnectionRefused: false, ConnectTimeout: false, RelayUnavailable: false, RateLimited: false, Cancelled: false, Completed: true, Broken: true} {
		d, _ := newTestDispatcher(4)
		urgent := mustPlace(t, d, now, admissionRequest(400*time.Millisecond, 1000))
		other := mustPlace(t, d, now, admissionRequest(3*time.Second, 1000))
		d.RecordOutcome(now+time.Second, urgent, outcome)
		d.RecordOutcome(now+time.Second, other, outcome)
		share := d.placedShares["models"]
		assert.Equal(t, share.urgent > 1, counted, "outcome %v: %f", outcome, share.urgent)
		assert.Equal(t, share.other > 1, counted, "outcome %v: %f", outcome, share.other)
	}
	d, _ := newTestDispatcher(4)
	a := mustPlace(t, d, now, admissionRequest(400*time.Millisecond, 1000))
	d.RecordResponseStart(now, a)
	d.RecordOutcome(now, a, Cancelled)
	assert.Assert(t, d.placedShares["models"].urgent > 1, "its prompt was computed")
}
