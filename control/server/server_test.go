package server

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

func claimCommand(instance, token string) *rpc.Command {
	return &rpc.Command{Action: &rpc.Command_Claim{Claim: &rpc.Claim{
		Organisation: "press",
		Key:          "note-1",
		Body:         []byte("body"),
		Owner:        &rpc.ClaimOwner{Instance: instance, Boot: 1},
		Token:        token,
	}}}
}

func markCommand(fence uint64, token string) *rpc.Command {
	return &rpc.Command{Action: &rpc.Command_MarkDispatched{MarkDispatched: &rpc.MarkDispatched{
		Organisation: "press", Key: "note-1", Fence: fence, Token: token,
	}}}
}

func TestCommandNames(t *testing.T) {
	assert.Equal(t, commandName(claimCommand("i", "t")), "claim")
	assert.Equal(t, commandName(&rpc.Command{}), "none")
}

func TestApplyReachesAllReplicas(t *testing.T) {
	g := newGroup(t, 3)
	assert.Equal(t, g.apply(1, "r1", "p"), uint64(1))
	for i := range g.servers {
		answer, err := g.servers[i].Watch(g.longContext(), &rpc.WatchRequest{WaitNanos: int64(maxWatchWait)})
		assert.NilError(t, err)
		assert.Equal(t, answer.GetRevision(), uint64(1))
		assert.Assert(t, answer.GetFull())
	}
	g.apply(2, "r2", "q")
	answer, err := g.servers[0].Watch(g.longContext(), &rpc.WatchRequest{Revision: 1, WaitNanos: int64(maxWatchWait)})
	assert.NilError(t, err)
	assert.Assert(t, !answer.GetFull())
	assert.Equal(t, len(answer.GetItems()), 2)
}

// Guards against lost updates when two operators read revision 0 and apply through
// two instances at once. One must win at all instances, and the other must get a
// conflict.
func TestConcurrentAppliesConflict(t *testing.T) {
	g := newGroup(t, 3)
	results := make(chan *rpc.Result, 2)
	for i := range 2 {
		command := g.applyCommand(i, fmt.Sprint("operator", i), "r", 0, fmt.Sprint("p", i))
		go func() { results <- g.execute(i, g.longContext(), command) }()
	}
	accepted, conflicts := 0, 0
	for range 2 {
		result := <-results
		if result.GetAccepted() != nil {
			accepted++
		}
		if result.GetConflict().GetWinner().GetNumber() == 1 {
			conflicts++
		}
	}
	assert.Equal(t, accepted, 1)
	assert.Equal(t, conflicts, 1)
	for i := range g.servers {
		g.barrier(i)
		assert.Equal(t, g.servers[i].Revision(), tables.Revision(1))
	}
}

// Guards against a request that takes effect twice. The leader is isolated while it
// processes an apply; the operator gets no answer and sends the same request
// through another instance. It must be in force once, also after the partition
// heals.
func TestApplyRetryAfterLeaderPartition(t *testing.T) {
	g := newGroup(t, 3)
	g.network.duplicateMessages()
	g.apply(0, "r0", "first")
	leader := g.leader()
	command := g.applyCommand(leader, "ama", "r1", 1, "second")
	g.network.setIsolated(g, leader, true)
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.Assert(t, g.execute(leader, short, command) == nil)
	other := (leader + 1) % 3
	result := g.execute(other, g.longContext(), command)
	assert.Equal(t, result.GetAccepted().GetRevision().GetNumber(), uint64(2))
	assert.Equal(t, g.apply(other, "r2", "third"), uint64(3))
	g.network.setIsolated(g, leader, false)
	again := g.execute(leader, g.longContext(), command)
	assert.Equal(t, again.GetAccepted().GetRevision().GetNumber(), uint64(2))
	assert.Assert(t, again.GetAccepted().GetResent())
	g.barrier(leader)
	assert.Equal(t, g.servers[leader].Revision(), tables.Revision(3))
}

// Guards against a claim granted by an instance in an isolated zone. Without a
// quorum it must refuse, because the other zones may run the same work.
func TestClaimRefusedInMinorityPartition(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	g.network.setIsolated(g, leader, true)
	short, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.Assert(t, g.execute(leader, short, claimCommand("i1", "t1")) == nil)
	other := g.execute((leader+1)%3, g.longContext(), claimCommand("i2", "t2"))
	assert.Equal(t, other.GetClaim().GetState(), rpc.ClaimState_CLAIM_NEW)
	g.network.setIsolated(g, leader, false)
	g.barrier(leader)
	late := g.execute(leader, g.longContext(), claimCommand("i1", "t1"))
	assert.Equal(t, late.GetClaim().GetState(), rpc.ClaimState_CLAIM_IN_PROGRESS)
}

// Guards against a lost claim when all control instances restart between a claim
// and its dispatch. The owner must be able to dispatch once, and nobody else at
// all.
func TestClaimSurvivesFullRestart(t *testing.T) {
	g := newGroup(t, 3)
	grant := g.execute(0, g.longContext(), claimCommand("i1", "t1")).GetClaim()
	for i := range g.servers {
		g.stop(i)
	}
	for i := range g.servers {
		g.start(i)
	}
	other := g.execute(1, g.longContext(), claimCommand("i2", "t2")).GetClaim()
	assert.Equal(t, other.GetState(), rpc.ClaimState_CLAIM_IN_PROGRESS)
	assert.Assert(t, g.execute(2, g.longContext(), markCommand(grant.GetFence(), "d1")).GetDone() != nil)
	second := g.execute(0, g.longContext(), markCommand(grant.GetFence(), "d2"))
	assert.Equal(t, second.GetRefusal().GetReason(), rpc.RefusalReason_REFUSED_ALREADY_DISPATCHED)
}

// Guards against an older configuration in force, or an old request accepted again,
// after hundreds of changes with snapshots between them and repeated restarts of
// every instance.
func TestRestartFromSnapshots(t *testing.T) {
	g := newGroup(t, 3)
	g.snapshotBytes = 4096
	for i := range g.servers {
		g.restart(i)
	}
	const changes = 300
	first := g.applyCommand(0, "ama", "r1", 0, "p1")
	for n := 1; n <= changes; n++ {
		g.apply(0, fmt.Sprint("r", n), fmt.Sprint("p", n))
		if n%100 == 0 {
			g.restart(n / 100 % 3)
		}
	}
	for range 2 {
		for i := range g.servers {
			g.restart(i)
			g.barrier(i)
			assert.Equal(t, g.servers[i].Revision(), tables.Revision(changes))
		}
	}
	again := g.execute(2, g.longContext(), first).GetAccepted()
	assert.Equal(t, again.GetRevision().GetNumber(), uint64(1))
	g.barrier(2)
	assert.Equal(t, g.servers[2].Revision(), tables.Revision(changes))
}

// Guards against lost changes when one instance has lost its disk and was added
// again, and right afterwards another instance is lost for good. Accepted changes
// must stay in force and new ones must be accepted.
func TestInstanceLossAfterMemberReplacement(t *testing.T) {
	g := newGroup(t, 3)
	g.apply(0, "r1", "p1")
	leader := g.leader()
	lost, second := (leader+1)%3, (leader+2)%3
	g.stop(lost)
	g.logStores[lost] = &memoryLogStore{}
	g.apply(leader, "r2", "p2")
	g.start(lost)
	server := g.servers[lost]
	assert.NilError(t, server.waitUntil(g.longContext(), func() bool { return server.view.isVoter }))
	g.stop(second)
	assert.Equal(t, g.apply(lost, "r3", "p3"), uint64(3))
	assert.Equal(t, len(g.servers[leader].Status().Members), 3)
}

// Guards against an instance that bootstraps a group alone after it has lost its
// disk. It would serve an empty configuration beside a group that may still exist.
func TestBootstrapRequiresAllPeers(t *testing.T) {
	g := newGroup(t, 3)
	for i := range g.servers {
		g.stop(i)
	}
	g.logStores[0] = &memoryLogStore{}
	g.start(0)
	short, cancel := context.WithTimeout(context.Background(), 10*joinRetryDelay)
	defer cancel()
	assert.Assert(t, g.execute(0, short, claimCommand("i1", "t1")) == nil)
	assert.Assert(t, !g.servers[0].Status().Joined)
	g.start(1)
	g.start(2)
	g.barrier(0)
	assert.Assert(t, g.logStores[0].group == g.logStores[1].group)
}

// Guards against claims that fail at a replica while messages between it and the
// leader are lost in one direction. All other replicas reach both, so the command
// must be forwarded through them.
func TestClaimForwardedAroundOneWayPartition(t *testing.T) {
	g := newGroup(t, 3)
	for _, fromLeader := range []bool{true, false} {
		leader := g.leader()
		other := (leader + 1) % 3
		from, to := address(other), address(leader)
		if fromLeader {
			from, to = to, from
		}
		g.network.setOneWayCut(from, to, true)
		claim := claimCommand("i1", fmt.Sprint(fromLeader))
		claim.GetClaim().Key = fmt.Sprint(fromLeader)
		result := g.execute(other, g.longContext(), claim)
		assert.Equal(t, result.GetClaim().GetState(), rpc.ClaimState_CLAIM_NEW)
		g.network.setOneWayCut(from, to, false)
		g.barrier(other)
	}
}

// Guards against a planned restart of the leader that leaves the group without one.
// Another replica must lead before it is gone; otherwise work that runs at most
// once is refused until the group has detected the loss.
func TestCloseTransfersLeadership(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	closing := g.servers[leader]
	closing.Close()
	assert.Assert(t, !closing.Status().IsLeader)
	g.barrier((leader + 1) % 3)
}
