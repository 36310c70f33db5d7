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
const scheduleTries = 2

// placeByScheduler has a scheduler choose for a generation. It says whether that
// decided about the request.
func (s *Server) placeByScheduler(j *job) (chosen *dispatch.Attempt, reason dispatch.RejectReason, decided bool) {
	if s.options.Scheduler == nil || j.ask.Model == "" {
		return nil, "", false
	}
	ask := j.ask
	ask.ConfirmedOnly = ask.DeliveredAttempts > 0 && !s.mayStray()
	for range scheduleTries {
		assignment := s.options.Scheduler.Ask(j.ctx, &ask)
		if assignment == nil {
			return nil, "", false
		}
		j.ask.MarkDemandCounted()
		if assignment.Reason != "" {
			return nil, assignment.Reason, true
		}
		if chosen = s.adopt(&ask, assignment.Choice); chosen != nil {
			j.assignment = assignment
			return chosen, "", true
		}
		assignment.NotifyEnded(dispatch.Cancelled)
		ask.Tried = append(slices.Clone(ask.Tried), assignment.Choice.Endpoint)
	}
	return nil, "", false
}

// mayStray says whether a repeat may be sent to an endpoint that may be gone from its
// address.
func (s *Server) mayStray() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.CanRetryUnconfirmed(s.options.Now())
}

func (s *Server) adopt(r *dispatch.Request, chosen dispatch.Decision) *dispatch.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.AcceptDecision(s.options.Now(), r, chosen)
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
func (s *Server) AttemptEnded(a *dispatch.Attempt, how dispatch.Outcome) {
	s.endedFor(a, how)
	if how == dispatch.ConnectionRefused || how == dispatch.ConnectTimeout {
		s.reach.look(a.Endpoint)
	}
}

func (s *Server) endedFor(a *dispatch.Attempt, how dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordOutcome(s.options.Now(), a, how)
}

// SetSchedulerCounts notes how many other instances choose endpoints, and how many of zones that
// receive choices later.
func (s *Server) SetSchedulerCounts(near, remote int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.SetSchedulerCounts(near, remote)
}

// ApplyCacheEvent takes an endpoint's word that another instance has read, and says whether
// it changed what is believed here.
func (s *Server) ApplyCacheEvent(p dispatch.CacheUpdate) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.ApplyCacheEvent(s.options.Now(), p)
}
