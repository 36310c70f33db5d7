package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
