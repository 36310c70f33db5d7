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
const maxLimited = 8

// placeWithinLimits is place for endpoints that take so many requests a second from all
// instances together: what an endpoint's accountant does not admit goes to another endpoint.
func (s *Server) placeWithinLimits(j *job) (*dispatch.Attempt, dispatch.RejectReason) {
	for range maxLimited {
		chosen, reason := s.place(j)
		if chosen == nil || s.withinLimit(j, chosen) {
			return chosen, reason
		}
		j.assignment.NotifyEnded(dispatch.RateLimited)
		j.assignment = nil
		j.limited++
	}
	return nil, dispatch.NoCapacity
}

// withinLimit counts an attempt against its endpoint's limit, and says whether it is within
// it. If it is not, the attempt has ended.
func (s *Server) withinLimit(j *job, chosen *dispatch.Attempt) bool {
	limit := s.endpointLimit(chosen)
	if !limit.Limited || s.options.RateLimiter == nil {
		return true
	}
	decision := s.options.RateLimiter.Admit(j.ctx, usage.EndpointSubject(chosen.Endpoint.ID), usage.EndpointLimit(limit.PerSecond), 1)
	s.metrics.limitDecided(j, decision)
	if decision.Admitted {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordRateLimited(s.options.Now(), chosen, decision.RetryAfter)
	return false
}

func (s *Server) endpointLimit(chosen *dispatch.Attempt) dispatch.RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.RateLimit(chosen.Endpoint.ID)
}

// noteLimit takes the rate limit that an answer names, or its absence. Only the endpoint's own
// work lifts a limit: other answers may come from something else on the way. It is called with
// the server's mu held.
func (t *try) noteLimit(now tables.Instant, header http.Header) {
	s := t.job.server
	perSecond, limited := dialect.ParseRate(header.Get(s.headers.RateLimit))
	if !limited && header.Get(s.headers.Signature) == "" {
		return
	}
	limit := dispatch.RateLimit{PerSecond: perSecond, Limited: limited}
	before := s.dispatch.RecordRateLimit(now, t.chosen, limit)
	if before == limit {
		return
	}
	events.EndpointLimited.Log(s.log, zap.String("endpoint", string(t.chosen.Endpoint.ID)), zap.String("request", t.job.id),
		zap.Bool("limited", limited), zap.Float64("per_second", perSecond), zap.Float64("before", before.PerSecond))
}
