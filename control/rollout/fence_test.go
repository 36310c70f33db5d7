package rollout

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// racingOrders returns an engine that checks fencing tokens, and the orders for two targets that were sent while
// neither was answered.
func racingOrders() (s *simulation, older, newer Order) {
	s = newSimulation(1, 1, simTrouble{})
	older = s.controller.newOrder(Action{Model: "m", Version: 2, Generation: 1}, s.leases)
	newer = s.controller.newOrder(Action{Model: "m", Version: 3, Generation: 2}, s.leases)
	return s, older, newer
}

// Guards against a newer order that is void because a delayed older one was carried out first.
func TestNewerOrderIsCarriedOutAfterADelayedOlderOne(t *testing.T) {
	s, older, newer := racingOrders()
	engine := s.processes[0]
	assert.Equal(t, s.carryOut(engine, older), Accepted)
	s.now += time.Second
	s.stepProcess(engine)
	assert.Equal(t, s.carryOut(engine, newer), Accepted)
}

// Guards against a delayed order that restores weights which a newer order has replaced.
func TestDelayedOlderOrderIsRejected(t *testing.T) {
	s, older, newer := racingOrders()
	engine := s.processes[0]
	assert.Equal(t, s.carryOut(engine, newer), Accepted)
	s.now += time.Second
	s.stepProcess(engine)
	assert.Equal(t, s.carryOut(engine, older), Fenced)
}

// Guards against tokens of a lease that are higher than those of a later one.
func TestTokensOfALaterLeaseAreHigher(t *testing.T) {
	assert.Assert(t, orderToken(1, 1<<40) < orderToken(2, 0))
	assert.Assert(t, orderToken(1, 1) < orderToken(1, 2))
}

// Guards against an engine whose reports get lost and that gets no order, though it needs none of them.
func TestEngineThatGivesNoReportIsOrderedUnderAFence(t *testing.T) {
	for fenced, want := range map[bool]bool{true: true, false: false} {
		p := NewPlanner()
		p.EnginesCheckFence, p.WeightsTimeout = fenced, maxVersionDelay
		p.UpdateEndpoints(outdatedEngine(1))
		p.SetTarget("m", 2)
		ordered := false
		for now := time.Second; now < 4*time.Second; now += stepInterval {
			for _, action := range p.NextActions(now) {
				ordered = ordered || action.Version != 0
				p.HandleReport(now, action.Endpoint.ID, nil)
			}
		}
		assert.Equal(t, ordered, want, "fenced %v", fenced)
	}
}

// heldController returns a controller that holds the lease of a control group that regards it as held for good.
func heldController(t *testing.T, now *tables.Instant, target *uint64) *Controller {
	t.Helper()
	table := fleet.NewTable(1)
	table.ApplyList(outdatedEngine(1))
	r := NewController(Options{
		Engines: &fakeEngine{now: func() tables.Instant { return *now }}, Executor: &fakeControlGroup{},
		Fleet: table, Log: zap.NewNop(), IsLeader: func() bool { return false }, EnginesCheckFence: true,
		TargetVersions: func() map[string]uint64 { return map[string]uint64{"m": *target} },
		Instance:       "c", Boot: 1, LeaseDuration: 1500 * time.Millisecond, Now: func() tables.Instant { return *now },
	})
	assert.NilError(t, r.lease.AcquireOrRenew(t.Context()))
	return r
}

// Guards against a lease that is renewed too late and under its token, and whose orders lose against earlier ones.
func TestTokensRiseWhenTheLeaseIsRenewedTooLate(t *testing.T) {
	now, target := time.Second, uint64(2)
	r := heldController(t, &now, &target)
	nextOrder := func() Order {
		r.step(t.Context())
		fence, _ := r.lease.TokenAndTTL()
		return r.newOrder(Action{Model: "m", Version: target, Generation: r.planner.generation}, fence)
	}
	nextOrder()
	target = 3
	older := nextOrder()
	now += 2 * time.Second
	r.step(t.Context())
	assert.Assert(t, !r.HoldsLease(), "the lease has ended by the clock of its holder")
	assert.NilError(t, r.lease.AcquireOrRenew(t.Context()))
	target = 4
	newer := nextOrder()

	s := newSimulation(1, 1, simTrouble{})
	p := s.processes[0]
	assert.Equal(t, s.carryOut(p, newer), Accepted)
	s.now += time.Second
	s.stepProcess(p)
	assert.Equal(t, s.carryOut(p, older), Fenced, "tokens %d, then %d: the engine goes back to version %d", older.Fence, newer.Fence, p.loading)
}

// Guards against an accepted order that counts as overtaken since a report of before shows a later sequence.
func TestReportOfBeforeTheOrderDoesNotEndTheUpdate(t *testing.T) {
	p := NewPlanner()
	p.EnginesCheckFence, p.WeightsTimeout = true, maxVersionDelay
	p.UpdateEndpoints(outdatedEngine(1))
	p.SetTarget("m", 2)
	order, took := nextOrder(t, p, time.Second, func() *Report { return &Report{Weights: map[string]uint64{"m": 1}, Born: 1} })
	assert.Equal(t, order.Sequence, uint64(0))
	now := time.Second + took
	p.SetTarget("m", 3)
	// The order for version 2 is carried out late, and the next one is accepted after it, with sequence 2.
	p.HandleOrderResult(now+orderTimeout, "e", 0)
	order, took = nextOrder(t, p, now+orderTimeout, func() *Report { return &Report{Weights: map[string]uint64{"m": 1}, Born: 1} })
	assert.Equal(t, order.Version, uint64(3))
	now += orderTimeout + took
	p.HandleOrderResult(now, "e", Accepted)
	for until := now + maxReportAge; now < until; now += stepInterval {
		for _, action := range p.NextActions(now) {
			assert.Equal(t, action.Version, uint64(0), "ordered during the load")
			p.HandleReport(now, "e", &Report{Sequence: 1, Weights: map[string]uint64{"m": 2}, Born: 1})
			assert.Equal(t, p.engineStates["e"].phase, updating, "the engine loads")
		}
	}
}

// Guards against an order to the process before that brings older weights back after a restart.
func TestLateOrderToTheProcessBeforeIsVoidAfterARestart(t *testing.T) {
	s := newSimulation(1, 1, simTrouble{lateOutlivesProcess: true})
	p := s.processes[0]
	p.sequence, p.version = 3, 4
	late := s.controller.newOrder(Action{Model: "m", Version: 4, Sequence: 3, Generation: 3}, s.leases)
	newer := s.controller.newOrder(Action{Model: "m", Version: 5, Sequence: 3, Generation: 4}, s.leases)
	assert.Equal(t, s.carryOut(p, newer), Accepted)
	s.now += time.Second
	s.stepProcess(p)
	p.goneAt = s.now
	restarted := s.startProcess(0, p.id, p.version)
	assert.Assert(t, s.carryOut(restarted, late) != Accepted, "goes back to version %d", restarted.loading)
}

// Guards against a newer order that waits for the report of an accepted one, though engines that check tokens need none.
func TestEngineWhosePollsGetNoAnswerAfterItsOrderIsOrderedUnderAFence(t *testing.T) {
	p := NewPlanner()
	p.EnginesCheckFence, p.WeightsTimeout = true, maxVersionDelay
	p.UpdateEndpoints(outdatedEngine(1))
	p.SetTarget("m", 2)
	_, took := nextOrder(t, p, time.Second, func() *Report { return &Report{Weights: map[string]uint64{"m": 1}, Born: 1} })
	now := time.Second + took
	p.HandleOrderResult(now, "e", Accepted)
	p.SetTarget("m", 3)
	order, took := nextOrder(t, p, now, func() *Report { return nil })
	assert.Equal(t, order.Version, uint64(3))
	assert.Assert(t, took < maxVersionDelay/2, "ordered after %v", took)
}
