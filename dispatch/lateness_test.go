package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
)

// Guards against waiting for the engine that holds the prompt when its queue makes the
// answer late. The other engine is idle but cannot fetch the prompt, since the first has
// just failed. A late answer is worth a tenth, so recomputing the prompt is cheaper; with
// a shorter queue it is not.
func TestPromptIsRecomputedBeforeItsAnswerIsLate(t *testing.T) {
	for _, c := range []struct {
		queue int
		stays bool
	}{{10_000, true}, {30_000, false}} {
		d, _ := newTestDispatcher(2)
		r := newTestRequest(7)
		r.Route.TargetLatency = 600 * time.Millisecond
		first := mustPlace(t, d, time.Second, r)
		d.RecordResponseStart(2*time.Second, first)
		d.RecordOutcome(2*time.Second, first, Broken)
		d.ApplyLoadReport(2*time.Second, "other", LoadReport{Endpoint: first.Endpoint.ID, Running: 1, MemoryTokens: c.queue, PrefillTokens: c.queue})
		second := mustPlace(t, d, 3*time.Second, r)
		assert.Equal(t, second.Endpoint.ID == first.Endpoint.ID, c.stays, "queue %d", c.queue)
	}
}

// Guards against recomputing a prompt for an answer that is late in any case, which
// evicts what other requests need for no gain. All engines have long queues, and one of
// them holds the prompt.
func TestRequestThatIsLateAnywhereStaysWithItsCachedPrompt(t *testing.T) {
	d, _ := newTestDispatcher(2)
	r := newTestRequest(7)
	r.Route.TargetLatency = 600 * time.Millisecond
	first := mustPlace(t, d, time.Second, r)
	latency := first.ExpectedLatency // as fast as expected, so that the speed estimate does not change
	d.RecordResponseStart(time.Second+latency, first)
	d.RecordOutcome(time.Second+latency, first, Completed)
	for id, queue := range map[bool]int{true: 120_000, false: 60_000} {
		for _, row := range d.endpoints {
			if (row.ID == first.Endpoint.ID) == id {
				d.ApplyLoadReport(3*time.Second, "other", LoadReport{Endpoint: row.ID, Running: 1, MemoryTokens: 1, PrefillTokens: queue})
			}
		}
	}
	assert.Equal(t, mustPlace(t, d, 3*time.Second, r).Endpoint.ID, first.Endpoint.ID)
}

// Guards against a wait within the target that costs much, and against a cost of a late
// answer that keeps growing with each second.
func TestLatenessCostIsBounded(t *testing.T) {
	r := newTestRequest(7)
	r.Route.TargetLatency = 600 * time.Millisecond
	r.ArrivedAt = time.Second
	late := lateCost * 600
	assert.Assert(t, r.latenessCost(time.Second, 150) < late/20)
	assert.Assert(t, r.latenessCost(time.Second, 300) < late/6)
	assert.Assert(t, r.latenessCost(time.Second, 1200) > late/2)
	assert.Assert(t, r.latenessCost(time.Second, 10_000) < late+waitCost*10_000)
	assert.Assert(t, r.latenessCost(2*time.Second, 150) > late/2, "the time already waited counts")
}

// Guards against computing a long prompt twice to meet a request's target while
// everything behind it waits. Another request has the prompt computed behind a queue that
// takes longer than the target. A short prompt is recomputed, since that costs next to
// nothing.
func TestLongPromptIsNotRecomputedToMeetTheTarget(t *testing.T) {
	for _, c := range []struct {
		tokens int
		waits  bool
	}{{14_000, true}, {90, false}} {
		d, all := newTestDispatcher(4)
		request := func() *Request {
			r := newTestRequest(7)
			r.Route = &routes.Route{TargetLatency: 400 * time.Millisecond}
			r.SharedParts = r.SharedParts[1:]
			r.SharedParts[0].EndTokens, r.PromptTokens = c.tokens, c.tokens+300
			r.ArrivedAt = time.Second
			return r
		}
		for id := range all {
			d.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: id, Running: 1, MemoryTokens: 1, PrefillTokens: 30_000})
		}
		mustPlace(t, d, time.Second, request())
		for id := range all {
			d.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: id})
		}
		_, reason := d.Place(time.Second+10*time.Millisecond, request())
		assert.Equal(t, reason == PrefillPending, c.waits, "%d tokens: %s", c.tokens, reason)
	}
}
