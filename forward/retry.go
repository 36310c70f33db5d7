package forward

import (
	"slices"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// admitRetry decides whether a request whose attempt ended with the given result may be
// retried at another endpoint, and takes the retry from the service's retry budget. It
// returns 0 if the request may be retried, or else the error code for the client.
func (c *clientRequest) admitRetry(result dispatch.Outcome) tables.ErrorCode {
	_, undispatched := c.state.(*outcome.Undispatched)
	if !undispatched && !c.route.SafeToRetry() {
		return tables.CodeOutcomeUnknown
	}
	if notDelivered(result) {
		// No endpoint received the request, so the retry adds no load and takes none of the
		// budget.
		c.returnRetry()
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
	if !c.takeRetry() {
		return tables.CodeRetryBudget
	}
	s.metrics.countRetry(c)
	return 0
}

// reserveRetry takes the retry of an attempt that goes on meanwhile from the retry budget and, if
// elsewhere is set, counts it at another endpoint. It returns false if there is no retry, or no
// endpoint for it now. Any goroutine may call it.
func (c *clientRequest) reserveRetry(retry *dispatch.Request, elsewhere bool) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quarantineVerdictLocked(c) >= quarantine.Defer || !c.takeRetry() {
		return false
	}
	if !elsewhere || c.reservePlace(retry) {
		return true
	}
	c.returnRetryLocked()
	return false
}

// reservePlace counts the retry at an endpoint, and reports whether there is one. The retry must be taken
// before: a place may use up the retry budget too, and one without a retry would be held for ever. The
// caller holds the server's mu.
func (c *clientRequest) reservePlace(retry *dispatch.Request) bool {
	s := c.server
	request := *retry
	if len(c.body) > longBodyBytes {
		request.Tried = slices.Concat(request.Tried, s.unanswered.full())
	}
	c.reserved, _ = s.dispatch.Place(s.options.Now(), &request)
	return c.reserved != nil
}

// takeReserved returns the placement that was reserved for a retry. It returns nil if there is none, the
// request is quarantined by now, its stream has begun meanwhile at another version of the software, or
// the limits of the endpoint do not admit it.
func (c *clientRequest) takeReserved() *dispatch.Attempt {
	placement := c.reserved
	if placement == nil {
		return nil
	}
	c.reserved, c.admitted = nil, nil
	r := &c.dispatchRequest
	otherVersion := r.SoftwareFixed && r.Software != placement.Endpoint.Software
	if otherVersion || c.server.quarantineVerdict(c) >= quarantine.Defer {
		c.server.recordOutcome(placement, dispatch.Cancelled)
		return nil
	}
	if _, admitted := c.server.admitAtEndpoint(c, placement); !admitted {
		return nil
	}
	return placement
}

// takeRetry takes a retry from the service's retry budget, unless the request has one already. The
// caller holds the server's mu.
func (c *clientRequest) takeRetry() bool {
	if c.retryTakenAt > 0 {
		return true
	}
	now := c.now()
	if !c.server.dispatch.TakeRetry(now, c.service.Name) {
		return false
	}
	c.retryTakenAt = max(now, 1)
	return true
}

// returnRetry gives a retry that was not sent back to the retry budget and to its endpoint. No attempt
// goes on.
func (c *clientRequest) returnRetry() {
	if c.retryTakenAt == 0 {
		return
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.returnRetryLocked()
}

// returnRetryLocked is returnRetry for a caller that holds the server's mu.
func (c *clientRequest) returnRetryLocked() {
	s := c.server
	now := s.options.Now()
	s.dispatch.ReturnRetry(now, c.retryTakenAt, c.service.Name)
	c.retryTakenAt = 0
	if c.reserved != nil {
		s.dispatch.RecordOutcome(now, c.reserved, dispatch.Cancelled)
		c.reserved = nil
	}
}
