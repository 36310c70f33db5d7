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
	placementRetryInterval = 10 * time.Millisecond
	// patiencePart is the part of the target for which a request is held when
	// nothing has room. A caller that is refused within it loses next to nothing
	// by coming back; one that is held longer would have been better off told.
	maxWaitTargetDivisor = 8
	// againPart is the same for a request that an endpoint has declined: its
	// other endpoints are only a moment away.
	retryMaxWaitTargetDivisor = 3
	// holdTargets bounds, in targets, how long a request may wait for a part of its
	// prompt that another one is reading, where that is the lesser loss.
	prefillWaitTargets = 1.5
)

// place finds an endpoint, waiting a moment for room.
func (c *clientRequest) awaitPlacement() (*dispatch.Attempt, tables.ErrorCode) {
	s := c.server
	maxWait := c.latencyTarget() / maxWaitTargetDivisor
	if c.attemptsUsed > 0 || len(c.dispatchRequest.Tried) > 0 {
		maxWait = c.latencyTarget() / retryMaxWaitTargetDivisor
	}
	waitUntil := s.options.Now() + maxWait
	for {
		placement, reason := s.placeWithinLimits(c)
		if placement != nil {
			return placement, 0
		}
		code := rejectCode(reason)
		if reason == "" {
			return nil, tables.CodeQuarantined
		}
		permanent := reason == dispatch.TooLarge || reason == dispatch.DeadlineTooSoon
		if permanent || reason != dispatch.PrefillPending && s.options.Now() >= waitUntil {
			return nil, code
		}
		select {
		case <-c.ctx.Done():
			return nil, code
		case <-time.After(placementRetryInterval):
		}
	}
}

// place asks the decisions; the empty reason means that the request is
// suspected of crashing endpoints.
func (s *Server) placeOnce(c *clientRequest) (*dispatch.Attempt, dispatch.RejectReason) {
	switch s.quarantineVerdict(c) {
	case quarantine.Reject:
		return nil, ""
	case quarantine.Defer:
		// Whether it crashes endpoints is known in a moment.
		return nil, dispatch.PrefillPending
	}
	if placement, reason, decided := s.placeByScheduler(c); decided {
		return placement, reason
	}
	return s.PlaceRequest(&c.dispatchRequest)
}

func (s *Server) quarantineVerdict(c *clientRequest) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashDetector.Empty() {
		return quarantine.Allow
	}
	return s.crashDetector.Verdict(s.options.Now(), c.fingerprint)
}

func (s *Server) recordRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordRequest(s.options.Now(), service)
}

func rejectCode(reason dispatch.RejectReason) tables.ErrorCode {
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
func (c *clientRequest) admitRetry(result dispatch.Outcome) tables.ErrorCode {
	_, undispatched := c.state.(*outcome.Undispatched)
	if !undispatched && !c.route.SafeToRetry() {
		return tables.CodeOutcomeUnknown
	}
	if result == dispatch.ConnectionRefused || result == dispatch.ConnectTimeout {
		// Nothing arrived anywhere: another endpoint adds no load.
		c.attemptsUsed--
		return 0
	}
	declined := result == dispatch.Declined || result == dispatch.Misdirected
	if !declined && !c.hasAttemptsLeft() {
		return tables.CodeEndpointFailed
	}
	if declined {
		c.attemptsUsed--
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatch.TakeRetry(s.options.Now(), c.service.Name) {
		return tables.CodeRetryBudget
	}
	s.metrics.countRetry(c)
	return 0
}
