package server

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// openGroup is three instances of a deployment whose instances join without
// being named in the settings, and a fourth one that stands by.
func openGroup(t *testing.T) *group {
	g := newGroup(t, 3)
	g.change = func(i int, o *Options) {
		o.AcceptUnknownPeers, o.MaxVoters, o.VoterTimeout = true, 3, 300*time.Millisecond
		o.JoinOnly = i >= 3
	}
	for i := range 3 {
		g.restart(i)
	}
	g.apply(0, "r1", "p1")
	g.disks = append(g.disks, &memoryDisk{})
	g.servers = append(g.servers, nil)
	g.start(3)
	return g
}

// A control instance is gone for good and another one comes at an address that
// nobody knows. Until it votes, the next loss stops every change.
func TestANewcomerTakesThePlaceOfAVoterThatIsGone(t *testing.T) {
	g := openGroup(t)
	newcomer := g.servers[3]
	assert.NilError(t, newcomer.until(g.long(), func() bool { return newcomer.state.Revision() == 1 }))
	assert.Assert(t, !newcomer.Status().IsVoter)
	leader := g.leader()
	g.stop((leader + 1) % 3)
	assert.NilError(t, newcomer.until(g.long(), func() bool { return newcomer.view.voter }))
	g.stop((leader + 2) % 3)
	g.apply(leader, "r2", "p2")
	g.barrier(3)
}

// Every disk of a deployment is lost. Instances that may only join must not
// found a group with an empty configuration: an operator would find its
// acknowledged changes gone without a word.
func TestInstancesThatMayOnlyJoinFoundNothing(t *testing.T) {
	g := newGroup(t, 3)
	g.change = func(_ int, o *Options) { o.JoinOnly = true }
	for i := range 3 {
		g.stop(i)
		g.disks[i] = &memoryDisk{}
	}
	for i := range 3 {
		g.start(i)
	}
	short, cancel := context.WithTimeout(context.Background(), 10*formPause)
	defer cancel()
	assert.Assert(t, g.execute(0, short, claimCommand("i1", "t1")) == nil)
	assert.Assert(t, !g.servers[0].Status().Joined)
}

// A control instance with an empty disk knows the seeds and no others, and the leader is
// none of them. It is never taken in, and when further disks are lost, as many as are to
// be borne, no quorum is left and operators' changes stay undecided for good.
func TestAJoinerIsTakenInByALeaderThatItDoesNotKnow(t *testing.T) {
	g := openGroup(t)
	leader := g.leader()
	seed := (leader + 1) % 3
	g.stop(3)
	g.disks[3] = &memoryDisk{}
	change := g.change
	g.change = func(i int, o *Options) {
		change(i, o)
		if i == 3 {
			o.Peers = []Instance{{Name: o.Peers[seed].Name, Address: o.Peers[seed].Address}}
		}
	}
	g.start(3)
	newcomer := g.servers[3]
	g.stop((leader + 2) % 3)
	assert.NilError(t, newcomer.until(g.long(), func() bool { return newcomer.view.voter }))
}

// A control instance is cut off for so long that the standby takes its place in the
// group. It never hears of that, holds itself for a voter and asks for elections that
// nobody answers. Operators who call it get no clear answer for ever after, also once
// it is restarted, and the group has lost its standby for good.
func TestAVoterThatWasReplacedWhileCutOffComesBack(t *testing.T) {
	g := openGroup(t)
	newcomer := g.servers[3]
	leader := g.leader()
	cut := (leader + 1) % 3
	g.network.isolate(g, cut, true)
	assert.NilError(t, newcomer.until(g.long(), func() bool { return newcomer.view.voter }))
	g.apply(leader, "r2", "p2")
	g.network.isolate(g, cut, false)
	returned := g.servers[cut]
	assert.NilError(t, returned.until(g.short(), func() bool { return returned.view.current }))
	g.barrier(cut)
	assert.Equal(t, returned.Revision(), newcomer.Revision())
	assert.Assert(t, !returned.Status().IsVoter)

	// It is the standby now: it takes the place of the next voter that is gone.
	g.stop((leader + 2) % 3)
	assert.NilError(t, returned.until(g.long(), func() bool { return returned.view.voter }))
	g.apply(leader, "r3", "p3")
}
