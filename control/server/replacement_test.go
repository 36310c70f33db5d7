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

// simulation runs replicas of a group in virtual time. Messages arrive at once; only replicas
// that are up take part.
type simulation struct {
	t       *testing.T
	options Options
	seed    uint64
	ticks   int
	ids     []replog.ReplicaID
	servers map[replog.ReplicaID]*Server
	storage map[replog.ReplicaID]*replog.MemoryStorage
	up      map[replog.ReplicaID]bool
	// addresses holds the address of each replica, starts when a replica is to start.
	addresses map[replog.ReplicaID]string
	starts    map[replog.ReplicaID]int
	// slow is a replica that gets all messages one tick late, delayed those that wait.
	slow    replog.ReplicaID
	delayed []replog.Message
	// highestCommit is the highest index that any replica has committed.
	highestCommit uint64
}

func newSimulation(t *testing.T, voters int, seed uint64) *simulation {
	options := Options{AcceptUnknownPeers: true, MaxVoters: voters, Log: zap.NewNop()}
	options.setDefaults()
	s := &simulation{
		t: t, options: options, seed: seed, servers: map[replog.ReplicaID]*Server{},
		storage: map[replog.ReplicaID]*replog.MemoryStorage{}, up: map[replog.ReplicaID]bool{},
		addresses: map[replog.ReplicaID]string{}, starts: map[replog.ReplicaID]int{},
	}
	var members replog.Members
	for i := range voters {
		members = append(members, replog.Member{Replica: replog.ReplicaID(i + 1), Address: address(i + 1)})
	}
	for _, m := range members {
		s.addresses[m.Replica] = m.Address
		s.storage[m.Replica] = replog.NewMemoryStorage(replog.BootstrapGroupState(members, bootstrapIndex, nil))
		s.start(m.Replica)
	}
	return s
}

// start starts a replica from its disk, or with an empty one.
func (s *simulation) start(id replog.ReplicaID) {
	if s.storage[id] == nil {
		s.storage[id] = replog.NewMemoryStorage(replog.PersistentState{})
	}
	saved, err := s.storage[id].Load()
	assert.NilError(s.t, err)
	node, err := replog.NewNode(replog.Config{
		ID: id, Group: 1, ElectionTicks: s.options.ElectionTicks, HeartbeatTicks: defaultHeartbeatTicks, Seed: s.seed,
	}, saved)
	assert.NilError(s.t, err)
	s.servers[id] = &Server{
		options: s.options, log: zap.NewNop(), node: node, pendingJoins: map[replog.ReplicaID]*rpc.Founder{},
	}
	s.up[id] = true
	if !slices.Contains(s.ids, id) {
		s.ids = append(s.ids, id)
	}
}

// startDue starts the replicas whose time has come.
func (s *simulation) startDue() {
	for id := replog.ReplicaID(1); len(s.starts) > 0 && int(id) <= len(s.addresses); id++ {
		if at, waits := s.starts[id]; waits && at <= s.ticks {
			delete(s.starts, id)
			s.start(id)
		}
	}
}

// restartAll kills all running replicas, which return with their disks within a second.
func (s *simulation) restartAll(random *rand.Rand) {
	for _, id := range s.ids {
		if s.up[id] {
			s.up[id], s.starts[id] = false, s.ticks+2+random.IntN(18)
		}
	}
}

func (s *simulation) randomUp(random *rand.Rand) replog.ReplicaID {
	for {
		if id := s.ids[random.IntN(len(s.ids))]; s.up[id] {
			return id
		}
	}
}

func (s *simulation) leader() *Server {
	for _, id := range s.ids {
		if s.up[id] && s.servers[id].node.Status().Role == replog.Leader {
			return s.servers[id]
		}
	}
	return nil
}

// waitForLeader runs the group until it has a leader, for at most a minute.
func (s *simulation) waitForLeader() *Server {
	for deadline := s.ticks + int(time.Minute/s.options.TickInterval); s.ticks < deadline; {
		if leader := s.leader(); leader != nil {
			return leader
		}
		s.run(s.options.TickInterval)
	}
	return nil
}

// run lets time pass.
func (s *simulation) run(d time.Duration) {
	for range int(d / s.options.TickInterval) {
		s.ticks++
		s.startDue()
		for _, id := range s.ids {
			if s.up[id] {
				s.servers[id].node.Tick()
				s.reconcile(id)
			}
		}
		delayed := s.delayed
		s.delayed = nil
		s.deliver()
		for _, m := range delayed {
			if s.up[m.To] {
				assert.NilError(s.t, s.servers[m.To].node.Step(m))
			}
		}
		s.deliver()
	}
}

// reconcile lets the leader change the membership, and the others ask it to join.
func (s *simulation) reconcile(id replog.ReplicaID) {
	server, leader := s.servers[id], s.leader()
	status := server.node.Status()
	switch {
	case server == leader:
		server.reconcileMembership()
		_, _ = server.node.Propose([]byte("change"))
	case leader != nil && s.ticks%reconcileIntervalTicks == 0 && !status.Members.IsVoter(id):
		leader.pendingJoins[id] = &rpc.Founder{Replica: uint64(id), Address: s.addresses[id]}
	}
}

// deliver saves and delivers until nothing is left to do.
func (s *simulation) deliver() {
	for pending := true; pending; {
		pending = false
		for _, id := range s.ids {
			for s.up[id] && s.servers[id].node.HasReady() {
				pending = true
				ready := s.servers[id].node.Ready()
				assert.NilError(s.t, s.storage[id].Save(ready))
				s.servers[id].node.Advance(ready)
				if n := len(ready.Committed); n > 0 {
					s.highestCommit = max(s.highestCommit, ready.Committed[n-1].Index)
				}
				for _, m := range ready.Messages {
					if m.To == s.slow {
						s.delayed = append(s.delayed, m)
						continue
					}
					if s.up[m.To] {
						assert.NilError(s.t, s.servers[m.To].node.Step(m))
					}
				}
			}
		}
	}
}

// other returns a running voter that does not lead.
func (s *simulation) other(leader *Server) replog.ReplicaID {
	for _, id := range s.ids {
		if s.up[id] && s.servers[id] != leader && leader.node.Status().Members.IsVoter(id) {
			return id
		}
	}
	return replog.None
}

// Guards against a group that the loss of a second disk stops for good although the first lost
// voter's replacement has had its time to catch up.
func TestGroupSurvivesDiskLossAfterReplacement(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		for _, lost := range []string{"leader", "follower"} {
			for seed := range uint64(20) {
				t.Run(fmt.Sprintf("%s/%s/%d", lost, delay, seed), func(t *testing.T) {
					s := newSimulation(t, 3, seed)
					leader := s.waitForLeader()
					s.run(time.Second)
					gone := leader.node.Status().ID
					if lost == "follower" {
						gone = s.other(leader)
					}
					s.up[gone] = false
					s.run(delay)
					replacement := replog.ReplicaID(4)
					s.addresses[replacement] = address(4)
					s.start(replacement)
					s.run(catchUpTime)
					leader = s.waitForLeader()
					wiped := leader.node.Status().ID
					if seed%2 == 0 {
						wiped = s.other(leader)
					}
					s.up[wiped] = false
					s.run(time.Second)
					assert.Assert(t, s.waitForLeader() != nil, "no leader after the loss of %v and %v", gone, wiped)
				})
			}
		}
	}
}

// Guards against a planned replacement that leaves the group without a majority if a disk is lost
// right after it.
func TestGroupSurvivesDiskLossRightAfterPlannedReplacement(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, 3, seed)
		leader := s.waitForLeader()
		s.addresses[4] = address(4)
		s.start(4)
		s.run(catchUpTime)
		leaving := s.other(leader)
		m, due := s.servers[leaving].node.LeaveMessage()
		assert.Assert(t, due)
		assert.NilError(t, leader.node.Step(m))
		s.up[leaving] = false
		s.run(3 * s.options.TickInterval)
		s.up[s.other(leader)] = false
		assert.Assert(t, s.waitForLeader() != nil)
		s.run(2 * time.Second)
		assert.Assert(t, s.waitForLeader() != nil, "no leader")
	}
}

// Guards against a learner that never votes because, while entries are added all the time, it is
// always a little behind.
func TestSlowLearnerIsPromotedUnderConstantLoad(t *testing.T) {
	s := newSimulation(t, 3, 1)
	leader := s.waitForLeader()
	s.up[s.other(leader)] = false
	s.slow = 4
	s.addresses[s.slow] = address(4)
	s.start(s.slow)
	s.run(catchUpTime)
	assert.Assert(t, leader.node.Status().Members.IsVoter(s.slow))
}

// Guards against losses of disks, restarts and replacements within the promised tolerance that
// together leave a group without a majority or without what it acknowledged.
func TestGroupSurvivesSeriesOfToleratedLosses(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("%d/%d", voters, seed), func(t *testing.T) { runTolerableLosses(t, voters, seed) })
		}
	}
}

func runTolerableLosses(t *testing.T, voters int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(voters)))
	s := newSimulation(t, voters, seed)
	s.waitForLeader()
	var lostUntil []int
	next := replog.ReplicaID(voters + 1)
	for range 12 {
		s.run(time.Duration(random.IntN(5000)) * time.Millisecond)
		lostUntil = slices.DeleteFunc(lostUntil, func(until int) bool { return s.ticks >= until })
		if random.IntN(6) == 0 {
			s.restartAll(random)
			s.run(time.Second)
			for range voters / 2 {
				lostUntil = append(lostUntil, s.ticks+int(catchUpTime/s.options.TickInterval))
			}
			continue
		}
		if len(lostUntil) >= voters/2 {
			continue
		}
		id := s.randomUp(random)
		s.up[id] = false
		downTicks := 4 + random.IntN(36)
		returning, address := id, s.addresses[id]
		switch random.IntN(3) {
		case 0:
			address = fmt.Sprint("replacement-", next)
			fallthrough
		case 1:
			returning = next
			next++
		}
		s.addresses[returning] = address
		s.starts[returning] = s.ticks + downTicks
		lostUntil = append(lostUntil, s.ticks+downTicks+int(catchUpTime/s.options.TickInterval))
	}
	s.run(catchUpTime)
	acknowledged := s.highestCommit
	s.run(2 * time.Second)
	leader := s.waitForLeader()
	assert.Assert(t, leader != nil, "no leader")
	assert.Assert(t, leader.node.Status().Commit > acknowledged)
}
