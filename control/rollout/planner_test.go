package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// simulatedEngine accepts orders by the rules of the platform's engines.
type simulatedEngine struct {
	version, next uint64
	sequence      uint64
	doneAt        tables.Instant
}

// fleetSimulation runs a planner against simulated engines in virtual time.
type fleetSimulation struct {
	planner *Planner
	now     tables.Instant
	engines map[tables.EndpointID]*simulatedEngine
	// maxLoading is the highest number of engines that were loading at once.
	maxLoading int
	orders     int
	// lose reports whether the n-th order, counted from 1, is lost without an
	// answer.
	lose func(n int) bool
}

const loadTime = 400 * time.Millisecond

func newFleetSimulation(n int) *fleetSimulation {
	s := &fleetSimulation{planner: NewPlanner(), engines: map[tables.EndpointID]*simulatedEngine{}, lose: func(int) bool { return false }}
	var all []fleet.Endpoint
	for i := range n {
		id := tables.EndpointID(fmt.Sprintf("e%02d", i))
		s.engines[id] = &simulatedEngine{version: 1}
		all = append(all, fleet.Endpoint{
			ID: id, Zone: tables.Zone([]string{"a", "b", "c"}[i%3]), StartUnixMilli: 1, Weights: map[string]uint64{"m": 1},
		})
	}
	s.planner.UpdateEndpoints(all)
	return s
}

func (s *fleetSimulation) step() {
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
	s.maxLoading = max(s.maxLoading, loading)
	for _, action := range s.planner.NextActions(s.now) {
		s.execute(action)
	}
}

func (s *fleetSimulation) execute(action Action) {
	e, id := s.engines[action.Endpoint.ID], action.Endpoint.ID
	if action.Version == 0 {
		s.planner.HandleReport(s.now, id, &Report{
			Sequence: e.sequence, Busy: e.next != 0, Weights: map[string]uint64{"m": e.version},
		})
		return
	}
	s.orders++
	switch {
	case s.lose(s.orders):
		s.planner.HandleOrderResult(s.now, id, 0)
	case e.next != 0 || e.sequence != action.Sequence:
		s.planner.HandleOrderResult(s.now, id, Conflict)
	default:
		e.sequence++
		e.next, e.doneAt = action.Version, s.now+loadTime
		s.planner.HandleOrderResult(s.now, id, Accepted)
	}
}

// runUntilVersion steps until every engine serves the version, and returns the
// elapsed time.
func (s *fleetSimulation) runUntilVersion(t *testing.T, version uint64) time.Duration {
	t.Helper()
	begin := s.now
	for s.now < begin+time.Minute {
		s.step()
		outdated := 0
		for _, e := range s.engines {
			if e.version < version {
				outdated++
			}
		}
		if outdated == 0 && s.planner.Converged() {
			return s.now - begin
		}
	}
	t.Fatalf("not all engines serve version %d after a minute", version)
	return 0
}

func TestRolloutLimitsConcurrentUpdates(t *testing.T) {
	s := newFleetSimulation(9)
	s.planner.SetTarget("m", 2)
	took := s.runUntilVersion(t, 2)
	assert.Assert(t, took < 6*time.Second, "took %v", took)
	assert.Assert(t, s.maxLoading <= 2, "%d concurrent updates", s.maxLoading)
	assert.Equal(t, s.orders, 9)
}

// A newer version is published every second, faster than all engines can load
// one. If the engines that finish first were always updated first, the last
// ones would keep serving weights that callers must not get any more.
func TestEnginesWithOldestWeightsAreUpdatedFirst(t *testing.T) {
	s := newFleetSimulation(9)
	for version := uint64(2); version < 8; version++ {
		s.planner.SetTarget("m", version)
		for range 20 {
			s.step()
		}
	}
	for id, e := range s.engines {
		assert.Assert(t, e.version+5 >= 7, "%s has version %d", id, e.version)
	}
}

// An order is lost without an answer. The engine must be polled and ordered
// again, or it keeps its old weights forever.
func TestLostOrderIsRetried(t *testing.T) {
	s := newFleetSimulation(3)
	s.lose = func(n int) bool { return n <= 2 }
	s.planner.SetTarget("m", 2)
	s.runUntilVersion(t, 2)
	assert.Equal(t, s.orders, 5)
}

// An order gets no answer and is executed seconds later, after a newer one.
// Without the sequence check it would restore the old weights.
func TestDelayedOrderHasStaleSequence(t *testing.T) {
	s := newFleetSimulation(1)
	var late []Action
	s.planner.SetTarget("m", 2)
	for len(late) == 0 {
		s.now += 50 * time.Millisecond
		for _, action := range s.planner.NextActions(s.now) {
			if action.Version == 0 {
				s.execute(action)
				continue
			}
			late = append(late, action)
			s.planner.HandleOrderResult(s.now, action.Endpoint.ID, 0)
		}
	}
	s.planner.SetTarget("m", 3)
	s.runUntilVersion(t, 3)
	e := s.engines["e00"]
	assert.Assert(t, late[0].Sequence != e.sequence, "the delayed order would still be accepted")
}

// An engine restarts during a rollout and counts its orders from zero again.
// The sequence of the earlier process would make every order outdated.
func TestRestartedEngineIsPolledForItsSequence(t *testing.T) {
	s := newFleetSimulation(1)
	s.planner.SetTarget("m", 2)
	s.runUntilVersion(t, 2)
	s.engines["e00"] = &simulatedEngine{version: 2}
	s.planner.UpdateEndpoints([]fleet.Endpoint{{ID: "e00", Zone: "a", StartUnixMilli: 2, Weights: map[string]uint64{"m": 2}}})
	s.planner.SetTarget("m", 3)
	s.runUntilVersion(t, 3)
}

func TestDrainingEnginesGetNoOrders(t *testing.T) {
	p := NewPlanner()
	p.UpdateEndpoints([]fleet.Endpoint{{ID: "e", Draining: true, Weights: map[string]uint64{"m": 1}}})
	p.SetTarget("m", 2)
	assert.Equal(t, len(p.NextActions(time.Second)), 0)
	assert.Equal(t, p.Converged(), true)
}

// Orders to one engine are delayed because another holder has just sent it one.
// The rollout to the other engines must continue, or requests would start on
// old weights meanwhile.
func TestDelayedEngineDoesNotBlockTheRollout(t *testing.T) {
	s := newFleetSimulation(4)
	s.planner.DelayOrders("e00", 3*time.Second)
	s.planner.SetTarget("m", 2)
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

// Orders get no answer and are executed late, or never. If engines with such an
// order counted as loading, few engines would be left to serve, and no other
// engine would be updated.
func TestUnconfirmedOrderDoesNotBlockTheRollout(t *testing.T) {
	s := newFleetSimulation(10)
	s.lose = func(n int) bool { return n <= 2 }
	s.planner.SetTarget("m", 2)
	for s.orders < 2 {
		s.step()
	}
	assert.Equal(t, s.maxLoading, 0)
	unconfirmed := 0
	for id, r := range s.planner.engineStates {
		if r.unconfirmed {
			unconfirmed++
			assert.Equal(t, s.planner.Updating(id), false)
		}
	}
	assert.Equal(t, unconfirmed, 2)
	for s.now < maxReportAge+cordonTime {
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
