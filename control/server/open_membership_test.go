package server

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newGroupWithStandby starts three voters and a standby, in a deployment whose
// instances may join without being named in the settings.
func newGroupWithStandby(t *testing.T) *group {
	g := newGroup(t, 3)
	g.adjustOptions = func(i int, o *Options) {
		o.AcceptUnknownPeers, o.MaxVoters, o.VoterTimeout = true, 3, 300*time.Millisecond
		o.JoinOnly = i >= 3
	}
	for i := range 3 {
		g.restart(i)
	}
	g.apply(0, "r1", "p1")
	g.logStores = append(g.logStores, &memoryLogStore{})
	g.servers = append(g.servers, nil)
	g.start(3)
	return g
}

// Guards against a group that stays one voter short after a voter is lost for good,
// although an instance at an unknown address has joined. Until that instance votes,
// the next loss stops every change.
func TestLearnerReplacesDeadVoter(t *testing.T) {
	g := newGroupWithStandby(t)
	standby := g.servers[3]
	assert.NilError(t, standby.waitUntil(g.longContext(), func() bool { return standby.state.Revision() == 1 }))
	assert.Assert(t, !standby.Status().IsVoter)
	leader := g.leader()
	g.stop((leader + 1) % 3)
	assert.NilError(t, standby.waitUntil(g.longContext(), func() bool { return standby.view.isVoter }))
	g.stop((leader + 2) % 3)
	g.apply(leader, "r2", "p2")
	g.barrier(3)
}

// Guards against join-only instances that bootstrap a group with an empty
// configuration after every disk of a deployment was lost. Acknowledged changes
// would disappear without notice to the operators.
func TestJoinOnlyInstancesDoNotBootstrap(t *testing.T) {
	g := newGroup(t, 3)
	g.adjustOptions = func(_ int, o *Options) { o.JoinOnly = true }
	for i := range 3 {
		g.stop(i)
		g.logStores[i] = &memoryLogStore{}
	}
	for i := range 3 {
		g.start(i)
	}
	short, cancel := context.WithTimeout(context.Background(), 10*joinRetryDelay)
	defer cancel()
	assert.Assert(t, g.execute(0, short, claimCommand("i1", "t1")) == nil)
	assert.Assert(t, !g.servers[0].Status().Joined)
}

// Guards against a joining replica that is never added because it knows only the
// seeds and the leader is not among them. After the loss of further disks, as many
// as the deployment is to tolerate, there would be no quorum and changes could no
// longer be committed.
func TestJoinRequestIsForwardedToLeader(t *testing.T) {
	g := newGroupWithStandby(t)
	leader := g.leader()
	seed := (leader + 1) % 3
	g.stop(3)
	g.logStores[3] = &memoryLogStore{}
	change := g.adjustOptions
	g.adjustOptions = func(i int, o *Options) {
		change(i, o)
		if i == 3 {
			o.Peers = []Instance{{Name: o.Peers[seed].Name, Address: o.Peers[seed].Address}}
		}
	}
	g.start(3)
	standby := g.servers[3]
	g.stop((leader + 2) % 3)
	assert.NilError(t, standby.waitUntil(g.longContext(), func() bool { return standby.view.isVoter }))
}

// Guards against losing a voter that the standby has replaced while it was
// isolated. It never receives the entry that removes it, counts itself as a voter
// and asks for elections that nobody answers, also after a restart. Its clients get
// no clear answer, and the group has no standby any more.
func TestReplacedVoterRejoinsAsLearner(t *testing.T) {
	g := newGroupWithStandby(t)
	standby := g.servers[3]
	leader := g.leader()
	isolated := (leader + 1) % 3
	g.network.setIsolated(g, isolated, true)
	assert.NilError(t, standby.waitUntil(g.longContext(), func() bool { return standby.view.isVoter }))
	g.apply(leader, "r2", "p2")
	g.network.setIsolated(g, isolated, false)
	returned := g.servers[isolated]
	assert.NilError(t, returned.waitUntil(g.shortContext(), func() bool { return returned.view.isCurrent }))
	g.barrier(isolated)
	assert.Equal(t, returned.Revision(), standby.Revision())
	assert.Assert(t, !returned.Status().IsVoter)

	// The returned replica is the standby now and must replace the next lost voter.
	g.stop((leader + 2) % 3)
	assert.NilError(t, returned.waitUntil(g.longContext(), func() bool { return returned.view.isVoter }))
	g.apply(leader, "r3", "p3")
}

// Guards against a planned end of the leader or a follower after which the loss of another disk stops the
// group, because the learner does not vote yet.
func TestHandOverLetsLearnerVoteFirst(t *testing.T) {
	for _, leads := range []bool{true, false} {
		g := newGroupWithStandby(t)
		standby := g.servers[3]
		assert.NilError(t, standby.waitUntil(g.longContext(), func() bool { return standby.state.Revision() == 1 }))
		leaving := g.leader()
		if !leads {
			leaving = (leaving + 1) % 3
		}
		g.servers[leaving].HandOver(g.longContext())
		g.stop(leaving)
		lost, left := (leaving+1)%3, (leaving+2)%3
		g.stop(lost)
		g.apply(left, "r2", "p2")
		g.barrier(3)
	}
}
