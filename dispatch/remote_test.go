package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
)

// Guards against requests that count twice: at the scheduler that placed them and at the
// instance that sends them.
func TestOnlyTheSchedulerReportsARemotelyPlacedAttempt(t *testing.T) {
	scheduler, _ := newTestDispatcher(4)
	sender, _ := newTestDispatcher(4)
	r := newTestRequest(7)
	chosen, reason := scheduler.Place(0, r)
	assert.Equal(t, reason, RejectReason(""))
	accepted := sender.AcceptDecision(0, newTestRequest(7), chosen.Decision(0))
	assert.Assert(t, accepted != nil)
	assert.Equal(t, accepted.Endpoint.ID, chosen.Endpoint.ID)
	assert.Equal(t, len(scheduler.TakeLoadReports(0)), 1)
	assert.Equal(t, len(sender.TakeLoadReports(0)), 0)
	assert.Equal(t, len(sender.TakeCacheUpdates()), 0)
	assert.Equal(t, len(sender.TakeLoadReports(2*time.Second)), 0, "the load is not reported again either")
	sender.RecordResponseStart(time.Second, accepted)
	sender.RecordOutcome(time.Second, accepted, Completed)
	row := sender.endpoints[accepted.Endpoint.ID]
	assert.Equal(t, row.attempts, 0)
	assert.Equal(t, row.prefillTokens, 0.0)
	assert.DeepEqual(t, row.remotelyPlaced.attempts, 0)
	assert.Equal(t, row.remotelyPlaced.prefillTokens, 0.0)
}

// Guards against requests that are sent to an endpoint which this instance knows must not
// receive them.
func TestInvalidDecisionIsNotAccepted(t *testing.T) {
	scheduler, _ := newTestDispatcher(4)
	sender, _ := newTestDispatcher(4)
	chosen, _ := scheduler.Place(0, newTestRequest(7))
	sender.SetReachable(0, chosen.Endpoint.ID, false)
	assert.Assert(t, sender.AcceptDecision(0, newTestRequest(7), chosen.Decision(0)) == nil)
	sender.SetReachable(0, chosen.Endpoint.ID, true)
	newer := sender.endpoints[chosen.Endpoint.ID]
	older := chosen.Decision(0)
	newer.Weights["m"] = older.WeightsVersion + 1
	assert.Assert(t, sender.AcceptDecision(0, newTestRequest(7), older) == nil, "the endpoint serves newer weights")
	newer.Weights["m"] = older.WeightsVersion
	newer.Loading = true
	assert.Assert(t, sender.AcceptDecision(0, newTestRequest(7), older) != nil, "the sender may learn late that loading has ended")
	gone := chosen.Decision(0)
	gone.Endpoint = "gone"
	assert.Assert(t, sender.AcceptDecision(0, newTestRequest(7), gone) == nil)
}

// Guards against a scheduler that keeps sending prompts to an endpoint which has evicted
// them, and against one that stores every part, shared or not.
func TestForwardedCacheEventsOnlyUpdateKnownParts(t *testing.T) {
	d, _ := newTestDispatcher(4)
	r := newTestRequest(7)
	chosen, _ := d.Place(0, r)
	key := r.SharedParts[0].ID.KeyAt(chosen.WeightsVersion)
	report := CacheUpdate{Endpoint: chosen.Endpoint.ID, Key: key, Evicted: true}
	assert.Assert(t, !d.ApplyCacheEvent(evictionGrace/2, report), "the event is older than the placement")
	assert.Assert(t, d.ApplyCacheEvent(time.Second, report))
	assert.Equal(t, len(d.cache.holdersOf(time.Second, key)), 0)
	assert.Assert(t, !d.ApplyCacheEvent(time.Second, CacheUpdate{Endpoint: chosen.Endpoint.ID, Key: parts.Key(99)}))
	assert.Equal(t, len(d.cache.holders[parts.Key(99)]), 0)
}
