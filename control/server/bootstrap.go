package server

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// foundingIndex is the log index that the first state stands for.
const foundingIndex = 1

// form gives a replica without a log its first state.
//
// What can go wrong is that a replica whose disk was lost starts a second group,
// or votes on what it has forgotten. Its identity lies on the disk, so it comes
// back under a new one. It forms a group only after every other instance of the
// settings has said that it has no state either, and it becomes a voter of an
// existing group only if that was founded with its present identity. Otherwise
// it starts empty and asks to be taken in as a learner.
func (s *Server) form(ctx context.Context) (Log, error) {
	self := s.founder()
	events.ControlJoins.Log(s.log, zap.Uint64("replica", self.GetReplica()))
	for {
		answers, all := s.askToJoin(ctx, self)
		for _, answer := range answers {
			if answer.GetFormed() {
				s.willHaveLog()
				return s.follow(answer, self)
			}
		}
		if all && !s.options.JoinOnly && s.first() {
			s.willHaveLog()
			return s.found(append(s.asFounders(answers), self))
		}
		s.pause(ctx, formPause)
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

func (s *Server) willHaveLog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.hasLog = true
}

func (s *Server) founder() *rpc.Founder {
	return &rpc.Founder{
		Replica:  uint64(s.replica),
		Instance: string(s.options.Self.Name),
		Address:  s.options.Self.Address,
	}
}

// askToJoin asks all other control instances, and says whether all answered.
// The answers are in the order of the settings, nil where there is none.
func (s *Server) askToJoin(ctx context.Context, self *rpc.Founder) ([]*rpc.JoinAnswer, bool) {
	answers := make([]*rpc.JoinAnswer, len(s.options.Peers))
	all := true
	for i, other := range s.options.Peers {
		asking, cancel := context.WithTimeout(ctx, joinTimeout)
		answer, err := s.options.Dialer.Control(other.Address).Join(asking, &rpc.JoinRequest{Replica: self})
		cancel()
		if err != nil {
			all = false
			continue
		}
		answers[i] = answer
	}
	return answers, all
}

// first says whether this instance is the one that founds the group: there must
// be only one.
func (s *Server) first() bool {
	for _, other := range s.options.Peers {
		if other.Name < s.options.Self.Name {
			return false
		}
	}
	return true
}

func (s *Server) asFounders(answers []*rpc.JoinAnswer) []*rpc.Founder {
	var founders []*rpc.Founder
	for i, other := range s.options.Peers {
		founders = append(founders, &rpc.Founder{
			Replica:  answers[i].GetReplica(),
			Instance: string(other.Name),
			Address:  other.Address,
		})
	}
	return founders
}

// follow takes part in a group that another instance knows.
func (s *Server) follow(answer *rpc.JoinAnswer, self *rpc.Founder) (Log, error) {
	for _, founder := range answer.GetFounders() {
		if founder.GetReplica() == self.GetReplica() {
			return s.create(answer.GetGroup(), answer.GetFounders())
		}
	}
	log, err := s.options.LogStore.Create(answer.GetGroup(), s.replica, replog.PersistentState{})
	return log, trace.Wrap(err)
}

func (s *Server) found(founders []*rpc.Founder) (Log, error) {
	slices.SortFunc(founders, func(a, b *rpc.Founder) int {
		return cmp.Compare(a.GetReplica(), b.GetReplica())
	})
	group := rand.Uint64() | 1
	events.ControlFormed.Log(s.log, zap.Uint64("group", group), zap.Int("replicas", len(founders)))
	return s.create(group, founders)
}

// create makes the log of a founder. All founders make the same state.
func (s *Server) create(group uint64, founders []*rpc.Founder) (Log, error) {
	first := state.New(s.options.Limits)
	first.Bootstrap(group, founders)
	data, err := first.Snapshot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var members replog.Members
	for _, founder := range founders {
		members = append(members, replog.Member{
			Replica: replog.ReplicaID(founder.GetReplica()),
			Address: founder.GetAddress(),
		})
	}
	saved := replog.BootstrapGroupState(members, foundingIndex, data)
	log, err := s.options.LogStore.Create(group, s.replica, saved)
	return log, trace.Wrap(err)
}

// Join answers who this replica is. The leader takes the asking replica in.
//
// A replica that has a log but does not know its group's founders, because it
// is just starting or has not caught up yet, gives no answer: the asker must
// neither take it for one without state, nor for one that can tell it its part.
func (s *Server) Join(_ context.Context, request *rpc.JoinRequest) (*rpc.JoinAnswer, error) {
	s.mu.RLock()
	seen := s.view
	s.mu.RUnlock()
	switch {
	case seen.leads:
		select {
		case s.joins <- request.GetReplica():
		default:
		}
	case seen.leaderAddress != "" && !request.GetRelayed():
		s.relayJoin(seen.leaderAddress, request.GetReplica())
	}
	knows := seen.formed && len(seen.founders) > 0
	if seen.hasLog && !knows {
		return nil, twirp.NewError(twirp.Unavailable, string(NotJoined))
	}
	return &rpc.JoinAnswer{
		Replica:  uint64(s.replica),
		Formed:   knows,
		Group:    seen.group,
		Founders: seen.founders,
	}, nil
}

// relayJoin passes a joining replica on to the leader, beside everything else. The
// joiner knows some of the instances only, and the leader need not be one of them: it
// would never be taken in, and the next lost disks could take the quorum along.
func (s *Server) relayJoin(leader string, replica *rpc.Founder) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		_, err := s.options.Dialer.Control(leader).Join(ctx, &rpc.JoinRequest{Replica: replica, Relayed: true})
		if err != nil {
			// The joiner asks again: a lost request costs half a second.
			events.ControlJoinNotRelayed.Log(s.log, zap.String("leader", leader), zap.Error(err))
		}
	}()
}

// repairEvery is the number of ticks between two looks at who wants to join.
const repairEvery = 10

// repair is run at every tick. A replica that is not a voter asks to join; the
// leader takes in those that asked, one step at a time.
//
// One that does not keep up asks too: it may have been replaced while it was cut
// off. Nobody sends it the entry that says so, and no voter answers it, so that it
// would hold itself for a voter for ever and be lost to the group. The leader passes
// over those that do vote.
func (s *Server) repair() {
	s.repairTicks++
	if s.repairTicks%repairEvery != 0 {
		return
	}
	status := s.node.Status()
	if status.Role == replog.Leader {
		s.repairGroup(status)
		return
	}
	if !status.Members.IsVoter(status.ID) || !s.soft.UpToDate {
		self := s.founder()
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout*time.Duration(len(s.options.Peers)+1))
		s.running.Go(func() {
			defer cancel()
			s.askToJoin(ctx, self)
		})
	}
}

// repairGroup makes at most one change, the first that is due for a joiner:
// add it as a learner; once it has caught up, remove the replica whose place it
// takes, then let it vote. Adding it as a voter first would make the group
// larger while one of its members is lost for good.
func (s *Server) repairGroup(status replog.Status) {
	for id, joiner := range s.joiners {
		member, found := status.Members.Find(id)
		if found && !member.Learner || !s.known(joiner.GetAddress()) {
			delete(s.joiners, id)
			continue
		}
		change, due := s.changeFor(status, id, joiner.GetAddress(), found)
		if !due {
			continue
		}
		s.proposeChange(change)
		return
	}
}

// changeFor is the next change for a joiner that is not a voter.
func (s *Server) changeFor(status replog.Status, id replog.ReplicaID, address string, member bool) (replog.Change, bool) {
	if !member {
		return replog.Change{Kind: replog.AddLearner, Replica: id, Address: address}, true
	}
	if status.Progress[id].Match < status.Commit {
		return replog.Change{}, false
	}
	if old, ok := replaced(status.Members, id, address); ok {
		return replog.Change{Kind: replog.Remove, Replica: old}, true
	}
	if s.options.MaxVoters == 0 || len(status.Members.Voters()) < s.options.MaxVoters {
		return replog.Change{Kind: replog.Promote, Replica: id}, true
	}
	old, ok := s.longGone(status)
	if ok {
		events.ControlReplicaRemoved.Log(s.log, zap.Uint64("replica", uint64(old)))
	}
	return replog.Change{Kind: replog.Remove, Replica: old}, ok
}

// longGone finds a voter that has been silent for so long that its machine must
// be taken for lost.
func (s *Server) longGone(status replog.Status) (replog.ReplicaID, bool) {
	ticks := int(s.options.VoterTimeout / s.options.TickInterval)
	for _, voter := range status.Members.Voters() {
		progress, known := status.Progress[voter]
		if known && voter != status.ID && progress.TicksSinceResponse > ticks {
			return voter, true
		}
	}
	return replog.None, false
}

func (s *Server) proposeChange(change replog.Change) {
	fields := []zap.Field{
		zap.Uint8("kind", uint8(change.Kind)),
		zap.Uint64("replica", uint64(change.Replica)),
	}
	if _, err := s.node.ProposeChange(change); err != nil {
		events.ControlRepairRefused.Log(s.log, append(fields, zap.Error(err))...)
		return
	}
	events.ControlReplicaAdded.Log(s.log, fields...)
}

// known says whether a replica at the address may join.
func (s *Server) known(address string) bool {
	return s.options.AcceptUnknownPeers || address == s.options.Self.Address || slices.ContainsFunc(s.options.Peers, func(other Instance) bool {
		return other.Address == address
	})
}

// replaced returns the older replica at the address of a joiner. That address
// now answers as the joiner, so the older one has lost its disk.
func replaced(members replog.Members, joiner replog.ReplicaID, address string) (replog.ReplicaID, bool) {
	for _, m := range members {
		if m.Address == address && m.Replica != joiner {
			return m.Replica, true
		}
	}
	return replog.None, false
}
