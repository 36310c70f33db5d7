package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// engineSim is an engine that takes orders as the platform's do.
type engineSim struct {
	version, next uint64
	sequence      uint64
	doneAt        tables.Instant
}

// fleetSim plays a plan against engines in virtual time.
type fleetSim struct {
	plan    *Planner
	now     tables.Instant
	engines map[tables.EndpointID]*engineSim
	// most is how many engines were loading at once.
	most   int
	orders int
	// lose says whether the n-th order, from 1, gets no answer and is lost.
	lose func(n int) bool
}

const loadTime = 400 * time.Millisecond

func newFleetSim(n int) *fleetSim {
	s := &fleetSim{plan: NewPlanner(), engines: map[tables.EndpointID]*engineSim{}, lose: func(int) bool { return false }}
	var all []fleet.Endpoint
	for i := range n {
		id := tables.EndpointID(fmt.Sprintf("e%02d", i))
		s.engines[id] = &engineSim{version: 1}
		all = append(all, fleet.Endpoint{
			ID: id, Zone: tables.Zone([]string{"a", "b", "c"}[i%3]), Born: 1, Weights: map[string]uint64{"m": 1},
		})
	}
	s.plan.UpdateEndpoints(all)
	return s
}

func (s *fleetSim) step() {
	s.now += 50 * time.Millisecond
	loading := 0
	for _, e := range s.engines {
		if e.next != 0 && s.now >= e.doneAt {
			e.version, e.next = e.next, 0
		}
		if e.next != 0 {
			loading++
		}
	}
	s.most = max(s.most, loading)
	for _, action := range s.plan.NextActions(s.now) {
		s.carryOut(action)
	}
}

func (s *fleetSim) carryOut(action Action) {
	e, id := s.engines[action.Endpoint.ID], action.Endpoint.ID
	if action.Version == 0 {
		s.plan.HandleReport(s.now, id, &Report{
			Sequence: e.sequence, Busy: e.next != 0, Weights: map[string]uint64{"m": e.version},
		})
		return
	}
	s.orders++
	switch {
	case s.lose(s.orders):
		s.plan.HandleOrderResult(s.now, id, 0)
	case e.next != 0 || e.sequence != action.Sequence:
		s.plan.HandleOrderResult(s.now, id, Conflict)
	default:
		e.sequence++
		e.next, e.doneAt = action.Version, s.now+loadTime
		s.plan.HandleOrderResult(s.now, id, Accepted)
	}
}

// until steps until every engine serves the version, and gives how long it took.
func (s *fleetSim) until(t *testing.T, version uint64) time.Duration {
	t.Helper()
	begin := s.now
	for s.now < begin+time.Minute {
		s.step()
		behind := 0
		for _, e := range s.engines {
			if e.version < version {
				behind++
			}
		}
		if behind == 0 && s.plan.Converged() {
			return s.now - begin
		}
	}
	t.Fatalf("not all engines serve version %d after a minute", version)
	return 0
}

func TestAllEnginesAreBroughtUpToDateFewAtATime(t *testing.T) {
	s := newFleetSim(9)
	s.plan.SetTarget("m", 2)
	took := s.until(t, 2)
	assert.Assert(t, took < 6*time.Second, "took %v", took)
	assert.Assert(t, s.most <= 2, "%d engines were loading at once", s.most)
	assert.Equal(t, s.orders, 9)
}

// A newer version is named every second, faster than all engines can load one.
// If those that are done first were always the next to be ordered, the last ones
// would keep weights that callers must not get any more.
func TestEnginesThatAreFurthestBehindComeFirst(t *testing.T) {
	s := newFleetSim(9)
	for version := uint64(2); version < 8; version++ {
		s.plan.SetTarget("m", version)
		for range 20 {
			s.step()
		}
	}
	for id, e := range s.engines {
		assert.Assert(t, e.version+5 >= 7, "%s has version %d", id, e.version)
	}
}

// An order gets no answer and is lost. The engine must be asked and ordered
// again, or it keeps its old weights for good.
func TestALostOrderIsGivenAgain(t *testing.T) {
	s := newFleetSim(3)
	s.lose = func(n int) bool { return n <= 2 }
	s.plan.SetTarget("m", 2)
	s.until(t, 2)
	assert.Equal(t, s.orders, 5)
}

// An order gets no answer and is carried out seconds later, after a newer one.
// Without the expected sequence it would bring the old weights back.
func TestALateOrderIsOutdated(t *testing.T) {
	s := newFleetSim(1)
	var late []Action
	s.plan.SetTarget("m", 2)
	for len(late) == 0 {
		s.now += 50 * time.Millisecond
		for _, action := range s.plan.NextActions(s.now) {
			if action.Version == 0 {
				s.carryOut(action)
				continue
			}
			late = append(late, action)
			s.plan.HandleOrderResult(s.now, action.Endpoint.ID, 0)
		}
	}
	s.plan.SetTarget("m", 3)
	s.until(t, 3)
	e := s.engines["e00"]
	assert.Assert(t, late[0].Sequence != e.sequence, "the late order would still be taken")
}

// An engine restarts in the middle of a rollout and counts orders from zero
// again. What was known of its former life would make every order outdated.
func TestARestartedEngineIsAskedAnew(t *testing.T) {
	s := newFleetSim(1)
	s.plan.SetTarget("m", 2)
	s.until(t, 2)
	s.engines["e00"] = &engineSim{version: 2}
	s.plan.UpdateEndpoints([]fleet.Endpoint{{ID: "e00", Zone: "a", Born: 2, Weights: map[string]uint64{"m": 2}}})
	s.plan.SetTarget("m", 3)
	s.until(t, 3)
}

func TestDrainingEnginesGetNoOrders(t *testing.T) {
	p := NewPlanner()
	p.UpdateEndpoints([]fleet.Endpoint{{ID: "e", Draining: true, Weights: map[string]uint64{"m": 1}}})
	p.SetTarget("m", 2)
	assert.Equal(t, len(p.NextActions(time.Second)), 0)
	assert.Equal(t, p.Converged(), true)
}

// Another holder has just given an engine an order. It has to rest, and the
// others must not wait for it: requests would begin on old weights meanwhile.
func TestAnEngineThatRestsDoesNotHoldUpTheOthers(t *testing.T) {
	s := newFleetSim(4)
	s.plan.DelayOrders("e00", 3*time.Second)
	s.plan.SetTarget("m", 2)
	for s.now < 2500*time.Millisecond {
		s.step()
	}
	assert.Equal(t, s.engines["e00"].sequence, uint64(0))
	for _, id := range []tables.EndpointID{"e01", "e02", "e03"} {
		assert.Equal(t, s.engines[id].version, uint64(2), "%s", id)
	}
	for s.now < 5*time.Second {
		s.step()
	}
	assert.Equal(t, s.engines["e00"].version, uint64(2))
}

// Orders get no answer and are carried out late, or never. Were engines with such an
// order taken to be loading, few would be left to serve, and no others would get theirs.
func TestAnOrderWithoutAnAnswerHoldsNobodyUp(t *testing.T) {
	s := newFleetSim(10)
	s.lose = func(n int) bool { return n <= 2 }
	s.plan.SetTarget("m", 2)
	for s.orders < 2 {
		s.step()
	}
	assert.Equal(t, s.most, 0)
	silent := 0
	for id, r := range s.plan.rows {
		if r.silent {
			silent++
			assert.Equal(t, s.plan.Updating(id), false)
		}
	}
	assert.Equal(t, silent, 2)
	for s.now < reportLag+closeFor {
		s.step()
	}
	assert.Assert(t, s.orders >= 4, "%d orders", s.orders)
	for s.now < 5*time.Second {
		s.step()
	}
	for id, e := range s.engines {
		assert.Equal(t, e.version, uint64(2), "%s", id)
	}
}
