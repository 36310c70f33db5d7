package rollout

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// outdatedEngine returns an engine that serves an older version than the target.
func outdatedEngine(start int64) []fleet.Endpoint {
	return []fleet.Endpoint{{ID: "e", StartUnixMilli: start, Weights: map[string]uint64{"m": 1}}}
}

// Guards against orders and polls to an engine that has requested a back-off, and against
// a pause that outlives the process.
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

// Guards against an engine that gets no requests during the back-off of a control
// instance, because an order is believed to be under way there.
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

// announcingEngine answers a status query with a report or an error.
type announcingEngine struct {
	report Report
	err    error
}

func (e announcingEngine) Report(context.Context, fleet.Endpoint) (Report, error) {
	return e.report, e.err
}

func (e announcingEngine) Order(context.Context, fleet.Endpoint, Order) (OrderResult, error) {
	return Rejected, e.err
}

// pollOnce has a controller poll the outdated engine and handle the result.
func pollOnce(t *testing.T, engine announcingEngine) (*Controller, *fleet.Table) {
	t.Helper()
	table := fleet.NewTable(1)
	table.ApplyList(outdatedEngine(1))
	r := NewController(Options{
		Engines: engine, Executor: &fakeControlGroup{}, Instance: "c", Boot: 1, LeaseDuration: time.Minute, EnginesCheckFence: true,
		Now: func() tables.Instant { return time.Second }, Log: zap.NewNop(), Fleet: table,
	})
	r.planner.SetTarget("m", 2)
	r.planner.UpdateEndpoints(table.Endpoints())
	actions := r.planner.NextActions(time.Second)
	assert.Equal(t, len(actions), 1)
	r.poll(t.Context(), r.planner, actions[0])
	(<-r.results)()
	return r, table
}

// Guards against a controller that takes a pushback for a missing answer and asks again soon.
func TestControllerKeepsThePushbackOfAnEngine(t *testing.T) {
	r, _ := pollOnce(t, announcingEngine{err: &engine.PushbackError{RetryAfter: time.Minute, Cause: context.Canceled}})
	assert.Equal(t, len(r.planner.NextActions(time.Second+pollRetryDelay)), 0)
	assert.Equal(t, len(r.planner.NextActions(time.Second+time.Minute)), 1)
}

// Guards against a control instance that does not pass on that an engine has announced its end.
func TestControllerPassesOnThatAnEngineIsDraining(t *testing.T) {
	r, table := pollOnce(t, announcingEngine{report: Report{Draining: true, Born: 1, Weights: map[string]uint64{"m": 1}}})
	assert.Assert(t, table.Endpoints()[0].Draining)
	assert.Assert(t, r.planner.Converged())
}

// Guards against calls during a back-off by a holder that has lost the lease and has it again.
func TestBackOffOutlivesTheLease(t *testing.T) {
	p := NewPlanner()
	p.SetTarget("m", 2)
	p.UpdateEndpoints(outdatedEngine(1))
	now := time.Second
	assert.Equal(t, len(p.NextActions(now)), 1)
	p.HandlePushback(now, "e", time.Minute)
	p = p.NextPlanner()
	p.SetTarget("m", 2)
	p.UpdateEndpoints(outdatedEngine(1))
	assert.Equal(t, len(p.NextActions(now+59*time.Second)), 0)
	assert.Equal(t, len(p.NextActions(now+time.Minute)), 1)

	p = p.NextPlanner()
	p.SetTarget("m", 2)
	p.UpdateEndpoints(outdatedEngine(2))
	assert.Equal(t, len(p.NextActions(now+59*time.Second)), 1, "another process")
}

// Guards against an engine that keeps replaced weights for as long as it has asked one instance for a back-off, while
// others could send it the order.
func TestEngineThatAsksTheHolderForALongBackOffIsLeftToAnother(t *testing.T) {
	now := time.Second
	table := fleet.NewTable(1)
	table.ApplyList(outdatedEngine(1))
	r := NewController(Options{
		Executor: &fakeControlGroup{}, Instance: "c", Boot: 1, LeaseDuration: time.Minute, EnginesCheckFence: true, Fleet: table,
		IsLeader: func() bool { return false }, TargetVersions: func() map[string]uint64 { return map[string]uint64{"m": 2} },
		Engines: announcingEngine{err: &engine.PushbackError{RetryAfter: time.Minute, Cause: context.Canceled}},
		Now:     func() tables.Instant { return now }, Log: zap.NewNop(),
	})
	assert.NilError(t, r.lease.AcquireOrRenew(t.Context()))
	r.step(t.Context())
	(<-r.results)()
	for ; now < time.Second+maxVersionLag; now += stepInterval {
		r.step(t.Context())
	}
	_, left := r.lease.TokenAndTTL()
	assert.Assert(t, left <= 0, "nobody else may send the order")
}
