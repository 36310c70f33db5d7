package replog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// upToDate returns the running replicas that report an up-to-date state.
func (g *group) upToDate() []ReplicaID {
	var ids []ReplicaID
	for _, id := range g.order {
		if g.replicas[id].running && g.replicas[id].soft.UpToDate {
			ids = append(ids, id)
		}
	}
	return ids
}

// A control instance is isolated from its group. Clients that read from it
// would continue with replaced data unless it reports that its state may be
// old.
func TestIsolatedReplicaIsNotUpToDate(t *testing.T) {
	g := newGroup(t, 1, 1, 2, 3)
	leader := g.elect()
	g.tick(2)
	assert.DeepEqual(t, g.upToDate(), []ReplicaID{1, 2, 3})
	isolated := g.order[0]
	if isolated == leader.node.cfg.ID {
		isolated = g.order[1]
	}
	g.isolate(isolated, true)
	g.tick(2 * defaultElectionTicks)
	assert.Assert(t, !g.replicas[isolated].soft.UpToDate)
	assert.Equal(t, len(g.upToDate()), 2)
	g.isolate(isolated, false)
	g.tick(2)
	assert.DeepEqual(t, g.upToDate(), []ReplicaID{1, 2, 3})
}

// The disk of a replica stalls. The replica still hears the leader but applies
// no committed entries, so that its state becomes stale although it knows the
// leader.
func TestReplicaWithStalledDiskIsNotUpToDate(t *testing.T) {
	g := newGroup(t, 1, 1, 2, 3)
	leader := g.elect()
	g.tick(2)
	stalled := g.order[0]
	if stalled == leader.node.cfg.ID {
		stalled = g.order[1]
	}
	g.replicas[stalled].diskStalled = true
	_, err := leader.node.Propose([]byte("a"))
	assert.NilError(t, err)
	g.deliver()
	g.tick(defaultElectionTicks)
	assert.Assert(t, g.replicas[stalled].soft.UpToDate)
	g.tick(2)
	assert.Assert(t, !g.replicas[stalled].soft.UpToDate)
	assert.Equal(t, g.replicas[stalled].node.Status().Leader, leader.node.cfg.ID)
	g.replicas[stalled].diskStalled = false
	g.save(stalled)
	g.tick(2)
	assert.DeepEqual(t, g.upToDate(), []ReplicaID{1, 2, 3})
}

// A new leader may not know that its predecessor has committed an entry and
// reported it to a client. Until an entry of its own term is committed, neither
// the leader nor its followers may report their state as up to date.
func TestNewLeaderIsNotUpToDateBeforeFirstCommit(t *testing.T) {
	n := newTestNode(t)
	electNode(t, n)
	n.termStart = n.log.commit + 1
	assert.Equal(t, n.groupCommitIndex(), uint64(0))
	n.staleness = staleness{}
	n.observeOwnCommit()
	assert.Assert(t, !n.staleness.known)
}

// Entries are committed continuously, and a replica is always a few of them
// behind. It still counts as up to date, because the age of its state decides
// and not the number of missing entries.
func TestReplicaWithSmallConstantLagIsUpToDate(t *testing.T) {
	s := staleness{}
	for commit := uint64(1); commit < 100; commit++ {
		s.tick()
		s.observeCommit(commit, 0, commit-1)
		s.observeApplied(commit)
	}
	assert.Assert(t, s.within(1))
}
