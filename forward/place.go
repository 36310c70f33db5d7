package forward

import (
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// placementRetryInterval is the interval between placement attempts while no endpoint is
	// available.
	placementRetryInterval = 10 * time.Millisecond
	// maxWaitTargetDivisor divides the latency target into the time that a request waits while
	// all endpoints are at capacity. A client that is rejected within this time loses little
	// by a retry. One that waits longer would have been served sooner by an early rejection.
	maxWaitTargetDivisor = 8
	// retryMaxWaitTargetDivisor is the same for retries. They wait longer, since another
	// endpoint is likely to be available within a short time.
	retryMaxWaitTargetDivisor = 3
	// prefillWaitTargets bounds, as a multiple of the latency target, how long a request waits
	// for another request to compute a shared part of its prompt. It waits only where that
	// costs less than to compute the part itself.
	prefillWaitTargets = 1.5
)

// awaitPlacement places the next attempt, and waits for a bounded time if no endpoint is
// available. If it fails it returns nil and the error code for the client.
func (c *clientRequest) awaitPlacement() (*dispatch.Attempt, tables.ErrorCode) {
	s := c.server
	waitUntil := s.options.Now() + c.maxPlacementWait()
	for {
		if left, pushedBack := s.pushedBack(c); pushedBack && s.options.Now()+left.Request > waitUntil {
			c.retryAfter = left.Service
			return nil, tables.CodeOverloaded
		}
		placement, reason := s.placeWithinLimits(c)
		if placement != nil {
			return placement, 0
		}
		code := rejectCode(reason)
		if reason == "" {
			return nil, c.quarantineCode()
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

// maxPlacementWait returns how long the request may wait for an endpoint. After the first time that
// no other instance could relay it, it waits for the end of that backoff, which is shorter than any
// time after which its client could retry.
func (c *clientRequest) maxPlacementWait() time.Duration {
	wait := c.latencyTarget() / maxWaitTargetDivisor
	if c.attemptsUsed > 0 || len(c.dispatchRequest.Tried) > 0 {
		wait = c.latencyTarget() / retryMaxWaitTargetDivisor
	}
	if c.relayFailures == 1 {
		wait = max(wait, dispatch.RelayBackoff+placementRetryInterval)
	}
	return wait
}

// pushedBack returns for how long no endpoint accepts the request from this instance, if that
// is because endpoints have pushed it back.
func (s *Server) pushedBack(c *clientRequest) (dispatch.PushedBack, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.PushedBack(s.options.Now(), &c.dispatchRequest)
}

// placeOnce places the next attempt through a scheduler or, if none decides, locally. An
// empty reason means that the request is quarantined because it crashes endpoints.
func (s *Server) placeOnce(c *clientRequest) (*dispatch.Attempt, dispatch.RejectReason) {
	switch s.quarantineVerdict(c) {
	case quarantine.Reject:
		return nil, ""
	case quarantine.Defer:
		// The verdict is pending. The request waits as it does for a pending prefill, without the
		// limit of its maximum wait.
		return nil, dispatch.PrefillPending
	}
	return s.placeAvoidingFull(c)
}

// recordRequest counts a client's request towards the service's retry budget.
func (s *Server) recordRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordRequest(s.options.Now(), service)
}

// rejectCode maps a failed placement to the error code for the client.
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
