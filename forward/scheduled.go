package forward

import (
	"context"
	"slices"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/schedule"
)

// Scheduler has other instances choose endpoints. Ask returns nil if this instance
// has to choose locally.
type Scheduler interface {
	Ask(ctx context.Context, r *dispatch.Request) *schedule.Assignment
}

// scheduleTries is how often a scheduler is asked for one choice: it may choose an
// endpoint of which this instance knows that it must not get the request.
const maxScheduleAttempts = 2

// placeByScheduler has a scheduler choose for a generation. It says whether that
// decided about the request.
func (s *Server) placeByScheduler(c *clientRequest) (placement *dispatch.Attempt, reason dispatch.RejectReason, done bool) {
	if s.options.Scheduler == nil || c.dispatchRequest.Model == "" {
		return nil, "", false
	}
	request := c.dispatchRequest
	request.ConfirmedOnly = request.DeliveredAttempts > 0 && !s.canRetryUnconfirmed()
	for range maxScheduleAttempts {
		assignment := s.options.Scheduler.Ask(c.ctx, &request)
		if assignment == nil {
			return nil, "", false
		}
		c.dispatchRequest.MarkDemandCounted()
		if assignment.Reason != "" {
			return nil, assignment.Reason, true
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

// mayStray says whether a repeat may be sent to an endpoint that may be gone from its
// address.
func (s *Server) canRetryUnconfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.CanRetryUnconfirmed(s.options.Now())
}

func (s *Server) acceptDecision(r *dispatch.Request, decision dispatch.Decision) *dispatch.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.AcceptDecision(s.options.Now(), r, decision)
}

// The methods below choose for other instances. They make Server a schedule.Placer.

// Service returns a service of the configuration in force, nil if there is none of
// that name.
func (s *Server) Service(name string) *routes.Service {
	if table := s.routes.Load(); table != nil {
		return table.ServiceByName(name)
	}
	return nil
}

// PlaceRequest chooses an endpoint and counts the attempt there. It returns nil and the
// reason if there is none now.
func (s *Server) PlaceRequest(r *dispatch.Request) (*dispatch.Attempt, dispatch.RejectReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.Place(s.options.Now(), r)
}

// AttemptStarted notes that an attempt's endpoint works on the request.
func (s *Server) AttemptStarted(a *dispatch.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordResponseStart(s.options.Now(), a)
}

// AttemptEnded notes the end of an attempt. An endpoint that the attempt could not reach is
// looked after here too: this instance goes on choosing for others.
func (s *Server) AttemptEnded(a *dispatch.Attempt, result dispatch.Outcome) {
	s.recordOutcome(a, result)
	if result == dispatch.ConnectionRefused || result == dispatch.ConnectTimeout {
		s.healthChecker.startProbe(a.Endpoint)
	}
}

func (s *Server) recordOutcome(a *dispatch.Attempt, result dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordOutcome(s.options.Now(), a, result)
}

// SetSchedulerCounts notes how many other instances choose endpoints, and how many of zones that
// receive choices later.
func (s *Server) SetSchedulerCounts(direct, remote int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.SetSchedulerCounts(direct, remote)
}

// ApplyCacheEvent takes an endpoint's word that another instance has read, and says whether
// it changed what is believed here.
func (s *Server) ApplyCacheEvent(event dispatch.CacheUpdate) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.ApplyCacheEvent(s.options.Now(), event)
}
