package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
)

// neverFresh marks that the state was not yet known to be the group's newest.
const neverFresh = time.Duration(-1)

// lag is how long ago the state is known to have been the group's newest. The caller
// holds mu.
func (s *Server) lag() time.Duration {
	if s.freshAt < 0 {
		return neverFresh
	}
	return s.options.Clock.Now() - s.freshAt
}

// takeSoftState takes over a new role, leader or freshness of the state.
func (s *Server) takeSoftState(soft replog.SoftState) {
	before := s.soft
	s.soft = soft
	if soft.Leader != before.Leader || soft.Role != before.Role {
		s.takeRole(soft)
	}
	if soft.UpToDate != before.UpToDate {
		s.noteCurrent(soft)
	}
	s.publish(nil)
}

// noteCurrent logs that the state is the group's newest, or may not be any more,
// with what tells apart a replica that does not hear the group from one that cannot
// write down what it hears.
func (s *Server) noteCurrent(soft replog.SoftState) {
	event := events.ControlLags
	if soft.UpToDate {
		event = events.ControlCurrent
	}
	status := s.node.Status()
	event.Log(s.log, zap.Uint64("leader", uint64(soft.Leader)), zap.Bool("votes", status.Members.IsVoter(status.ID)),
		zap.Uint64("applied", status.Applied), zap.Uint64("committed", status.Commit),
		zap.Uint64("durable", status.StableIndex), zap.Uint64("last", status.LastIndex))
}

// noteFresh keeps as of when the state is known to be the group's newest.
func (s *Server) noteFresh() {
	status := s.node.Status()
	if !status.StalenessKnown {
		return
	}
	at := s.options.Clock.Now() - time.Duration(status.StalenessTicks)*s.options.TickInterval
	s.mu.Lock()
	s.freshAt = max(0, at)
	s.mu.Unlock()
}
