package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// catchUpTime is the time after its start in which a replacement is to be a full member.
const catchUpTime = 4 * time.Second

// simulatedReplica is a replica with its disk. Only the parts of the Server that the event loop uses
// are set.
type simulatedReplica struct {
	*Server
	id      replog.ReplicaID
	address string
	disk    *replog.MemoryStorage
	up      bool
	// startsAt is the tick at which the replica starts; 0 for none.
	startsAt int
}

// simulation runs replicas of a group in virtual time. Messages arrive at once, but those to the
// replica slow a tick later.
type simulation struct {
	t             *testing.T
	options       Options
	seed          uint64
	ticks         int
	replicas      []*simulatedReplica
	slow          *simulatedReplica
	delayed       []replog.Message
	highestCommit uint64
}

func newSimulation(t *testing.T, voters int, seed uint64) *simulation {
	s := &simulation{t: t, seed: seed, options: Options{AcceptUnknownPeers: true, MaxVoters: voters, Log: zap.NewNop()}}
	s.options.setDefaults()
	var members replog.Members
	for i := range voters {
		members = append(members, replog.Member{Replica: replog.ReplicaID(i + 1), Address: address(i + 1)})
	}
	for _, m := range members {
		s.start(s.add(m.Address, replog.BootstrapGroupState(members, bootstrapIndex, nil)))
	}
	return s
}

// add adds a replica that does not run yet. Its ID is its position, from 1.
func (s *simulation) add(address string, disk replog.PersistentState) *simulatedReplica {
	r := &simulatedReplica{id: replog.ReplicaID(len(s.replicas) + 1), address: address, disk: replog.NewMemoryStorage(disk)}
	s.replicas = append(s.replicas, r)
	return r
}

func (s *simulation) start(r *simulatedReplica) {
	saved, err := r.disk.Load()
	assert.NilError(s.t, err)
	node, err := replog.NewNode(replog.Config{
		ID: r.id, Group: 1, ElectionTicks: s.options.ElectionTicks, HeartbeatTicks: defaultHeartbeatTicks, Seed: s.seed,
	}, saved)
	assert.NilError(s.t, err)
	r.Server = &Server{options: s.options, log: zap.NewNop(), node: node, pendingJoins: map[replog.ReplicaID]*rpc.Founder{}}
	r.up, r.startsAt = true, 0
}

// find returns a running replica that meets a condition, nil if there is none.
func (s *simulation) find(meets func(*simulatedReplica, replog.Status) bool) *simulatedReplica {
	for _, r := range s.replicas {
		if r.up && meets(r, r.node.Status()) {
			return r
		}
	}
	return nil
}

// leader runs the group until it has a leader, for at most a minute.
func (s *simulation) leader() *simulatedReplica {
	for range int(time.Minute / s.options.TickInterval) {
		if leader := s.currentLeader(); leader != nil {
			return leader
		}
		s.run(s.options.TickInterval)
	}
	return nil
}

func (s *simulation) currentLeader() *simulatedReplica {
	return s.find(func(_ *simulatedReplica, status replog.Status) bool { return status.Role == replog.Leader })
}

// follower returns a running voter that does not lead.
func (s *simulation) follower(leader *simulatedReplica) *simulatedReplica {
	members := leader.node.Status().Members
	return s.find(func(r *simulatedReplica, _ replog.Status) bool { return r != leader && members.IsVoter(r.id) })
}

func (s *simulation) run(d time.Duration) {
	for range int(d / s.options.TickInterval) {
		s.ticks++
		for _, r := range s.replicas {
			if r.startsAt > 0 && r.startsAt <= s.ticks {
				s.start(r)
			}
			if r.up {
				r.node.Tick()
				s.reconcile(r)
			}
		}
		delayed := s.delayed
		s.delayed = nil
		s.deliver(nil)
		s.deliver(delayed)
	}
}

// reconcile lets the leader change the membership and add an entry, and others ask to join.
func (s *simulation) reconcile(r *simulatedReplica) {
	leader := s.currentLeader()
	switch {
	case r == leader:
		r.reconcileMembership()
		_, _ = r.node.Propose([]byte("change"))
	case leader != nil && s.ticks%reconcileIntervalTicks == 0 && !r.node.Status().Members.IsVoter(r.id):
		leader.pendingJoins[r.id] = &rpc.Founder{Replica: uint64(r.id), Address: r.address}
	}
}

// deliver delivers messages and all that follow from them.
func (s *simulation) deliver(messages []replog.Message) {
	for _, m := range messages {
		if to := s.replicas[m.To-1]; to.up {
			assert.NilError(s.t, to.node.Step(m))
		}
	}
	ready := func(r *simulatedReplica, _ replog.Status) bool { return r.node.HasReady() }
	for r := s.find(ready); r != nil; r = s.find(ready) {
		work := r.node.Ready()
		assert.NilError(s.t, r.disk.Save(work))
		r.node.Advance(work)
		if n := len(work.Committed); n > 0 {
			s.highestCommit = max(s.highestCommit, work.Committed[n-1].Index)
		}
		for _, m := range work.Messages {
			if to := s.replicas[m.To-1]; to == s.slow {
				s.delayed = append(s.delayed, m)
			} else if to.up {
				assert.NilError(s.t, to.node.Step(m))
			}
		}
	}
}

// Guards against a group that the loss of a second disk stops for good although the first lost
// voter's replacement has had its time to catch up.
func TestGroupSurvivesDiskLossAfterReplacement(t *testing.T) {
	for n := range uint64(120) {
		delay, lostLeader, wipedLeader, seed := time.Duration(1+n%3)*time.Second, n/3%2 == 0, n/6%2 == 0, n/6
		t.Run(fmt.Sprintf("%t/%s/%d", lostLeader, delay, seed), func(t *testing.T) {
			s := newSimulation(t, 3, seed)
			gone := s.leader()
			s.run(time.Second)
			if !lostLeader {
				gone = s.follower(gone)
			}
			gone.up = false
			s.run(delay)
			s.start(s.add(address(4), replog.PersistentState{}))
			s.run(catchUpTime)
			wiped := s.leader()
			if !wipedLeader {
				wiped = s.follower(wiped)
			}
			wiped.up = false
			s.run(time.Second)
			assert.Assert(t, s.leader() != nil, "no leader after the loss of %v and %v", gone.id, wiped.id)
		})
	}
}

// Guards against a planned replacement that leaves the group without a majority if a disk is lost
// right after it.
func TestGroupSurvivesDiskLossRightAfterPlannedReplacement(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, 3, seed)
		leader := s.leader()
		s.start(s.add(address(4), replog.PersistentState{}))
		s.run(catchUpTime)
		leaving := s.follower(leader)
		leader.node.MarkLeaving(leaving.id)
		leaving.up = false
		s.run(3 * s.options.TickInterval)
		s.follower(leader).up = false
		s.run(2 * time.Second)
		assert.Assert(t, s.leader() != nil, "no leader")
	}
}

// handOver models HandOver: the replica hands leadership over, says that it leaves, and ends once it is no
// voter any more or there is no learner.
func (s *simulation) handOver(leaving *simulatedReplica) {
	leader := s.currentLeader()
	if leader == nil || !leaving.up {
		return
	}
	status := leader.node.Status()
	hasLearner := slices.ContainsFunc(status.Members, func(m replog.Member) bool { return m.Learner })
	switch {
	case leader == leaving:
		_ = leaving.node.TransferLeadership(s.follower(leaving).id)
	case status.Members.IsVoter(leaving.id) && (hasLearner || len(status.Members.Voters()) > 3):
		leader.node.MarkLeaving(leaving.id)
	case status.MembersIndex <= status.Commit:
		leaving.up = false
	}
}

// Guards against a planned replacement, of the leader or a follower, during which the loss of a disk
// leaves the group without a majority, whenever it comes.
func TestGroupSurvivesDiskLossDuringPlannedReplacement(t *testing.T) {
	for n := range 240 {
		leads, wipedLeads, lossAfter := n%2 == 0, n/2%2 == 0, n/4
		t.Run(fmt.Sprintf("%t/%t/%d", leads, wipedLeads, lossAfter), func(t *testing.T) {
			s := newSimulation(t, 3, uint64(n%7))
			leaving := s.leader()
			s.start(s.add(address(4), replog.PersistentState{}))
			s.run(catchUpTime)
			if !leads {
				leaving = s.follower(leaving)
			}
			for range lossAfter {
				s.handOver(leaving)
				s.run(s.options.TickInterval)
			}
			wiped := s.replicaToWipe(leaving, wipedLeads)
			wiped.up = false
			for range 100 {
				s.handOver(leaving)
				s.run(s.options.TickInterval)
			}
			assert.Assert(t, s.leader() != nil, "no leader without %v and %v", leaving.id, wiped.id)
			assert.Assert(t, !leaving.up)
		})
	}
}

// replicaToWipe returns a running voter other than the one that leaves: the leader, if that is wanted and
// possible, or else a follower.
func (s *simulation) replicaToWipe(leaving *simulatedReplica, leads bool) *simulatedReplica {
	leader := s.leader()
	if leads && leader != leaving {
		return leader
	}
	members := leader.node.Status().Members
	return s.find(func(r *simulatedReplica, _ replog.Status) bool {
		return r != leader && r != leaving && members.IsVoter(r.id)
	})
}

// Guards against a lost leader that stays a voter longer than a lost follower, because its successor
// counts the silence anew.
func TestLostLeaderIsReplacedWithinVoterTimeout(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(t, 3, seed)
		lost := s.leader()
		s.start(s.add(address(4), replog.PersistentState{}))
		s.run(catchUpTime)
		lost.up = false
		s.run(s.options.VoterTimeout + 5*s.options.TickInterval)
		members := s.leader().node.Status().Members
		assert.Assert(t, !members.IsVoter(lost.id) && members.IsVoter(4))
	}
}

// Guards against a learner that never votes because, while entries are added all the time, it is
// always a little behind.
func TestSlowLearnerIsPromotedUnderConstantLoad(t *testing.T) {
	s := newSimulation(t, 3, 1)
	leader := s.leader()
	s.follower(leader).up = false
	s.slow = s.add(address(4), replog.PersistentState{})
	s.start(s.slow)
	s.run(catchUpTime)
	assert.Assert(t, leader.node.Status().Members.IsVoter(s.slow.id))
}

// Guards against losses of disks, restarts and replacements within the promised tolerance that
// together leave a group without a majority or without what it acknowledged.
func TestGroupSurvivesSeriesOfToleratedLosses(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runToleratedLosses(t, 3+2*int(seed%2), seed) })
	}
}

func runToleratedLosses(t *testing.T, voters int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(voters)))
	s := newSimulation(t, voters, seed)
	s.leader()
	// lostUntil holds, for each replica that counts as lost, the tick until which it does.
	var lostUntil []int
	catchUpTicks := int(catchUpTime / s.options.TickInterval)
	for range 12 {
		s.run(time.Duration(random.IntN(5000)) * time.Millisecond)
		lostUntil = slices.DeleteFunc(lostUntil, func(until int) bool { return s.ticks >= until })
		if random.IntN(6) == 0 {
			for _, r := range s.replicas {
				if r.up {
					r.up, r.startsAt = false, s.ticks+2+random.IntN(18)
				}
			}
			s.run(time.Second)
			lostUntil = slices.Repeat([]int{s.ticks + catchUpTicks}, voters/2)
			continue
		}
		if len(lostUntil) >= voters/2 {
			continue
		}
		r := s.replicas[random.IntN(len(s.replicas))]
		if !r.up {
			continue
		}
		r.up = false
		switch random.IntN(3) {
		case 0: // gone for good
			r = s.add(fmt.Sprint("replacement-", len(s.replicas)), replog.PersistentState{})
		case 1: // back with an empty disk
			r = s.add(r.address, replog.PersistentState{})
		}
		r.startsAt = s.ticks + 4 + random.IntN(36)
		lostUntil = append(lostUntil, r.startsAt+catchUpTicks)
	}
	s.run(catchUpTime)
	acknowledged := s.highestCommit
	s.run(2 * time.Second)
	leader := s.leader()
	assert.Assert(t, leader != nil, "no leader")
	assert.Assert(t, leader.node.Status().Commit > acknowledged)
}
