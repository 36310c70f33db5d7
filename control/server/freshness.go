package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
)

// neverUpToDate means that the state was never known to be the group's newest.
const neverUpToDate = time.Duration(-1)

// lag returns how long ago the state was last known to be the group's newest. The
// caller holds mu.
func (s *Server) lag() time.Duration {
	if s.upToDateAt < 0 {
		return neverUpToDate
	}
	return s.options.Clock.Now() - s.upToDateAt
}

// handleSoftState processes a change of the role, of the leader or of whether the
// state is up to date.
func (s *Server) handleSoftState(soft replog.SoftState) {
	previous := s.softState
	s.softState = soft
	if soft.Leader != previous.Leader || soft.Role != previous.Role {
		s.handleRoleChange(soft)
	}
	if soft.UpToDate != previous.UpToDate {
		s.logCurrentChange(soft)
	}
	s.publishView(nil)
}

// logCurrentChange logs that the state is the group's newest, or may no longer be.
// The fields distinguish a replica that does not hear from the group from one that
// cannot persist what it receives.
func (s *Server) logCurrentChange(soft replog.SoftState) {
	event := events.ControlReplicaStale
	if soft.UpToDate {
		event = events.ControlReplicaCurrent
	}
	status := s.node.Status()
	event.Log(s.log, zap.Uint64("leader", uint64(soft.Leader)), zap.Bool("votes", status.Members.IsVoter(status.ID)),
		zap.Uint64("applied", status.Applied), zap.Uint64("committed", status.Commit),
		zap.Uint64("durable", status.StableIndex), zap.Uint64("last", status.LastIndex))
}

// recordUpToDate records the latest time at which the state was known to be the
// group's newest.
func (s *Server) recordUpToDate() {
	status := s.node.Status()
	if !status.StalenessKnown {
		return
	}
	at := s.options.Clock.Now() - time.Duration(status.StalenessTicks)*s.options.TickInterval
	s.mu.Lock()
	s.upToDateAt = max(0, at)
	s.mu.Unlock()
}
