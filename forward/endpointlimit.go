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

// maxLimited bounds how many endpoints whose limits leave no room are met in one look for
// an endpoint. Each look closes those that it met.
const maxRateLimitedPlacements = 8

// placeWithinLimits is place for endpoints that take so many requests a second from all
// instances together: what an endpoint's accountant does not admit goes to another endpoint.
func (s *Server) placeWithinLimits(c *clientRequest) (*dispatch.Attempt, dispatch.RejectReason) {
	for range maxRateLimitedPlacements {
		placement, reason := s.placeOnce(c)
		if placement == nil || s.admitAtEndpoint(c, placement) {
			return placement, reason
		}
		c.assignment.NotifyEnded(dispatch.RateLimited)
		c.assignment = nil
		c.rateLimitedPlacements++
	}
	return nil, dispatch.NoCapacity
}

// withinLimit counts an attempt against its endpoint's limit, and says whether it is within
// it. If it is not, the attempt has ended.
func (s *Server) admitAtEndpoint(c *clientRequest, placement *dispatch.Attempt) bool {
	limit := s.endpointLimit(placement)
	if !limit.Limited || s.options.RateLimiter == nil {
		return true
	}
	decision := s.options.RateLimiter.Admit(c.ctx, usage.EndpointSubject(placement.Endpoint.ID), usage.EndpointLimit(limit.PerSecond), 1)
	s.metrics.countLimitDecision(c, decision)
	if decision.Admitted {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordRateLimited(s.options.Now(), placement, decision.RetryAfter)
	return false
}

func (s *Server) endpointLimit(placement *dispatch.Attempt) dispatch.RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.RateLimit(placement.Endpoint.ID)
}

// noteLimit takes the rate limit that an answer names, or its absence. Only the endpoint's own
// work lifts a limit: other answers may come from something else on the way. It is called with
// the server's mu held.
func (a *attempt) recordRateLimit(now tables.Instant, header http.Header) {
	s := a.request.server
	perSecond, limited := dialect.ParseRate(header.Get(s.headers.RateLimit))
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
