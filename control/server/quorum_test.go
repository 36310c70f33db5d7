package server

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
)

// newLoggedGroup starts three instances that log to the returned observer.
func newLoggedGroup(t *testing.T) (*group, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	g := newGroup(t, 3)
	g.adjustOptions = func(_ int, o *Options) { o.Log = zap.New(core) }
	for i := range 3 {
		g.restart(i)
	}
	g.barrier(0)
	return g, logs
}

// waitForLog waits until an event was logged with fields that match.
func (g *group) waitForLog(logs *observer.ObservedLogs, event events.Event, match func(fields map[string]any) bool) {
	for ctx := g.longContext(); ; time.Sleep(time.Millisecond) {
		for _, line := range logs.FilterMessage(event.Text).All() {
			if match(line.ContextMap()) {
				return
			}
		}
		assert.NilError(g.t, ctx.Err())
	}
}

// Guards against an instance that cannot answer operators and does not say which voters it misses.
func TestReplicaWithoutLeaderNamesMissingVoters(t *testing.T) {
	g, logs := newLoggedGroup(t)
	g.stop(1)
	g.stop(2)
	g.waitForLog(logs, events.ControlNoLeader, func(fields map[string]any) bool {
		missing := fmt.Sprint(fields["unresponsive"])
		return missing == fmt.Sprint([]string{address(1), address(2)}) || missing == fmt.Sprint([]string{address(2), address(1)})
	})
	quorum := g.servers[0].Status().Quorum
	assert.Equal(t, quorum.Leader, "")
	assert.Equal(t, quorum.Needed, 2)
	assert.Equal(t, quorum.Responding, 1)
	assert.Equal(t, len(quorum.Unresponsive), 2)
}

// Guards against an unresponsive voter that is not logged before it is replaced or a second one is lost.
func TestLeaderLogsUnresponsiveVoter(t *testing.T) {
	g, logs := newLoggedGroup(t)
	lost := (g.leader() + 1) % 3
	logs.TakeAll()
	g.stop(lost)
	g.waitForLog(logs, events.ControlVoterUnresponsive, func(fields map[string]any) bool {
		return fields["address"] == address(lost)
	})
}

// Guards against a voter that responds and is logged as unresponsive, and against one that is logged at every tick.
func TestLeaderLogsEachUnresponsiveVoterOnce(t *testing.T) {
	const electionTicks = 20
	core, logs := observer.New(zap.InfoLevel)
	s := &Server{log: zap.New(core), options: Options{ElectionTicks: electionTicks}, monitor: newQuorumMonitor(0)}
	status := replog.Status{ID: 1, Role: replog.Leader, Leader: 1, Members: replog.Members{
		{Replica: 1, Address: address(0)}, {Replica: 2, Address: address(1)}, {Replica: 3, Address: address(2)}, {Replica: 4, Address: address(3), Learner: true},
	}}
	logged := func(ticks2, ticks3 int) (addresses []string) {
		status.Progress = map[replog.ReplicaID]replog.Progress{
			2: {TicksSinceResponse: ticks2}, 3: {TicksSinceResponse: ticks3}, 4: {TicksSinceResponse: 2 * electionTicks},
		}
		s.logUnresponsiveVoters(status)
		for _, line := range logs.TakeAll() {
			assert.Equal(t, line.Message, events.ControlVoterUnresponsive.Text)
			addresses = append(addresses, line.ContextMap()["address"].(string))
		}
		return addresses
	}
	assert.DeepEqual(t, logged(electionTicks, electionTicks), []string(nil))
	assert.DeepEqual(t, logged(electionTicks+1, 0), []string{address(1)})
	assert.DeepEqual(t, logged(electionTicks+2, electionTicks+1), []string{address(2)})
	assert.DeepEqual(t, logged(0, electionTicks+2), []string(nil))
	assert.DeepEqual(t, logged(electionTicks+1, electionTicks+3), []string{address(1)})
}
