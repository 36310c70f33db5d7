package replog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// current lists the replicas that call their state current.
func (g *group) current() []ReplicaID {
	var ids []ReplicaID
	for _, id := range g.order {
		if g.replicas[id].up && g.replicas[id].soft.UpToDate {
			ids = append(ids, id)
		}
	}
	return ids
}

// A control instance is cut off from its group. Those that read from it go on with
// what its group has replaced, unless it says that its state may be old.
func TestACutOffReplicaIsNotCurrent(t *testing.T) {
	g := newGroup(t, 1, 1, 2, 3)
	leader := g.elect()
	g.tick(2)
	assert.DeepEqual(t, g.current(), []ReplicaID{1, 2, 3})
	cut := g.order[0]
	if cut == leader.node.cfg.ID {
		cut = g.order[1]
	}
	g.isolate(cut, true)
	g.tick(2 * defaultElectionTicks)
	assert.Assert(t, !g.replicas[cut].soft.UpToDate)
	assert.Equal(t, len(g.current()), 2)
	g.isolate(cut, false)
	g.tick(2)
	assert.DeepEqual(t, g.current(), []ReplicaID{1, 2, 3})
}

// The disk of a replica hangs. It hears the leader all the while and applies nothing
// of what is decided, so its state gets older though it knows who leads.
func TestAReplicaWhoseDiskHangsIsNotCurrent(t *testing.T) {
	g := newGroup(t, 1, 1, 2, 3)
	leader := g.elect()
	g.tick(2)
	hung := g.order[0]
	if hung == leader.node.cfg.ID {
		hung = g.order[1]
	}
	g.replicas[hung].hangs = true
	_, err := leader.node.Propose([]byte("a"))
	assert.NilError(t, err)
	g.deliver()
	g.tick(defaultElectionTicks)
	assert.Assert(t, g.replicas[hung].soft.UpToDate)
	g.tick(2)
	assert.Assert(t, !g.replicas[hung].soft.UpToDate)
	assert.Equal(t, g.replicas[hung].node.Status().Leader, leader.node.cfg.ID)
	g.replicas[hung].hangs = false
	g.save(hung)
	g.tick(2)
	assert.DeepEqual(t, g.current(), []ReplicaID{1, 2, 3})
}

// A leader that was just elected may lack the knowledge that the one before has
// committed an entry and that its caller was told so. Until an entry of its own term
// is committed, neither it nor those that hear it may call their state the newest.
func TestANewLeaderKnowsNothingOfWhatIsCommitted(t *testing.T) {
	n := single(t)
	makeLeader(t, n)
	n.termStart = n.log.commit + 1
	assert.Equal(t, n.confirmedCommit(), uint64(0))
	n.freshness = freshness{}
	n.noteNewest()
	assert.Assert(t, !n.freshness.known)
}

// Entries are decided all the time, and a replica is always a few of them behind.
// It is current all the same: what counts is how old its state is.
func TestAReplicaThatIsAlwaysALittleBehindIsCurrent(t *testing.T) {
	f := freshness{}
	for commit := uint64(1); commit < 100; commit++ {
		f.tick()
		f.newest(commit, 0, commit-1)
		f.applied(commit)
	}
	assert.Assert(t, f.current(1))
}
