package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
