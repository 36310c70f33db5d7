package forward

import (
	"context"
	"slices"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/tables"
)

// Scheduler delegates placements to other instances, the schedulers.
type Scheduler interface {
	// Ask returns a scheduler's decision about the next attempt of a request, or nil if this
	// instance has to place the attempt itself.
	Ask(ctx context.Context, r *dispatch.Request) *schedule.Assignment
}

// maxScheduleAttempts bounds the requests to schedulers for one placement. A scheduler may
// choose an endpoint that this instance knows must not receive the request.
const maxScheduleAttempts = 2

// placeByScheduler has a scheduler place the next attempt of a generation. If done is
// false, this instance has to place the attempt itself.
func (s *Server) placeByScheduler(c *clientRequest) (placement *dispatch.Attempt, reason dispatch.RejectReason, done bool) {
	if s.options.Scheduler == nil || c.dispatchRequest.Model == "" {
		return nil, "", false
	}
	request := c.dispatchRequest
	request.Avoided = s.avoidedEndpoints(c.service.Name)
	request.ConfirmedOnly = request.DeliveredAttempts > 0 && !s.canRetryUnconfirmed()
	for range maxScheduleAttempts {
		assignment := s.options.Scheduler.Ask(c.ctx, &request)
		if assignment == nil {
			return nil, "", false
		}
		c.dispatchRequest.MarkDemandCounted()
		if assignment.Reason != "" {
			c.dispatchRequest.SaturatedFor = assignment.Wait
			// Among the endpoints that the scheduler had to avoid may be some that this
			// instance can use after all, through another instance.
			return nil, assignment.Reason, assignment.Reason != dispatch.NoEndpoint || !s.mayRelay()
		}
		if placement = s.acceptDecision(&request, assignment.Choice); placement != nil {
			c.assignment = assignment
			return placement, "", true
		}
		assignment.NotifyEnded(dispatch.Cancelled)
		request.Tried = append(slices.Clone(request.Tried), assignment.Choice.Endpoint)
	}
	return nil, "", false
}

// avoidedEndpoints returns the endpoints of a service that this instance cannot use, as far as a
// question to a scheduler may name them.
func (s *Server) avoidedEndpoints(service string) []tables.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.UnusableEndpoints(s.options.Now(), service, dispatch.MaxAvoidedEndpoints)
}

// mayRelay reports whether other instances may relay attempts now.
func (s *Server) mayRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.MayRelay(s.options.Now())
}

// canRetryUnconfirmed reports whether a retry may be sent to an endpoint whose address may
// belong to another process by now.
func (s *Server) canRetryUnconfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.CanRetryUnconfirmed(s.options.Now())
}

// acceptDecision counts an attempt that a scheduler has placed. It returns nil if this
// instance knows that the endpoint must not receive the request.
func (s *Server) acceptDecision(r *dispatch.Request, decision dispatch.Decision) *dispatch.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.AcceptDecision(s.options.Now(), r, decision)
}

// The methods below place requests of other instances. They implement schedule.Placer.

// Service returns the service of that name in the current configuration, or nil if there is
// none.
func (s *Server) Service(name string) *routes.Service {
	if table := s.routes.Load(); table != nil {
		return table.ServiceByName(name)
	}
	return nil
}

// PlaceRequest chooses an endpoint and counts an attempt there. If no endpoint is
// available, the attempt is nil and the reason says why.
func (s *Server) PlaceRequest(r *dispatch.Request) (*dispatch.Attempt, dispatch.RejectReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.Place(s.options.Now(), r)
}

// AttemptStarted records that the endpoint has started to process the attempt.
func (s *Server) AttemptStarted(a *dispatch.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordResponseStart(s.options.Now(), a)
}

// AttemptEnded records the end of an attempt. If the attempt could not connect to its
// endpoint, this instance probes the endpoint over its own link, since it continues to place
// requests of other instances.
func (s *Server) AttemptEnded(a *dispatch.Attempt, result dispatch.Outcome) {
	s.recordOutcome(a, result)
	if result == dispatch.ConnectionRefused || result == dispatch.ConnectTimeout {
		s.healthChecker.startProbe(a.Endpoint)
	}
}

// recordOutcome records the end of an attempt with the load balancer.
func (s *Server) recordOutcome(a *dispatch.Attempt, result dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordOutcome(s.options.Now(), a, result)
}

// SetSchedulerCounts sets how many other instances place requests concurrently: direct
// counts those that receive cache updates directly, remote those of other zones, which
// receive them later.
func (s *Server) SetSchedulerCounts(direct, remote int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.SetSchedulerCounts(direct, remote)
}

// ApplyCacheEvent applies an engine's cache event that another instance has received, and
// reports whether it changed the directory of cached parts.
func (s *Server) ApplyCacheEvent(event dispatch.CacheUpdate) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.ApplyCacheEvent(s.options.Now(), event)
}
