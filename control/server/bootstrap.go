package server

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// bootstrapIndex is the log index of the initial snapshot of a new group.
const bootstrapIndex = 1

// joinOrBootstrap creates the log of a replica that has none, by joining an
// existing group or bootstrapping a new one.
//
// A replica that has lost its disk must neither bootstrap a second group nor vote
// without the log that it has forgotten. The replica ID is stored on disk, so such
// a replica returns under a new ID. It bootstraps a group only after all peers have
// answered that they have no state either. It becomes a voter of an existing group
// only if its present ID is among the founders. Otherwise it starts with an empty
// log and asks to be added as a learner.
func (s *Server) joinOrBootstrap(ctx context.Context) (Log, error) {
	self := s.selfAsFounder()
	events.ControlJoinRequested.Log(s.log, zap.Uint64("replica", self.GetReplica()))
	start, reported := s.options.Clock.Now(), false
	for {
		answers, allAnswered := s.sendJoinRequests(ctx, self)
		for _, answer := range answers {
			if answer.GetFormed() {
				s.markHasLog()
				return s.joinGroup(answer, self)
			}
		}
		if allAnswered && !s.options.JoinOnly && s.isBootstrapper() {
			s.markHasLog()
			return s.bootstrapGroup(append(s.peersAsFounders(answers), self))
		}
		if !reported && s.options.Clock.Now()-start > joinReportDelay {
			reported = true
			events.ControlJoinUnanswered.Log(s.log, zap.Strings("unanswered", s.unansweredPeers(answers)))
		}
		s.sleep(ctx, joinRetryDelay)
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

// markHasLog publishes that this replica is about to create its log, so that it no
// longer answers peers as a replica without state.
func (s *Server) markHasLog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.hasLog = true
}

// selfAsFounder returns the entry for this replica in a list of founders.
func (s *Server) selfAsFounder() *rpc.Founder {
	return &rpc.Founder{
		Replica:  uint64(s.replicaID),
		Instance: string(s.options.Self.Name),
		Address:  s.options.Self.Address,
	}
}

// sendJoinRequests sends a join request to all peers. It returns the answers in the
// order of the peers, with nil for a peer that did not answer, and whether all did.
func (s *Server) sendJoinRequests(ctx context.Context, self *rpc.Founder) ([]*rpc.JoinAnswer, bool) {
	answers := make([]*rpc.JoinAnswer, len(s.options.Peers))
	allAnswered := true
	for i, other := range s.options.Peers {
		requestCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		answer, err := s.options.Dialer.Control(other.Address).Join(requestCtx, &rpc.JoinRequest{Replica: self})
		cancel()
		if err != nil {
			allAnswered = false
			continue
		}
		answers[i] = answer
	}
	return answers, allAnswered
}

// unansweredPeers returns the addresses of the peers whose answer is nil.
func (s *Server) unansweredPeers(answers []*rpc.JoinAnswer) []string {
	var addresses []string
	for i, answer := range answers {
		if answer == nil {
			addresses = append(addresses, s.options.Peers[i].Address)
		}
	}
	return addresses
}

// isBootstrapper returns whether this instance is the one that bootstraps the
// group: the one with the lowest name, so that there is only one.
func (s *Server) isBootstrapper() bool {
	for _, other := range s.options.Peers {
		if other.Name < s.options.Self.Name {
			return false
		}
	}
	return true
}

// peersAsFounders returns the peers as founders, with the replica IDs that they
// answered.
func (s *Server) peersAsFounders(answers []*rpc.JoinAnswer) []*rpc.Founder {
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

// joinGroup creates the log for a group that a peer belongs to.
func (s *Server) joinGroup(answer *rpc.JoinAnswer, self *rpc.Founder) (Log, error) {
	for _, founder := range answer.GetFounders() {
		if founder.GetReplica() == self.GetReplica() {
			return s.createFounderLog(answer.GetGroup(), answer.GetFounders())
		}
	}
	log, err := s.options.LogStore.Create(answer.GetGroup(), s.replicaID, replog.PersistentState{})
	return log, trace.Wrap(err)
}

// bootstrapGroup creates the log of a new group under a random group ID.
func (s *Server) bootstrapGroup(founders []*rpc.Founder) (Log, error) {
	slices.SortFunc(founders, func(a, b *rpc.Founder) int {
		return cmp.Compare(a.GetReplica(), b.GetReplica())
	})
	group := rand.Uint64() | 1
	events.ControlFormed.Log(s.log, zap.Uint64("group", group), zap.Int("replicas", len(founders)))
	return s.createFounderLog(group, founders)
}

// createFounderLog creates the log of a founder. The initial snapshot is identical
// at all founders.
func (s *Server) createFounderLog(group uint64, founders []*rpc.Founder) (Log, error) {
	initial := state.New(s.options.Limits)
	initial.Bootstrap(group, founders)
	data, err := initial.Snapshot()
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
	saved := replog.BootstrapGroupState(members, bootstrapIndex, data)
	log, err := s.options.LogStore.Create(group, s.replicaID, saved)
	return log, trace.Wrap(err)
}

// Join returns the ID of this replica and its group. If this replica leads, it
// queues the caller to be added to the group; otherwise it forwards the request to
// the leader.
//
// It fails on a replica that has a log but does not know the founders of its group,
// because it is starting or has not caught up yet. The caller must not take such a
// replica for one without state, and cannot learn from it whether it is a founder.
func (s *Server) Join(_ context.Context, request *rpc.JoinRequest) (*rpc.JoinAnswer, error) {
	s.mu.RLock()
	view := s.view
	s.mu.RUnlock()
	switch {
	case view.isLeader:
		select {
		case s.joinRequests <- request.GetReplica():
		default:
		}
	case view.leaderAddress != "" && !request.GetRelayed():
		s.forwardJoin(view.leaderAddress, request.GetReplica())
	}
	knowsFounders := view.joined && len(view.founders) > 0
	if view.hasLog && !knowsFounders {
		return nil, twirp.NewError(twirp.Unavailable, string(NotJoined))
	}
	return &rpc.JoinAnswer{
		Replica:  uint64(s.replicaID),
		Formed:   knowsFounders,
		Group:    view.groupID,
		Founders: view.founders,
	}, nil
}

// forwardJoin forwards a join request to the leader in the background. A joining
// replica knows only some of the instances, and the leader need not be among them.
// Without forwarding the replica would never be added, and the loss of further
// disks could cost the group its quorum.
func (s *Server) forwardJoin(leader string, replica *rpc.Founder) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		_, err := s.options.Dialer.Control(leader).Join(ctx, &rpc.JoinRequest{Replica: replica, Relayed: true})
		if err != nil {
			// The joining replica retries, so a lost request delays it by half a
			// second.
			events.ControlJoinNotRelayed.Log(s.log, zap.String("leader", leader), zap.Error(err))
		}
	}()
}
