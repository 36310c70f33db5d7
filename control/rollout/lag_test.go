package rollout

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// observedController returns a controller with an engine at version 1 and the target 2, and its log.
func observedController() (*Controller, *fleet.Table, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.DebugLevel)
	table := fleet.NewTable(1)
	table.ApplyList(outdatedEngine(1))
	return NewController(Options{
		Fleet: table, Log: zap.New(core), IsLeader: func() bool { return true },
		TargetVersions: func() map[string]uint64 { return map[string]uint64{"m": 2} },
		Now:            func() tables.Instant { return 0 },
	}), table, logs
}

// linesOf returns the fields of the logged lines of an event.
func linesOf(logs *observer.ObservedLogs, event events.Event) []map[string]any {
	var lines []map[string]any
	for _, line := range logs.FilterMessage(event.Text).All() {
		lines = append(lines, line.ContextMap())
	}
	return lines
}

// Guards against an endpoint that keeps old weights without a line that tells what its update waits for.
func TestEndpointThatLagsIsLoggedWithItsPhase(t *testing.T) {
	r, _, logs := observedController()
	r.holdsLease.Store(true)
	r.planner.UpdateEndpoints(outdatedEngine(1))
	r.planner.HandlePushback(time.Second, "e", time.Minute)
	for now := time.Second; now <= 12*time.Second; now += stepInterval {
		r.observeLag(now)
	}
	lines := linesOf(logs, events.RolloutLagging)
	assert.Equal(t, len(lines), 2, "one line every %v after %v", lagLogInterval, lagLogAfter)
	assert.Equal(t, lines[0]["endpoint"], "e")
	assert.Equal(t, lines[0]["phase"], "idle")
	assert.Equal(t, lines[0]["paused_for"], time.Minute-lagLogAfter)
	assert.Equal(t, r.Lag(), Lag{Endpoints: 1, Oldest: 11 * time.Second})
}

// Guards against a rollout without a holder of the lease that leaves no trace in the log.
func TestLeaderWithoutTheLeaseLogsThatEndpointsLag(t *testing.T) {
	r, _, logs := observedController()
	r.lastHolder = "c2"
	for now := time.Second; now <= 7*time.Second; now += stepInterval {
		r.observeLag(now)
	}
	lines := linesOf(logs, events.RolloutWithoutLease)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0]["lease_holder"], "c2")
}

// Guards against a gauge that counts an endpoint as up to date while the list shows that it went back.
func TestEndpointThatTheListShowsOlderCountsAsBehind(t *testing.T) {
	r, table, _ := observedController()
	table.RecordWeights("e", 0, "m", 2)
	r.observeLag(time.Second)
	assert.Equal(t, r.Lag().Endpoints, 1)
	newer := outdatedEngine(1)
	newer[0].Weights["m"] = 2
	table.ApplyList(newer)
	r.observeLag(2 * time.Second)
	assert.Equal(t, r.Lag(), Lag{})
}
