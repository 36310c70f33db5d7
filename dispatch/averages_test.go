package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dialect"
)

// Guards against a new engine that is assumed to be slow and receives few requests until
// it is measured, which takes requests. The engines of this deployment are three times as
// fast as the default.
func TestNewEngineStartsWithTheAverageSpeed(t *testing.T) {
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
	assert.Assert(t, rate > 75 && rate < 95, "prefill rate %.0f tokens/ms", rate)
}

// Guards against wrong estimates of the memory that other instances' requests occupy, of
// which the engine reports only the number. With small requests the memory must not count
// as full, with large ones it must not count as free.
func TestOtherRequestsAreEstimatedByTheAverageSize(t *testing.T) {
	for _, c := range []struct {
		prompt      int
		hasCapacity bool
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
		assert.Equal(t, reason != NoCapacity, c.hasCapacity, "prompts of %d tokens: %s", c.prompt, reason)
	}
}
