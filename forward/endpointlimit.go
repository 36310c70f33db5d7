package forward

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// maxRateLimitedPlacements bounds the placements at rate-limited endpoints in one call of
// placeWithinLimits. Each refusal excludes the endpoint from placements until its limit
// admits requests again.
const maxRateLimitedPlacements = 8

// placeWithinLimits places the next attempt within the rate limits that endpoints set for
// all instances together. If the owner of an endpoint's token bucket does not admit the
// attempt, it places the attempt at another endpoint.
func (s *Server) placeWithinLimits(c *clientRequest) (*dispatch.Attempt, dispatch.RejectReason) {
	for range maxRateLimitedPlacements {
		placement, reason := s.placeOnce(c)
		if placement == nil {
			return nil, reason
		}
		refusal, admitted := s.admitAtEndpoint(c, placement)
		if admitted {
			return placement, ""
		}
		c.assignment.NotifyEnded(refusal)
		c.assignment = nil
		c.rateLimitedPlacements++
	}
	return nil, dispatch.NoCapacity
}

// admitAtEndpoint counts an attempt against its endpoint's rate limit, and reports whether
// the limit admits it. If not, the attempt has ended with the returned outcome.
func (s *Server) admitAtEndpoint(c *clientRequest, placement *dispatch.Attempt) (refusal dispatch.Outcome, admitted bool) {
	if !s.acquirePermit(c, placement) {
		return dispatch.RateLimited, false
	}
	limit := s.endpointLimit(placement)
	if !limit.Limited || s.options.RateLimiter == nil {
		return 0, true
	}
	decision := s.options.RateLimiter.Admit(c.ctx, usage.EndpointSubject(placement.Endpoint.ID), usage.EndpointLimit(limit.PerSecond), 1)
	s.metrics.countLimitDecision(c, decision)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !decision.Admitted {
		c.releasePermit()
		s.dispatch.RecordRateLimited(s.options.Now(), placement, decision.RetryAfter)
		return dispatch.RateLimited, false
	}
	// The endpoint may have pushed back another request while the limiter decided.
	if !s.dispatch.AcceptsAttempt(s.options.Now(), placement) {
		c.releasePermit()
		s.dispatch.RecordOutcome(s.options.Now(), placement, dispatch.Cancelled)
		return dispatch.Cancelled, false
	}
	return 0, true
}

// endpointLimit returns the known rate limit of the attempt's endpoint.
func (s *Server) endpointLimit(placement *dispatch.Attempt) dispatch.RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.RateLimit(placement.Endpoint.ID)
}

// recordRateLimit records the rate limit in a response header, or its absence. Only a
// response with the signature of the endpoint's application lifts a limit, since any other
// may come from an intermediary. The caller holds the server's mu.
func (a *attempt) recordRateLimit(now tables.Instant, header http.Header) {
	s := a.request.server
	perSecond, limited := dialect.ParseRateLimit(header.Get(s.headers.RateLimit))
	if !limited && header.Get(s.headers.Signature) == "" {
		return
	}
	limit := dispatch.RateLimit{PerSecond: perSecond, Limited: limited}
	before := s.dispatch.RecordRateLimit(now, a.placement, limit)
	if before == limit {
		return
	}
	events.EndpointLimited.Log(s.log, zap.String("endpoint", string(a.placement.Endpoint.ID)), zap.String("request", a.request.id),
		zap.Bool("limited", limited), zap.Float64("per_second", perSecond), zap.Float64("before", before.PerSecond))
}
