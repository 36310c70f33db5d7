package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
)

// outdatedEngine returns an engine that serves an older version than the target.
func outdatedEngine(start int64) []fleet.Endpoint {
	return []fleet.Endpoint{{ID: "e", StartUnixMilli: start, Weights: map[string]uint64{"m": 1}}}
}

// Guards against orders and polls to an engine that has asked for a time without calls, and
// against a pause that outlives the process.
func TestEngineThatPushesBackGetsNoCalls(t *testing.T) {
	p := NewPlanner()
	p.SetTarget("m", 2)
	p.UpdateEndpoints(outdatedEngine(1))
	now := time.Second
	assert.Equal(t, len(p.NextActions(now)), 1)
	p.HandlePushback(now, "e", 3*time.Second)
	for ; now < 4*time.Second; now += 50 * time.Millisecond {
		assert.Equal(t, len(p.NextActions(now)), 0, "at %v", now)
	}
	assert.Equal(t, len(p.NextActions(now)), 1)

	p.HandlePushback(now, "e", time.Hour)
	p.UpdateEndpoints(outdatedEngine(2))
	assert.Equal(t, len(p.NextActions(now)), 1, "another process")
}

// Guards against an engine that gets no requests for as long as it wants no calls, because an
// order is believed to be under way there.
func TestEngineThatPushesBackIsNotTakenForLoading(t *testing.T) {
	p := NewPlanner()
	p.SetTarget("m", 2)
	p.UpdateEndpoints(outdatedEngine(1))
	now := time.Second
	p.NextActions(now)
	p.HandleReport(now, "e", &Report{Sequence: 1, Weights: map[string]uint64{"m": 1}})
	for i := 0; len(p.NextActions(now)) == 0; i++ {
		assert.Assert(t, i < 100)
		now += 50 * time.Millisecond
	}
	p.HandleOrderResult(now, "e", Accepted)
	assert.Assert(t, p.Updating("e"))
	p.HandlePushback(now, "e", time.Minute)
	assert.Assert(t, !p.Updating("e"))
	now += time.Minute
	assert.Equal(t, len(p.NextActions(now)), 1)
	assert.Assert(t, p.HandleReport(now, "e", &Report{Sequence: 2, Weights: map[string]uint64{"m": 2}}))
}

// Guards against orders to an engine that has announced its end, and against instances that do
// not learn of it.
func TestEngineThatAnnouncesDrainingGetsNoOrders(t *testing.T) {
	p := NewPlanner()
	p.SetTarget("m", 2)
	p.UpdateEndpoints(outdatedEngine(1))
	p.NextActions(time.Second)
	p.HandleDraining("e")
	p.HandleReport(time.Second, "e", &Report{Sequence: 1, Weights: map[string]uint64{"m": 1}})
	assert.Assert(t, p.Converged())

	table := fleet.NewTable(1)
	table.ApplyList(outdatedEngine(5))
	table.SetDraining("e", 4)
	assert.Assert(t, !table.Endpoints()[0].Draining, "another process")
	table.SetDraining("e", 5)
	table.ApplyList(outdatedEngine(5))
	assert.Assert(t, table.Endpoints()[0].Draining)
}
