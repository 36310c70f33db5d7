package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// upToDateEngine returns a planner whose only engine has shown a moment ago that it serves the target, version 3.
func upToDateEngine(t *testing.T) (*Planner, tables.Instant) {
	t.Helper()
	p := NewPlanner()
	p.SetTarget("m", 3)
	p.UpdateEndpoints(outdatedEngine(1))
	now := time.Second
	assert.Equal(t, len(p.NextActions(now)), 1)
	p.HandleReport(now, "e", &Report{Sequence: 2, Weights: map[string]uint64{"m": 3}, Born: 1})
	assert.Assert(t, p.Converged())
	return p, now
}

// showList passes a list to the planner that shows a version of the engine "e".
func showList(p *Planner, now tables.Instant, startUnixMilli int64, version uint64) {
	weights := map[string]uint64{"m": version}
	p.UpdateEndpoints([]fleet.Endpoint{{ID: "e", StartUnixMilli: startUnixMilli, Weights: weights}})
	p.ObserveList(now, map[tables.EndpointID]map[string]uint64{"e": weights})
}

// Guards against an engine that went back to older weights and counts as up to date for good.
func TestEngineThatGoesBackIsOrderedAgain(t *testing.T) {
	p, now := upToDateEngine(t)
	now += maxListAge + time.Second
	showList(p, now, 1, 2)
	order, took := nextOrder(t, p, now, func() *Report {
		return &Report{Sequence: 3, Weights: map[string]uint64{"m": 2}, Born: 1}
	})
	assert.Equal(t, order.Version, uint64(3))
	assert.Equal(t, order.Sequence, uint64(3))
	assert.Assert(t, took < time.Second, "took %v", took)
}

// Guards against an engine that is polled, or taken for one that went back, while the list lags.
func TestListThatLagsIsNotAReasonToPoll(t *testing.T) {
	p, now := upToDateEngine(t)
	for range 20 {
		now += 100 * time.Millisecond
		showList(p, now, 1, 1)
		assert.Equal(t, len(p.NextActions(now)), 0)
	}
}

// Guards against a report from before the update that is taken for an engine that went back.
func TestReportThatLagsDoesNotRevertWeights(t *testing.T) {
	p, now := upToDateEngine(t)
	p.engineStates["e"].doubted = true
	now += maxReportAge / 2
	assert.Equal(t, len(p.NextActions(now)), 1)
	p.HandleReport(now, "e", &Report{Sequence: 1, Weights: map[string]uint64{"m": 2}, Born: 1})
	weights, _ := p.Weights("e", 1)
	assert.Equal(t, weights["m"], uint64(3))
}

// Guards against an entry of another writer whose claim makes an engine count as up to date.
func TestClaimOfTheListIsNotBelievedAgainstTheEngine(t *testing.T) {
	p, now := cordonedEngine(t)
	showList(p, now, 1, 9)
	order, took := nextOrder(t, p, now, func() *Report {
		return &Report{Weights: map[string]uint64{"m": 1}, Born: 1}
	})
	assert.Equal(t, order.Version, uint64(2))
	assert.Assert(t, took < time.Second, "took %v", took)
}

// Guards against a report of the process before, which shows newer weights than the one that has started.
func TestReportOfAnEarlierProcessIsDropped(t *testing.T) {
	r, table, _ := observedController()
	actions := r.plan(time.Second)
	assert.Equal(t, len(actions), 1)
	table.ApplyList(outdatedEngine(2))
	r.plan(time.Second + stepInterval)
	r.handleReport(time.Second+stepInterval, actions[0], Report{Sequence: 4, Weights: map[string]uint64{"m": 2}, Born: 1, Draining: true}, nil)
	weights, _ := r.planner.Weights("e", 2)
	assert.Equal(t, weights["m"], uint64(1))
	assert.Equal(t, table.Endpoints()[0].Weights["m"], uint64(1))
	assert.Assert(t, !r.planner.engineStates["e"].Draining)
}

// Guards against an update that waits for an order to the process before, or for the list to show the new one.
func TestReportOfANewProcessBeginsItsUpdate(t *testing.T) {
	p, now := cordonedEngine(t)
	reports := func() *Report { return &Report{Weights: map[string]uint64{"m": 1}, Born: 2} }
	_, took := nextOrder(t, p, now, reports)
	now += took
	p.HandleOrderResult(now, "e", Accepted)
	now += firstPollDelay
	order, took := nextOrder(t, p, now, reports)
	assert.Equal(t, order.Process, int64(2))
	assert.Assert(t, took < time.Second, "took %v", took)
	showList(p, now, 1, 1)
	assert.Equal(t, p.engineStates["e"].process, int64(2), "the list lags")
	showList(p, now, 2, 1)
	assert.Equal(t, p.engineStates["e"].phase, orderSent, "the list has caught up")
}

// Guards against an engine that is never updated since the list shows it without its weights.
func TestEngineThatIsListedWithoutWeightsIsUpdated(t *testing.T) {
	table := fleet.NewTable(1)
	r, _, _ := observedController()
	r.options.Fleet = table
	table.ApplyList([]fleet.Endpoint{
		{ID: "a", Service: "models", StartUnixMilli: 1, Weights: map[string]uint64{"m": 2}},
		{ID: "e", Service: "models", StartUnixMilli: 1},
		{ID: "plain", Service: "desk", StartUnixMilli: 1},
	})
	actions := r.plan(time.Second)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Endpoint.ID, tables.EndpointID("e"))
	r.handleReport(time.Second, actions[0], Report{Weights: map[string]uint64{"m": 1}, Born: 1}, nil)
	order, _ := nextOrder(t, r.planner, time.Second, func() *Report {
		return &Report{Weights: map[string]uint64{"m": 1}, Born: 1}
	})
	assert.Equal(t, order.Endpoint.ID, tables.EndpointID("e"))
	for _, e := range table.Endpoints() {
		assert.Equal(t, e.Weights["m"], map[tables.EndpointID]uint64{"a": 2, "e": 1}[e.ID], "%s", e.ID)
	}
}

// Guards against weights that one of two entries of an endpoint claims and that entry instances believe for good.
func TestClaimOfOneOfTwoEntriesIsNotBelievedForGood(t *testing.T) {
	r, table, _ := observedController()
	right, odd := outdatedEngine(1)[0], outdatedEngine(1)[0]
	right.Weights["m"], odd.Weights["m"] = 2, 9
	table.ApplyList([]fleet.Endpoint{right})
	r.plan(time.Second)
	for _, list := range [][]fleet.Endpoint{{odd, right}, {right}} {
		table.ApplyList(list)
		for now := 2 * time.Second; now < 12*time.Second; now += stepInterval {
			for _, action := range r.plan(now) {
				assert.Equal(t, action.Version, uint64(0))
				r.handleReport(now, action, Report{Weights: map[string]uint64{"m": 2}, Born: 1}, nil)
			}
		}
		assert.Equal(t, table.Endpoints()[0].Weights["m"], uint64(2))
	}
}

// Guards against an entry that claims weights nobody has named and that a new holder of the lease takes over for good.
func TestNewHolderAsksForWeightsBeyondTheTarget(t *testing.T) {
	r, table, _ := observedController()
	odd := outdatedEngine(1)
	odd[0].Weights["m"] = 9
	table.ApplyList(odd)
	polls := 0
	for now := time.Second; now < 2*time.Second; now += stepInterval {
		for _, action := range r.plan(now) {
			if action.Version == 0 {
				polls++
				r.handleReport(now, action, Report{Weights: map[string]uint64{"m": 1}, Born: 1}, nil)
			}
		}
	}
	assert.Equal(t, polls, 1)
	assert.Equal(t, r.planner.engineStates["e"].orderedVersion, uint64(2))
	assert.Equal(t, table.Endpoints()[0].Weights["m"], uint64(1))
}

// Guards against an order to an endpoint that has announced that it leaves, while the list shows the process before.
func TestAnnouncedLeaveOutlivesAListThatLags(t *testing.T) {
	r, table, _ := observedController()
	actions := r.plan(time.Second)
	assert.Equal(t, len(actions), 1)
	r.handleReport(time.Second, actions[0], Report{Weights: map[string]uint64{"m": 1}, Born: 2, Draining: true}, nil)
	other := fleet.Endpoint{ID: "f", StartUnixMilli: 1, Weights: map[string]uint64{"m": 2}}
	table.ApplyList(append(outdatedEngine(1), other))
	for now := 2 * time.Second; now < 4*time.Second; now += stepInterval {
		for _, action := range r.plan(now) {
			assert.Equal(t, action.Version, uint64(0), "an order to an endpoint that leaves")
			r.handleReport(now, action, Report{Weights: map[string]uint64{"m": 1}, Born: 2, Draining: true}, nil)
		}
	}
	assert.Assert(t, r.planner.engineStates["e"].Draining)
}
