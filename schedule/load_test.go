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
// placed attempts for others, against one whose estimate of unreported requests depends on whether
// endpoints name a slowdown, against a lost message that changes anything else, and against
// messages about loads without a slowdown.
func TestSchedulerReportsTheSlowdownOfItsAttempts(t *testing.T) {
	load := dialect.EndpointLoad{Running: 3, Waiting: 2, Slots: 4}
	for _, lost := range []bool{false, true} {
		p := newDispatcherPlacer(1)
		z := newTestZone(func() tables.Instant { return p.now }, p)
		assignment := z.client.Ask(t.Context(), generationRequest(p, 1))
		assert.Equal(t, assignment.Choice.Scheduler, tables.InstanceID("x"))
		var sent []dialect.EndpointLoad
		z.lost = func(m *rpc.ScheduleMessage) bool {
			sent = append(sent, decodeLoad(m.GetProgress().GetLoad()))
			return lost
		}
		assignment.NotifyLoad(load)
		assert.Equal(t, len(sent), 0)
		slowed := load
		slowed.SlowdownPercent = 250
		assignment.NotifyLoad(slowed)
		assert.DeepEqual(t, sent, []dialect.EndpointLoad{slowed})
		z.lost = func(*rpc.ScheduleMessage) bool { return false }
		p.now += 100 * time.Millisecond
		assignment.NotifyStarted()
		want := dispatch.LoadReport{SlowdownPercent: 250, SlowdownAge: 100 * time.Millisecond}
		if lost {
			want = dispatch.LoadReport{}
		}
		report := p.dispatch.TakeLoadReports(p.now)[0]
		assert.Equal(t, report.Running, 1)
		assert.Equal(t, report.SlowdownPercent, want.SlowdownPercent, "lost: %t", lost)
		assert.Equal(t, report.SlowdownAge, want.SlowdownAge, "lost: %t", lost)
		second, reason := p.dispatch.Place(p.now, generationRequest(p, 2))
		assert.Assert(t, second != nil, "%s", reason)
		assert.Equal(t, second.Rationale.OtherAttempts, 0, "lost: %t", lost)
	}
}

func decodeLoad(l *rpc.EndpointLoadAnswer) dialect.EndpointLoad {
	return dialect.EndpointLoad{
		Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Slots: int(l.GetSlots()), SlowdownPercent: int(l.GetSlowdownPercent()),
	}
}
