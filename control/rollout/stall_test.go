package rollout

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// cordonedEngine returns a planner whose only engine, at version 1, is cordoned for its order to load version 2.
func cordonedEngine(t *testing.T) (*Planner, tables.Instant) {
	t.Helper()
	p := NewPlanner()
	p.UpdateEndpoints(outdatedEngine(1))
	p.SetTarget("m", 2)
	now := time.Second
	assert.Equal(t, len(p.NextActions(now)), 1, "a poll")
	p.HandleReport(now, "e", &Report{Weights: map[string]uint64{"m": 1}, Born: 1})
	now += stepInterval
	assert.Equal(t, len(p.NextActions(now)), 0)
	assert.Assert(t, p.Updating("e"), "cordoned")
	return p, now
}

// Guards against a slot that is lost for good because an engine gets its weights between cordon and order.
func TestEngineThatIsUpToDateBeforeItsOrderKeepsNoSlot(t *testing.T) {
	p, now := cordonedEngine(t)
	listed := map[string]uint64{"m": 2}
	p.UpdateEndpoints([]fleet.Endpoint{{ID: "e", StartUnixMilli: 1, Weights: listed}})
	p.ObserveList(now, map[tables.EndpointID]map[string]uint64{"e": listed})
	for range 40 {
		now += stepInterval
		for _, action := range p.NextActions(now) {
			assert.Equal(t, action.Version, uint64(0), "an order for weights that it has")
			p.HandleReport(now, "e", &Report{Sequence: 1, Weights: map[string]uint64{"m": 2}, Born: 1})
		}
	}
	assert.Assert(t, !p.Updating("e"), "entry instances would send it nothing")
	assert.Assert(t, p.Converged())
}

// Guards against an endpoint that entry instances avoid for good: its order was dropped, or belongs to an earlier
// holder of the lease.
func TestLoadingIsResetForEndpointsWithoutAnUpdate(t *testing.T) {
	r, table, _ := observedController()
	table.SetLoading("e", true)
	newer := outdatedEngine(1)
	newer[0].Weights["m"] = 2
	table.ApplyList(newer)
	assert.Assert(t, table.Endpoints()[0].Loading)
	assert.Equal(t, len(r.plan(time.Second)), 0)
	assert.Assert(t, !table.Endpoints()[0].Loading)
}

// nextOrder steps until the planner orders the engine, answers polls with the report, and returns the order and
// the time that it took.
func nextOrder(t *testing.T, p *Planner, now tables.Instant, report func() *Report) (Action, time.Duration) {
	t.Helper()
	for began := now; now-began < time.Minute; now += stepInterval {
		for _, action := range p.NextActions(now) {
			if action.Version != 0 {
				return action, now - began
			}
			p.HandleReport(now, action.Endpoint.ID, report())
		}
	}
	t.Fatal("no order within a minute")
	return Action{}, 0
}

// Guards against an update that waits for its timeout because a delayed order of an older version came first.
func TestDelayedOrderThatTakesTheSequenceEndsTheUpdate(t *testing.T) {
	p, now := cordonedEngine(t)
	report := &Report{Weights: map[string]uint64{"m": 1}, Born: 1}
	answer := func() *Report { return report }
	_, took := nextOrder(t, p, now, answer)
	now += took
	p.HandleOrderResult(now, "e", 0)
	p.SetTarget("m", 3)
	_, took = nextOrder(t, p, now, answer)
	now += took
	p.HandleOrderResult(now, "e", 0)

	report = &Report{Sequence: 1, Weights: map[string]uint64{"m": 2}, Born: 1}
	order, took := nextOrder(t, p, now, answer)
	assert.Equal(t, order.Sequence, uint64(1))
	assert.Equal(t, order.Version, uint64(3))
	assert.Assert(t, took < time.Second, "took %v", took)
}

// Guards against requests that wait at an engine when its order arrives, since its earlier order got no answer.
func TestEngineIsCordonedAgainAfterAnOrderWithoutAnAnswer(t *testing.T) {
	p, now := cordonedEngine(t)
	report := func() *Report { return &Report{Weights: map[string]uint64{"m": 1}, Born: 1} }
	_, took := nextOrder(t, p, now, report)
	now += took
	p.HandleOrderResult(now, "e", 0)
	assert.Assert(t, !p.Updating("e"))
	for p.engineStates["e"].phase != cordoned {
		now += stepInterval
		for _, action := range p.NextActions(now) {
			p.HandleReport(now, action.Endpoint.ID, report())
		}
	}
	assert.Assert(t, p.Updating("e"))
}

// updateAllBut names version 2 to nine engines and returns how long it takes until all have it but those for which
// onAccepted, which is called at each accepted order, returned true.
func updateAllBut(t *testing.T, onAccepted func(s *simulation, p *simProcess) bool) time.Duration {
	t.Helper()
	s := newSimulation(1, 9, simTrouble{})
	stuck := map[*simProcess]bool{}
	s.onAccepted = func(p *simProcess) { stuck[p] = onAccepted(s, p) }
	for s.now < 2*time.Second {
		s.step()
	}
	s.named = append(s.named, simVersion{version: 2, ackedAt: s.now})
	began := s.now
	for s.now-began < 5*time.Minute {
		s.step()
		behind := 0
		for _, p := range s.processes {
			if p.version < 2 && !stuck[p] {
				behind++
			}
		}
		if behind == 0 {
			return s.now - began
		}
	}
	t.Fatal("not updated within five minutes")
	return 0
}

// maxVersionDelay is the platform's bound for requests: none begins on replaced weights after it.
const maxVersionDelay = 8 * time.Second

// Guards against engines that fall silent just after they accepted an order and keep the others from theirs.
func TestEnginesThatFallSilentAfterTheirOrderHoldNoSlots(t *testing.T) {
	silent := 0
	took := updateAllBut(t, func(s *simulation, p *simProcess) bool {
		if silent == 4 {
			return false
		}
		silent++
		p.silentUntil, p.loadedAt = s.now+time.Hour, s.now+time.Hour
		return true
	})
	assert.Assert(t, took < maxVersionDelay, "the other five were updated after %v", took)
}

// Guards against engines whose load never ends and keep the others from theirs.
func TestEnginesWhoseLoadNeverEndsHoldNoSlots(t *testing.T) {
	hung := 0
	took := updateAllBut(t, func(s *simulation, p *simProcess) bool {
		if hung == 2 {
			return false
		}
		hung++
		p.loadedAt = s.now + time.Hour
		return true
	})
	assert.Assert(t, took < maxVersionLag, "the other seven were updated after %v", took)
}

// Guards against a rollout that takes loads which are all long for hung ones, and has most engines load at once.
func TestLongLoadsStayWithinTheLimit(t *testing.T) {
	var s *simulation
	took := updateAllBut(t, func(running *simulation, p *simProcess) bool {
		s = running
		p.loadedAt = s.now + 10*time.Second
		return false
	})
	assert.Assert(t, took > 30*time.Second, "took %v", took)
	assert.Assert(t, s.maxLoading <= minConcurrent+1, "%d loaded at once", s.maxLoading)
}

// Guards against engines that answer no order, come first with their old weights and take all turns.
func TestEnginesThatAnswerNoOrderDoNotTakeAllTurns(t *testing.T) {
	const engines, sound = 140, 10
	p := NewPlanner()
	p.SetTarget("m", 3)
	var all []fleet.Endpoint
	for i := range engines {
		all = append(all, fleet.Endpoint{ID: tables.EndpointID(fmt.Sprintf("e%03d", i)), StartUnixMilli: 1, Weights: map[string]uint64{"m": 1}})
		if i < sound {
			all[i].Weights["m"] = 2
		}
	}
	p.UpdateEndpoints(all)
	updated := map[tables.EndpointID]bool{}
	now := time.Second
	for ; len(updated) < sound && now < time.Minute; now += stepInterval {
		for _, action := range p.NextActions(now) {
			id := action.Endpoint.ID
			serves := action.Endpoint.Weights["m"]
			switch {
			case action.Version == 0:
				p.HandleReport(now, id, &Report{Weights: map[string]uint64{"m": serves}})
			case serves == 2:
				updated[id] = true
				p.HandleOrderResult(now, id, AlreadyServing)
			default:
				p.HandleOrderResult(now, id, 0)
			}
		}
	}
	assert.Assert(t, now < maxVersionDelay, "the sound ones were updated after %v", now)
}

// Guards against a model whose order an engine always rejects and that keeps its other models from theirs.
func TestModelThatIsRejectedDoesNotHoldUpTheOthers(t *testing.T) {
	p := NewPlanner()
	weights := map[string]uint64{"a": 1, "b": 1, "c": 1}
	p.UpdateEndpoints([]fleet.Endpoint{{ID: "e", StartUnixMilli: 1, Weights: weights}})
	for model := range weights {
		p.SetTarget(model, 2)
	}
	now := time.Second
	report := func() *Report { return &Report{Weights: maps.Clone(weights), Born: 1} }
	for range 8 {
		order, took := nextOrder(t, p, now, report)
		now += took
		if order.Model == "a" {
			p.HandleOrderResult(now, "e", Rejected)
			continue
		}
		weights[order.Model] = 2
		p.HandleOrderResult(now, "e", AlreadyServing)
	}
	assert.DeepEqual(t, weights, map[string]uint64{"a": 1, "b": 2, "c": 2})
}

// Guards against a new holder of the lease that has engines load beside those that the holder before has ordered.
func TestNewHolderCountsTheLoadsInProgress(t *testing.T) {
	var s *simulation
	accepted := 0
	updateAllBut(t, func(running *simulation, p *simProcess) bool {
		s = running
		p.loadedAt = s.now + 3*time.Second
		if accepted++; accepted%minConcurrent == 0 {
			s.after(time.Second, s.newHolder)
		}
		return false
	})
	assert.Assert(t, s.maxLoading <= minConcurrent+1, "%d loaded at once", s.maxLoading)
}

// Guards against loads that follow a quick one, are all long, and count as hung one after the other.
func TestLongLoadsAfterAQuickOneStayWithinTheLimit(t *testing.T) {
	var s *simulation
	accepted := 0
	updateAllBut(t, func(running *simulation, p *simProcess) bool {
		s = running
		if accepted++; accepted > 1 {
			p.loadedAt = s.now + 20*time.Second
		}
		return false
	})
	assert.Assert(t, s.maxLoading <= 2*minConcurrent, "%d loaded at once", s.maxLoading)
}

// Guards against more hung loads than engines may load at once, which stop the rollout for good.
func TestManyLoadsThatNeverEndDoNotStopTheRollout(t *testing.T) {
	accepted := 0
	updateAllBut(t, func(s *simulation, p *simProcess) bool {
		if accepted++; accepted == 1 || accepted > 5 {
			return false
		}
		p.loadedAt = s.now + time.Hour
		return true
	})
}

// Guards against a poll that an engine must answer before each order, though a declined order changes nothing.
func TestDeclinedOrderKeepsTheSequence(t *testing.T) {
	p, now := cordonedEngine(t)
	report := func() *Report { return &Report{Weights: map[string]uint64{"m": 1}, Born: 1} }
	_, took := nextOrder(t, p, now, report)
	now += took
	p.HandleOrderResult(now, "e", Declined)
	p.HandlePushback(now, "e", time.Second)
	nextOrder(t, p, now, func() *Report {
		t.Fatal("polled")
		return nil
	})
}

// Guards against an engine that declines its order without a time and gets one after the other.
func TestEngineThatDeclinesWithoutATimeIsNotOrderedAtFullPace(t *testing.T) {
	p, now := cordonedEngine(t)
	orders := 0
	for until := now + 2*time.Second; now < until; now += stepInterval {
		for _, action := range p.NextActions(now) {
			if action.Version == 0 {
				p.HandleReport(now, "e", &Report{Weights: map[string]uint64{"m": 1}, Born: 1})
				continue
			}
			orders++
			p.HandleOrderResult(now, "e", Declined)
		}
	}
	assert.Assert(t, orders <= 6, "%d orders in 2 s", orders)
}
