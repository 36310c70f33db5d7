package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// newRetry returns a request of which an earlier attempt was delivered.
func newRetry() *Request {
	r := newTestRequest(1)
	r.SharedParts = nil
	r.DeliveredAttempts = 1
	return r
}

// answerAll has every endpoint answer once.
func answerAll(t *testing.T, d *Dispatcher, now tables.Instant, endpoints int) {
	t.Helper()
	r := newTestRequest(1)
	r.SharedParts = nil
	for range endpoints {
		a := mustPlace(t, d, now, r)
		r.Tried = append(r.Tried, a.Endpoint.ID)
		d.RecordOutcome(now, a, Completed)
	}
}

// Guards against a retry to an idle endpoint that may have ended while others are known
// to be running.
func TestRetryPrefersAConfirmedEndpoint(t *testing.T) {
	d, _ := newTestDispatcher(4)
	answerAll(t, d, time.Second, 4)
	now := 4 * time.Second
	r := newTestRequest(1)
	r.SharedParts = nil
	confirmed := mustPlace(t, d, now, r)
	d.RecordResponseStart(now, confirmed)
	for range 3 {
		assert.Equal(t, mustPlace(t, d, now, newRetry()).Endpoint.ID, confirmed.Endpoint.ID)
	}
	assert.Equal(t, d.unconfirmedInWindow(now), 0)
}

// Guards against unlimited retries while no endpoint is confirmed, and against requests
// being rejected for good once endpoints are confirmed.
func TestRetriesToUnconfirmedEndpointsAreBounded(t *testing.T) {
	d, _ := newTestDispatcher(40)
	d.SetInstanceCount(9)
	now := time.Second
	share := int(d.extraRetries(now))
	var unconfirmed []*Attempt
	for range share {
		unconfirmed = append(unconfirmed, mustPlace(t, d, now, newRetry()))
	}
	_, reason := d.Place(now, newRetry())
	assert.Equal(t, reason, NoEndpoint)

	d.RecordOutcome(now, unconfirmed[0], Misdirected)
	d.RecordOutcome(now, unconfirmed[1], Broken)
	d.RecordOutcome(now, unconfirmed[2], Cancelled)
	_, reason = d.Place(now, newRetry())
	assert.Equal(t, reason, NoEndpoint)

	d.RecordOutcome(now, unconfirmed[3], ConnectTimeout)
	mustPlace(t, d, now, newRetry())
	_, reason = d.Place(now, newRetry())
	assert.Equal(t, reason, NoEndpoint)

	d.RecordResponseStart(now, unconfirmed[4])
	assert.Equal(t, mustPlace(t, d, now, newRetry()).Endpoint.ID, unconfirmed[4].Endpoint.ID)
}

// Guards against the sum of both kinds of retries exceeding the budget of a service.
func TestUnconfirmedRetriesReduceTheRetryBudget(t *testing.T) {
	d, _ := newTestDispatcher(40)
	d.SetInstanceCount(9)
	now := time.Second
	share := int(d.extraRetries(now))
	mustPlace(t, d, now, newRetry())
	for range share - 1 {
		assert.Assert(t, d.TakeRetry(now, "other"))
	}
	assert.Assert(t, !d.TakeRetry(now, "other"))
	assert.Assert(t, !d.CanRetryUnconfirmed(now))
	assert.Assert(t, d.CanRetryUnconfirmed(now+11*time.Second))
}

// Guards against subtracting a retry from the count after its slice has left the window.
func TestLateOutcomeDoesNotReleaseAnExpiredRetry(t *testing.T) {
	d, _ := newTestDispatcher(40)
	now := time.Second
	late := mustPlace(t, d, now, newRetry())
	now += 12 * time.Second
	mustPlace(t, d, now, newRetry())
	d.RecordOutcome(now, late, Completed)
	assert.Equal(t, d.unconfirmedInWindow(now), 1)
}

// Guards against a scheduler that counts other instances' retries as its own, or places
// them on endpoints that the requesting instance may not use.
func TestRetryForAnotherInstanceFollowsThatInstancesBudget(t *testing.T) {
	d, _ := newTestDispatcher(4)
	now := time.Second
	r := newRetry()
	r.Remote, r.ConfirmedOnly = true, true
	_, reason := d.Place(now, r)
	assert.Equal(t, reason, NoEndpoint)

	r.ConfirmedOnly = false
	a := mustPlace(t, d, now, r)
	assert.Equal(t, d.unconfirmedInWindow(now), 0)

	asking, _ := newTestDispatcher(4)
	assert.Assert(t, asking.AcceptDecision(now, newRetry(), a.Decision(0)) != nil)
	assert.Equal(t, asking.unconfirmedInWindow(now), 1)
}
