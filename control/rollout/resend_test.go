package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against engines that leave orders unanswered and wait for turns until their weights are overdue.
func TestEnginesThatLeaveOrdersUnansweredGetTheNextOnesInTime(t *testing.T) {
	f := silentEngines(9, maxVersionDelay)
	f.run(maxVersionDelay)
	for id, orders := range f.orders {
		assert.Check(t, len(orders) >= 12, "%s got %d orders", id, len(orders))
	}
}

// Guards against orders that go on at full pace to engines that never answer.
func TestOrdersSlowDownOnceTheirTimeIsLongOver(t *testing.T) {
	f := silentEngines(1, time.Second)
	f.run(time.Minute)
	orders := f.orders["e00"]
	for i, at := range orders[1:] {
		early := at < overdueTargetFactor*time.Second+2*time.Second
		assert.Check(t, early || at-orders[i] > maxReportAge, "orders at %v and %v", orders[i], at)
	}
}

// Guards against orders without a cordon that have more engines load at once than allowed, while orders are answered.
func TestResentOrdersWaitForASlotWhileOrdersAreAnswered(t *testing.T) {
	f := silentEngines(9, maxVersionDelay)
	f.run(3 * time.Second)
	loading := 0
	for range 3 {
		for _, action := range f.planner.NextActions(f.now) {
			if action.Version != 0 {
				loading++
				f.planner.HandleOrderResult(f.now, action.Endpoint.ID, Accepted)
			}
		}
		f.now += stepInterval
	}
	assert.Assert(t, loading <= minConcurrent+1, "%d loads", loading)
}

// Guards against a new holder of the lease that takes targets for new which engines have lacked for long.
func TestNewHolderKnowsSinceWhenEnginesLackATarget(t *testing.T) {
	r, _, _ := observedController()
	r.observeLag(time.Second)
	r.planner = r.planner.NextPlanner()
	now := time.Second + maxVersionDelay
	r.plan(now)
	oldest, _ := r.planner.outdatedFor(now, r.planner.engineStates["e"])
	assert.Equal(t, oldest, maxVersionDelay)
}

// Guards against an engine that waits for slots until its weights are overdue, while others with newer ones take them.
func TestEngineWhoseTimeRunsOutNeedsNoSlot(t *testing.T) {
	for passed, want := range map[time.Duration]bool{maxVersionDelay/2 - stepInterval: false, maxVersionDelay / 2: true} {
		f := silentEngines(3, maxVersionDelay)
		f.run(3 * time.Second)
		for id := range f.orders {
			f.planner.HandleOrderResult(f.now, id, 0)
		}
		f.planner.answeredShare = 1
		f.now = time.Second + passed
		engines := f.planner.oldestFirst()
		assert.Equal(t, len(f.planner.resendOrders(f.now, engines, 0)) > 0, want, "%v", passed)
	}
}

// Guards against an engine that is not polled while it gets one order after the other.
func TestEngineThatLeavesOrdersUnansweredIsPolled(t *testing.T) {
	f := silentEngines(9, maxVersionDelay)
	f.run(maxVersionDelay)
	for id, r := range f.planner.engineStates {
		assert.Check(t, f.now-r.polledAt < 2*time.Second, "%s was last polled at %v, it is %v", id, r.polledAt, f.now)
	}
}

// Guards against orders that all expect a sequence which a delayed order has taken long since.
func TestDelayedOrderThatTakesTheSequenceIsNoticedBesideFurtherOrders(t *testing.T) {
	f := silentEngines(1, maxVersionDelay)
	f.run(3 * time.Second)
	f.planner.SetTarget("m", 3)
	report := &Report{Sequence: 1, Weights: map[string]uint64{"m": 2}, Born: 1}
	var orders, void int
	var noticed tables.Instant
	began, orderedAt := f.now, tables.Instant(0)
	for ; noticed == 0 && f.now < began+maxVersionDelay; f.now += stepInterval {
		if r := f.planner.engineStates["e00"]; r.phase == orderSent && f.now-r.orderedAt >= orderTimeout {
			f.planner.HandleOrderResult(f.now, "e00", 0)
		}
		for _, action := range f.planner.NextActions(f.now) {
			switch {
			case action.Version == 0:
				f.planner.HandleReport(f.now, "e00", report)
			case action.Sequence == 1:
				noticed = f.now
			default:
				orders, void, orderedAt = orders+1, void+1, f.now
			}
		}
	}
	assert.Check(t, noticed != 0 && noticed-began < 2*time.Second, "after %v: %d orders, %d void, the last at %v", f.now-began, orders, void, orderedAt)
}

// Guards against more loads than allowed while orders are answered, if the answers take a while.
func TestResentOrdersInFlightCountAgainstTheLimit(t *testing.T) {
	f := silentEngines(9, maxVersionDelay)
	f.run(3 * time.Second)
	f.planner.answeredShare = 1
	for id, r := range f.planner.engineStates {
		if r.phase == orderSent {
			f.planner.HandleOrderResult(f.now, id, 0)
		}
	}
	f.now += resendInterval
	ordered := 0
	for end := f.now + 200*time.Millisecond; f.now < end; f.now += stepInterval {
		for _, action := range f.planner.NextActions(f.now) {
			if action.Version != 0 {
				ordered++
			}
		}
	}
	for id, r := range f.planner.engineStates {
		if r.phase == orderSent {
			f.planner.HandleOrderResult(f.now, id, Accepted)
		}
	}
	assert.Assert(t, ordered <= minConcurrent+1, "%d orders are in flight, and accepted after 0.2 s", ordered)
}

// Guards against engines that wait for turns since the target has been known for long, though no holder could order them.
func TestEnginesGetTheNextOrdersInTimeAfterATimeWithoutAHolder(t *testing.T) {
	f := silentEngines(9, maxVersionDelay)
	f.planner.recordTargets(f.now, f.planner.targets)
	f.now += 20 * time.Second
	f.run(maxVersionDelay)
	for id, orders := range f.orders {
		assert.Check(t, len(orders) >= 12, "%s got %d orders", id, len(orders))
	}
}

// Guards against engines that start with replaced weights long after the target and wait for turns.
func TestEnginesThatStartLateGetTheNextOrdersInTime(t *testing.T) {
	f := silentEngines(9, maxVersionDelay)
	f.planner.recordTargets(f.now, f.planner.targets)
	f.now += 20 * time.Second
	var restarted []fleet.Endpoint
	for id := range f.planner.engineStates {
		restarted = append(restarted, fleet.Endpoint{ID: id, StartUnixMilli: 2, Weights: map[string]uint64{"m": 1}})
	}
	f.planner.UpdateEndpoints(restarted)
	f.run(maxVersionDelay)
	for id, orders := range f.orders {
		assert.Check(t, len(orders) >= 12, "%s got %d orders", id, len(orders))
	}
}

// Guards against a share of answered orders that counts those which were not sent.
func TestOrderThatWasNotSentIsNotAnswered(t *testing.T) {
	f, order := orderedController(t)
	f.controller.planner.answeredShare = 0
	f.controller.handleOrderResult(2*time.Second, order, 1, Rejected, &tables.NoQuorumError{})
	assert.Equal(t, f.controller.planner.answeredShare, 0.0)
}

// Guards against a model that gets no order while those for another model of its engine are left unanswered.
func TestUnansweredOrdersOfOneModelDoNotHoldUpAnother(t *testing.T) {
	p := NewPlanner()
	p.EnginesCheckFence, p.WeightsTimeout = true, maxVersionDelay
	p.UpdateEndpoints([]fleet.Endpoint{{ID: "e", StartUnixMilli: 1, Weights: map[string]uint64{"a": 1, "b": 1}}})
	p.SetTarget("a", 2)
	p.SetTarget("b", 2)
	orders := map[string]int{}
	for now := time.Second; now < time.Second+maxVersionDelay; now += stepInterval {
		if r := p.engineStates["e"]; r.phase == orderSent && now-r.orderedAt >= orderTimeout {
			p.HandleOrderResult(now, "e", 0)
		}
		for _, action := range p.NextActions(now) {
			if action.Version == 0 {
				p.HandleReport(now, "e", &Report{Weights: map[string]uint64{"a": 1, "b": 1}, Born: 1})
				continue
			}
			orders[action.Model]++
		}
	}
	assert.Assert(t, orders["b"] > 0, "orders: %v", orders)
}
