package rollout

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// firstSequence is the sequence of the engine before its first order.
const firstSequence = 4

// orderedController returns a controller that has ordered its engine to load the target, and the order.
func orderedController(t *testing.T) (*versionFixture, Action) {
	t.Helper()
	f := newVersionFixture(1)
	f.target = 3
	f.controller.holdsLease.Store(true)
	now := time.Second
	for _, poll := range f.controller.plan(now) {
		f.controller.handleReport(now, poll, Report{Sequence: firstSequence, Weights: map[string]uint64{"m": 1}, Born: 1}, nil)
	}
	for ; now < 5*time.Second; now += stepInterval {
		for _, order := range f.controller.plan(now) {
			assert.Equal(t, order.Version, uint64(3))
			f.controller.recordOrder(now, order.Endpoint.ID)
			return f, order
		}
	}
	t.Fatal("no order")
	return nil, Action{}
}

// report passes a report of the engine to the controller.
func (f *versionFixture) report(now tables.Instant, sequence, version uint64, busy bool) {
	action := Action{Endpoint: f.table.Endpoints()[0], Process: 1}
	f.controller.handleReport(now, action, Report{Sequence: sequence, Weights: map[string]uint64{"m": version}, Born: 1, Busy: busy}, nil)
}

// orderCounts returns how many orders were sent, got no answer and were overtaken.
func (f *versionFixture) orderCounts() []int64 {
	counters := f.controller.counters
	return []int64{counters.sent.Count(), counters.unanswered.Count(), counters.overtaken.Count()}
}

// Guards against a race of orders that the log doesn't tell from orders that are lost.
func TestOlderOrderThatComesFirstIsLogged(t *testing.T) {
	f, order := orderedController(t)
	f.controller.handleOrderResult(2*time.Second, order, 1, 0, context.DeadlineExceeded)
	f.report(3*time.Second, firstSequence, 1, false)
	f.report(4*time.Second, firstSequence+1, 1, true)
	assert.Equal(t, len(linesOf(f.logs, events.RolloutOvertaken)), 0, "lost so far, or in progress")
	f.report(5*time.Second, firstSequence+1, 2, false)
	f.report(6*time.Second, firstSequence+1, 2, false)
	lines := linesOf(f.logs, events.RolloutOvertaken)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0]["ordered"], uint64(3))
	assert.Equal(t, lines[0]["expected_sequence"], uint64(firstSequence))
	assert.Equal(t, lines[0]["sequence"], uint64(firstSequence+1))
	assert.Equal(t, lines[0]["orders"], int64(1))
	assert.DeepEqual(t, f.orderCounts(), []int64{1, 1, 1})
	unanswered := linesOf(f.logs, events.RolloutUnanswered)
	assert.Equal(t, unanswered[0]["weights"], uint64(3))
}

// Guards against orders that were carried out, or accepted and not carried out, and are logged as overtaken.
func TestAcceptedOrderIsNotLoggedAsOvertaken(t *testing.T) {
	for name, version := range map[string]uint64{"carried out": 3, "not carried out": 1} {
		t.Run(name, func(t *testing.T) {
			f, order := orderedController(t)
			f.controller.handleOrderResult(2*time.Second, order, 1, Accepted, nil)
			f.report(3*time.Second, firstSequence+1, version, false)
			assert.DeepEqual(t, f.orderCounts(), []int64{1, 0, 0})
			done := linesOf(f.logs, events.RolloutDone)
			if version == 3 {
				assert.Equal(t, len(done), 1)
				assert.Equal(t, done[0]["ordered"], uint64(3))
				assert.Equal(t, done[0]["older"], false)
			}
		})
	}
}

// Guards against a sequence of an earlier process that is held against the order to the next one.
func TestReportOfARestartedEngineIsNoRace(t *testing.T) {
	f, order := orderedController(t)
	f.controller.handleOrderResult(2*time.Second, order, 1, 0, context.DeadlineExceeded)
	f.controller.handleReport(3*time.Second, Action{Endpoint: order.Endpoint, Process: 1}, Report{Sequence: firstSequence + 2, Weights: map[string]uint64{"m": 2}, Born: 2}, nil)
	assert.Equal(t, len(linesOf(f.logs, events.RolloutOvertaken)), 0)
}

// Guards against a log that doesn't tell whether an endpoint that lags gets orders.
func TestOrdersToAnEndpointThatLagsAreLogged(t *testing.T) {
	f := newVersionFixture(1)
	f.controller.holdsLease.Store(true)
	f.target = 2
	f.observe(time.Second, 2*time.Second)
	f.controller.recordOrder(3*time.Second, "e00")
	f.controller.recordOrder(4*time.Second, "e00")
	f.observe(3*time.Second, 6*time.Second)
	lines := linesOf(f.logs, events.RolloutLagging)
	assert.Equal(t, lines[0]["orders"], int64(2))
	assert.Equal(t, lines[0]["last_order_ago"], 2*time.Second)

	f.versions[0] = 2
	f.list()
	f.observe(7*time.Second, 8*time.Second)
	f.target = 3
	f.observe(8*time.Second, 14*time.Second)
	lines = linesOf(f.logs, events.RolloutLagging)
	assert.Equal(t, lines[len(lines)-1]["orders"], int64(0), "orders since it began to lag")
}

// Guards against counts of unanswered and overtaken orders without any late order.
func TestRacesAreCountedBesideLateOrdersOnly(t *testing.T) {
	for _, seed := range overdueSeeds {
		d := drawBound(seed, true)
		_, s := d.run(seed)
		late := s.controller.counters
		assert.Check(t, late.unanswered.Count() > 0, "seed %d", seed)
		d.platform.lateShare = 0
		_, s = d.run(seed)
		calm := s.controller.counters
		assert.Check(t, calm.overtaken.Count() == 0 && calm.unanswered.Count() == 0, "seed %d: %d, %d", seed, calm.overtaken.Count(), calm.unanswered.Count())
		t.Logf("seed %d: %d unanswered, %d overtaken", seed, late.unanswered.Count(), late.overtaken.Count())
	}
}

// Guards against instances that take an engine for outdated which has answered that it serves the version.
func TestAnswerThatTheVersionIsServedReachesTheTable(t *testing.T) {
	f, order := orderedController(t)
	f.controller.handleOrderResult(2*time.Second, order, 1, AlreadyServing, nil)
	assert.Assert(t, f.controller.planner.Converged())
	assert.Equal(t, f.table.Endpoints()[0].Weights["m"], uint64(3))
}
