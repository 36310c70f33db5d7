package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against an instance that does not learn for how long all queues are too long, and
// against a limit on queues for an earlier version, which names no shortest target.
func TestSaturatedAnswerNamesTheWait(t *testing.T) {
	p := newDispatcherPlacer(1)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	r := generationRequest(p, 1)
	r.PromptTokens, r.UrgentTarget = 12_000, 400*time.Millisecond
	assert.Equal(t, z.client.Ask(t.Context(), r).Reason, dispatch.RejectReason(""))
	second := generationRequest(p, 2)
	second.UrgentTarget = 400 * time.Millisecond
	second.Route.TargetLatency = 400 * time.Millisecond
	answer := z.client.Ask(t.Context(), second)
	assert.Equal(t, answer.Reason, dispatch.Saturated)
	assert.Assert(t, answer.Wait > 50*time.Millisecond && answer.Wait < 400*time.Millisecond, "wait of %s", answer.Wait)

	earlier := generationRequest(p, parts.ID(3))
	assert.Equal(t, z.client.Ask(t.Context(), earlier).Reason, dispatch.RejectReason(""))
}
