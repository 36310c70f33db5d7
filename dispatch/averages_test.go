package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dialect"
)

// A deployment's engines are three times as fast as was assumed, and a new one joins.
// Taken to be slow, it would get little until it was measured, which takes requests.
func TestANewEngineIsTakenToBeLikeTheOthers(t *testing.T) {
	d, all := newTestDispatcher(2)
	now := time.Second
	for range 400 {
		r := newTestRequest(0)
		r.SharedParts = nil
		a := mustPlace(t, d, now, r)
		d.RecordResponseStart(now+time.Duration((baseFirstEventTime+a.prefillTokens/90)*float64(time.Millisecond)), a)
		now += time.Second
		d.RecordOutcome(now, a, Completed)
	}
	e := all["e0"].Clone()
	e.ID = "new"
	all["new"] = e
	d.SetEndpoints(all)
	rate := d.endpoints["new"].prefillRate
	assert.Assert(t, rate > 75 && rate < 95, "rate %.0f", rate)
}

// An engine says that others have requests there. Where requests are small, memory must
// not be taken to be full; where they are large, it must not be taken to be free.
func TestOthersRequestsAreTakenToBeLikeOwn(t *testing.T) {
	for _, c := range []struct {
		prompt int
		room   bool
	}{{200, true}, {20_000, false}} {
		d, _ := newTestDispatcher(1)
		for i := range 300 {
			r := newTestRequest(0)
			r.SharedParts, r.PromptTokens = nil, c.prompt
			now := time.Duration(i) * 10 * time.Second
			d.RecordOutcome(now, mustPlace(t, d, now, r), Cancelled)
		}
		now := 300 * 10 * time.Second
		first := mustPlace(t, d, now, newTestRequest(0))
		d.RecordEndpointLoad(now, first, dialect.EndpointLoad{Running: 7, Slots: 8})
		_, reason := d.Place(now, newTestRequest(8))
		assert.Equal(t, reason != NoCapacity, c.room, "prompts of %d tokens: %s", c.prompt, reason)
	}
}
