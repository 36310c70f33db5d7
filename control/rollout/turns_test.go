package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// silentEngines returns engines at version 1 that lack a target. They answer polls, and no orders.
func silentEngines(engines int, weightsTimeout time.Duration) *silentFleet {
	f := &silentFleet{planner: NewPlanner(), now: time.Second, orders: map[tables.EndpointID][]tables.Instant{}}
	f.planner.WeightsTimeout = weightsTimeout
	var all []fleet.Endpoint
	for i := range engines {
		all = append(all, fleet.Endpoint{ID: tables.EndpointID(fmt.Sprintf("e%02d", i)), StartUnixMilli: 1, Weights: map[string]uint64{"m": 1}})
	}
	f.planner.UpdateEndpoints(all)
	f.planner.SetTarget("m", 2)
	return f
}

type silentFleet struct {
	planner *Planner
	now     tables.Instant
	// orders holds when each engine got its orders.
	orders map[tables.EndpointID][]tables.Instant
}

// run steps for a time. Orders end without an answer after orderTimeout.
func (f *silentFleet) run(d time.Duration) {
	var ending []Action
	for end := f.now + d; f.now < end; f.now += stepInterval {
		for len(ending) > 0 && f.now-f.lastOrder(ending[0]) >= orderTimeout {
			f.planner.HandleOrderResult(f.now, ending[0].Endpoint.ID, 0)
			ending = ending[1:]
		}
		for _, action := range f.planner.NextActions(f.now) {
			id := action.Endpoint.ID
			if action.Version == 0 {
				f.planner.HandleReport(f.now, id, &Report{Weights: map[string]uint64{"m": 1}, Born: 1})
				continue
			}
			f.orders[id] = append(f.orders[id], f.now)
			ending = append(ending, action)
		}
	}
}

func (f *silentFleet) lastOrder(action Action) tables.Instant {
	orders := f.orders[action.Endpoint.ID]
	return orders[len(orders)-1]
}

// Guards against engines that get no order while others, which leave theirs unanswered, get one after the other.
func TestEnginesThatGotNoOrderComeBeforeThoseThatDidNotAnswer(t *testing.T) {
	f := silentEngines(9, 0)
	f.run(2500 * time.Millisecond)
	assert.Equal(t, len(f.orders), 9)
}

// Guards against a model that waits for newer versions of another one since its name comes later.
func TestModelWhoseTargetIsLackedLongestComesFirst(t *testing.T) {
	p := NewPlanner()
	p.UpdateEndpoints([]fleet.Endpoint{{ID: "e", StartUnixMilli: 1, Weights: map[string]uint64{"a": 1, "b": 1}}})
	report := func() *Report { return &Report{Weights: map[string]uint64{"a": 1, "b": 1}, Born: 1} }
	p.SetTarget("b", 2)
	assert.Equal(t, len(p.NextActions(time.Second)), 1)
	p.HandleReport(time.Second, "e", report())
	p.SetTarget("a", 2)
	order, _ := nextOrder(t, p, 2*time.Second, report)
	assert.Equal(t, order.Model, "b")
}

// Guards against a zone that loses all its engines at once since they have had no order yet.
func TestZonesAlternateAmongEnginesThatHadNoOrder(t *testing.T) {
	p := NewPlanner()
	var all []fleet.Endpoint
	for i, zone := range []tables.Zone{"a", "a", "b", "b", "c", "c"} {
		all = append(all, fleet.Endpoint{ID: tables.EndpointID([]string{"a0", "a1", "b0", "b1", "c0", "c1"}[i]), Zone: zone, StartUnixMilli: 1, Weights: map[string]uint64{"m": 1}})
	}
	p.UpdateEndpoints(all)
	for i, id := range []tables.EndpointID{"b0", "b1", "c0", "c1"} {
		p.engineStates[id].orderedAt = time.Duration(i+1) * time.Millisecond
	}
	engines := p.oldestFirst()
	assert.Assert(t, engines[0].Zone != engines[1].Zone, "%s and %s load at once, their zone has no other engine", engines[0].ID, engines[1].ID)
}
