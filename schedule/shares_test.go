package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// costPlacer answers with a cost of other instances.
type costPlacer struct {
	*dispatcherPlacer
	asked *dispatch.Request
}

func (p *costPlacer) PlaceRequest(r *dispatch.Request) (*dispatch.Attempt, dispatch.RejectReason) {
	p.asked = r
	if r.Organisation != "" {
		r.OthersCost = r.OrganisationCost + 7
	}
	return p.dispatcherPlacer.PlaceRequest(r)
}

// Guards against a scheduler that does not learn who asks for which organisation, an asking instance
// that does not learn the costs of others, whether or not it gets an endpoint, and fields that are
// set while nothing waits.
func TestQuestionAndAnswerCarryCosts(t *testing.T) {
	p := &costPlacer{dispatcherPlacer: newDispatcherPlacer(1)}
	z := newTestZone(func() tables.Instant { return p.now }, p.dispatcherPlacer)
	z.servers[address(1)] = NewServer(p, func() tables.Instant { return p.now })
	var questions []*rpc.ScheduleQuestion
	z.lost = func(m *rpc.ScheduleMessage) bool {
		if m.GetQuestion() != nil {
			questions = append(questions, m.GetQuestion())
		}
		return false
	}
	r := generationRequest(p.dispatcherPlacer, 1)
	assert.Equal(t, z.client.Ask(t.Context(), r).OthersCost, uint64(0))
	assert.Equal(t, questions[0].GetOrganisation(), "")
	r = generationRequest(p.dispatcherPlacer, 2)
	r.Organisation, r.OrganisationCost = "org", 100
	assert.Equal(t, z.client.Ask(t.Context(), r).OthersCost, uint64(107))
	assert.Equal(t, p.asked.Asker, tables.InstanceID("asker"))
	assert.Equal(t, p.asked.OrganisationCost, uint64(100))
	r = generationRequest(p.dispatcherPlacer, 3)
	r.Organisation, r.PromptTokens, r.Deadline = "org", 1<<20, p.now+time.Second
	refused := z.client.Ask(t.Context(), r)
	assert.Assert(t, refused.Reason != "")
	assert.Equal(t, refused.OthersCost, uint64(7))
}
