package server

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
)

// reconcileIntervalTicks is the number of ticks between two join requests of a replica, and
// before a leader proposes a membership change again that was rejected.
const reconcileIntervalTicks = 10

// reconcileMembership is called at every tick. The leader replaces lost voters, by one
// membership change at a time. A replica that is not a voter asks to join.
//
// A replica that is not up to date asks as well, even if it is a voter by its own
// log: it may have been replaced while it was isolated. Nobody sends it the entry
// that removes it and no voter answers it, so it would count itself as a voter
// forever and be lost to the group. The leader ignores requests of actual voters.
func (s *Server) reconcileMembership() {
	s.reconcileTicks++
	status := s.node.Status()
	if status.Role == replog.Leader {
		s.reconcileAsLeader(status)
		return
	}
	if s.reconcileTicks%reconcileIntervalTicks != 0 || s.leaving.Load() {
		return
	}
	if !status.Members.IsVoter(status.ID) || !s.softState.UpToDate {
		self := s.selfAsFounder()
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout*time.Duration(len(s.options.Peers)+1))
		s.goroutines.Go(func() {
			defer cancel()
			s.sendJoinRequests(ctx, self)
		})
	}
}

// reconcileAsLeader proposes at most one membership change, the first that is due: remove a lost voter
// from a group that is too large; add a joining replica as a learner; once a learner has caught up,
// remove the voter that it replaces; then promote it. Promoting it first would enlarge the group, and
// with it the quorum, while one voter is lost for good. A voter that only leaves still counts until
// it has been removed, so there the learner is promoted first.
//
// Until the learner votes, the group tolerates one loss less, so the next change follows as
// soon as the one before it is committed.
func (s *Server) reconcileAsLeader(status replog.Status) {
	if s.reconcileTicks < s.nextChangeTicks || status.MembersIndex > status.Commit || !status.CommittedInTerm {
		return
	}
	change, due := s.nextRemoval(status)
	if !due {
		change, due = s.nextJoin(status)
	}
	if !due {
		change, due = s.nextPromotion(status)
	}
	if due {
		s.proposeChange(change)
	}
}

// nextRemoval returns the removal of a lost or leaving voter from a group that has more voters than it
// should.
func (s *Server) nextRemoval(status replog.Status) (replog.Change, bool) {
	if s.options.MaxVoters == 0 || len(status.Members.Voters()) <= s.options.MaxVoters {
		return replog.Change{}, false
	}
	old, ok := s.findDeadVoter(status)
	return replog.Change{Kind: replog.Remove, Replica: old}, ok
}

// nextJoin returns the addition of a replica that asked to join and is no member yet.
func (s *Server) nextJoin(status replog.Status) (replog.Change, bool) {
	for id, joiner := range s.pendingJoins {
		delete(s.pendingJoins, id)
		if _, member := status.Members.Find(id); !member && s.mayJoin(joiner.GetAddress()) {
			return replog.Change{Kind: replog.AddLearner, Replica: id, Address: joiner.GetAddress()}, true
		}
	}
	return replog.Change{}, false
}

// nextPromotion returns the next change that lets a learner vote. Learners are found in the
// membership, so that a new leader does not have to wait for their requests.
func (s *Server) nextPromotion(status replog.Status) (replog.Change, bool) {
	for _, m := range status.Members {
		progress := status.Progress[m.Replica]
		caughtUp := progress.HasCaughtUp(status.Commit) && progress.TicksSinceResponse <= s.options.ElectionTicks
		if !m.Learner || !caughtUp || !s.mayJoin(m.Address) {
			continue
		}
		if change, due := s.changeFor(status, m); due {
			return change, true
		}
	}
	return replog.Change{}, false
}

// changeFor returns the change that makes room for a learner, or its promotion if there is
// room. It returns false if no voter is lost.
func (s *Server) changeFor(status replog.Status, learner replog.Member) (replog.Change, bool) {
	if old, ok := findReplacedMember(status.Members, learner.Replica, learner.Address); ok {
		return replog.Change{Kind: replog.Remove, Replica: old}, true
	}
	if s.options.MaxVoters == 0 || len(status.Members.Voters()) < s.options.MaxVoters {
		return replog.Change{Kind: replog.Promote, Replica: learner.Replica}, true
	}
	old, ok := s.findDeadVoter(status)
	if !ok {
		return replog.Change{}, false
	}
	if len(status.Members.Voters()) == s.options.MaxVoters && status.Progress[old].TicksSinceResponse <= s.options.ElectionTicks {
		return replog.Change{Kind: replog.Promote, Replica: learner.Replica}, true
	}
	events.ControlReplicaRemoved.Log(s.log, zap.Uint64("replica", uint64(old)))
	return replog.Change{Kind: replog.Remove, Replica: old}, true
}

// findDeadVoter returns a voter that is about to stop, or has been silent for longer than
// VoterTimeout, so that its machine is considered lost.
func (s *Server) findDeadVoter(status replog.Status) (replog.ReplicaID, bool) {
	ticks := int(s.options.VoterTimeout / s.options.TickInterval)
	for _, voter := range status.Members.Voters() {
		progress, known := status.Progress[voter]
		if known && voter != status.ID && (progress.Leaving || progress.TicksSinceResponse > ticks) {
			return voter, true
		}
	}
	return replog.None, false
}

// proposeChange proposes a membership change and logs whether the node accepted it.
func (s *Server) proposeChange(change replog.Change) {
	fields := []zap.Field{
		zap.Uint8("kind", uint8(change.Kind)),
		zap.Uint64("replica", uint64(change.Replica)), zap.String("address", change.Address),
	}
	if _, err := s.node.ProposeChange(change); err != nil {
		s.nextChangeTicks = s.reconcileTicks + reconcileIntervalTicks
		events.ControlMembershipChangeRefused.Log(s.log, append(fields, zap.Error(err))...)
		return
	}
	events.ControlReplicaAdded.Log(s.log, fields...)
}

// mayJoin returns whether a replica at the address may join the group.
func (s *Server) mayJoin(address string) bool {
	return s.options.AcceptUnknownPeers || address == s.options.Self.Address || slices.ContainsFunc(s.options.Peers, func(other Instance) bool {
		return other.Address == address
	})
}

// findReplacedMember returns the earlier replica at the address of a joining one.
// Since the address now answers as the joining replica, the earlier one has lost
// its disk.
func findReplacedMember(members replog.Members, joiner replog.ReplicaID, address string) (replog.ReplicaID, bool) {
	for _, m := range members {
		if m.Address == address && m.Replica != joiner {
			return m.Replica, true
		}
	}
	return replog.None, false
}
