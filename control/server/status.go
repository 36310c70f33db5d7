package server

import (
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/replog"
)

// Status is a replica's view of its group.
type Status struct {
	Joined        bool
	IsLeader      bool
	LeaderAddress string
	IsVoter       bool
	AppliedIndex  uint64
	// IsCurrent is set while this replica's state was the newest that the group had
	// committed within the last ElectionTicks, so that clients may rely on it.
	// Knowing a leader does not imply this: such a replica may still lag.
	IsCurrent bool
	// Lag is how long ago the state was last known to be the newest of the group;
	// negative if it never was since the replica started.
	Lag time.Duration
	// ClaimCount is the number of retained claims.
	ClaimCount int
	Members    replog.Members
	Quorum     Quorum
}

// hasSuccessor reports whether a learner could vote in place of a voter, or does already.
func (s Status) hasSuccessor(maxVoters int) bool {
	isTooLarge := maxVoters > 0 && len(s.Members.Voters()) > maxVoters
	return isTooLarge || slices.ContainsFunc(s.Members, func(m replog.Member) bool { return m.Learner })
}

// Status returns the replica's view of its group.
func (s *Server) Status() Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.statusLocked()
}

// statusLocked is Status for a caller that holds mu.
func (s *Server) statusLocked() Status {
	return Status{
		Joined:        s.view.joined,
		IsLeader:      s.view.isLeader,
		LeaderAddress: s.view.leaderAddress,
		IsVoter:       s.view.isVoter,
		AppliedIndex:  s.appliedIndex,
		IsCurrent:     s.view.isCurrent,
		Lag:           s.lag(),
		ClaimCount:    s.state.ClaimCount(),
		Members:       s.view.members,
		Quorum:        s.view.quorum,
	}
}
