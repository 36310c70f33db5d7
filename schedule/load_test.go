package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against a scheduler that does not know the slowdown of the endpoints at which it has
// placed attempts for others, or does not pass it on with its age, and against a lost message
// that changes anything else.
func TestSchedulerReportsTheSlowdownOfItsAttempts(t *testing.T) {
	slowed := dialect.EndpointLoad{Running: 2, Waiting: 1, Slots: 4, SlowdownPercent: 250}
	for _, lost := range []bool{false, true} {
		p := newDispatcherPlacer(1)
		z := newTestZone(func() tables.Instant { return p.now }, p)
		z.lost = func(m *rpc.ScheduleMessage) bool { return lost && m.GetProgress().GetLoad() != nil }
		assignment := z.client.Ask(t.Context(), generationRequest(p, 1))
		assignment.NotifyLoad(slowed)
		p.now += 100 * time.Millisecond
		assignment.NotifyStarted()
		reports := p.dispatch.TakeLoadReports(p.now)
		assert.Equal(t, len(reports), 1)
		assert.Equal(t, reports[0].Running, 1)
		want := dispatch.LoadReport{SlowdownPercent: 250, SlowdownAge: 100 * time.Millisecond}
		if lost {
			want = dispatch.LoadReport{}
		}
		assert.Equal(t, reports[0].SlowdownPercent, want.SlowdownPercent, "lost: %t", lost)
		assert.Equal(t, reports[0].SlowdownAge, want.SlowdownAge, "lost: %t", lost)
		assignment.NotifyEnded(dispatch.Completed)
		assert.Equal(t, p.running(), 0)
	}
}

// Guards against messages to schedulers in deployments whose endpoints do not report their
// slowdown, and against a load that loses a value on the way.
func TestOnlyLoadsWithSlowdownAreSent(t *testing.T) {
	p := newDispatcherPlacer(1)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	assignment := z.client.Ask(t.Context(), generationRequest(p, 1))
	var sent []*rpc.AttemptProgress
	z.lost = func(m *rpc.ScheduleMessage) bool { sent = append(sent, m.GetProgress()); return false }
	assignment.NotifyLoad(dialect.EndpointLoad{Running: 2, Waiting: 1, Slots: 4})
	assignment.NotifyLoad(dialect.EndpointLoad{Running: 2, Waiting: 1, Slots: 4, SlowdownUnusable: true})
	assert.Equal(t, len(sent), 0)
	var placedHere *Assignment
	placedHere.NotifyLoad(dialect.EndpointLoad{SlowdownPercent: 100})
	load := dialect.EndpointLoad{Running: 2, Waiting: 1, Slots: 4, SlowdownPercent: 100}
	assignment.NotifyLoad(load)
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, decodeLoad(sent[0].GetLoad()), load)
}
