package forward

import (
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// placePause is the time between two looks for room.
	placePause = 10 * time.Millisecond
	// patiencePart is the part of the target for which a request is held when
	// nothing has room. A caller that is refused within it loses next to nothing
	// by coming back; one that is held longer would have been better off told.
	patiencePart = 8
	// againPart is the same for a request that an endpoint has declined: its
	// other endpoints are only a moment away.
	againPart = 3
	// holdTargets bounds, in targets, how long a request may wait for a part of its
	// prompt that another one is reading, where that is the lesser loss.
	holdTargets = 1.5
)

// place finds an endpoint, waiting a moment for room.
func (j *job) place() (*dispatch.Attempt, tables.ErrorCode) {
	s := j.server
	patience := j.target() / patiencePart
	if j.sends > 0 || len(j.ask.Tried) > 0 {
		patience = j.target() / againPart
	}
	until := s.options.Now() + patience
	for {
		chosen, reason := s.placeWithinLimits(j)
		if chosen != nil {
			return chosen, 0
		}
		code := codeOf(reason)
		if reason == "" {
			return nil, tables.CodeQuarantined
		}
		final := reason == dispatch.TooLarge || reason == dispatch.DeadlineTooSoon
		if final || reason != dispatch.PrefillPending && s.options.Now() >= until {
			return nil, code
		}
		select {
		case <-j.ctx.Done():
			return nil, code
		case <-time.After(placePause):
		}
	}
}

// place asks the decisions; the empty reason means that the request is
// suspected of crashing endpoints.
func (s *Server) place(j *job) (*dispatch.Attempt, dispatch.RejectReason) {
	switch s.verdict(j) {
	case quarantine.Reject:
		return nil, ""
	case quarantine.Defer:
		// Whether it crashes endpoints is known in a moment.
		return nil, dispatch.PrefillPending
	}
	if chosen, reason, decided := s.placeByScheduler(j); decided {
		return chosen, reason
	}
	return s.PlaceRequest(&j.ask)
}

func (s *Server) verdict(j *job) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects.Empty() {
		return quarantine.Allow
	}
	return s.suspects.Verdict(s.options.Now(), j.fingerprint)
}

func (s *Server) arrived(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordRequest(s.options.Now(), service)
}

func codeOf(reason dispatch.RejectReason) tables.ErrorCode {
	switch reason {
	case dispatch.TooLarge:
		return tables.CodeTooLarge
	case dispatch.NoEndpoint:
		return tables.CodeNoEndpoint
	default:
		return tables.CodeOverloaded
	}
}

// mayTryAgain returns 0 if the request may go to another endpoint, and else the
// reason why not.
func (j *job) mayTryAgain(how dispatch.Outcome) tables.ErrorCode {
	_, unrun := j.state.(*outcome.Undispatched)
	if !unrun && !j.route.SafeToRetry() {
		return tables.CodeOutcomeUnknown
	}
	if how == dispatch.ConnectionRefused || how == dispatch.ConnectTimeout {
		// Nothing arrived anywhere: another endpoint adds no load.
		j.sends--
		return 0
	}
	rejected := how == dispatch.Declined || how == dispatch.Misdirected
	if !rejected && !j.hasAttempts() {
		return tables.CodeEndpointFailed
	}
	if rejected {
		j.sends--
	}
	s := j.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatch.TakeRetry(s.options.Now(), j.service.Name) {
		return tables.CodeRetryBudget
	}
	s.metrics.repeated(j)
	return 0
}
