package schedule

import (
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Placer chooses endpoints and counts the attempts there. It is safe for concurrent use.
type Placer interface {
	// Service returns the service of that name in the current configuration, or nil if there
	// is none.
	Service(name string) *routes.Service
	// PlaceRequest chooses an endpoint and counts an attempt there. If no endpoint is
	// available, the attempt is nil and the reason says why.
	PlaceRequest(r *dispatch.Request) (*dispatch.Attempt, dispatch.RejectReason)
	// AttemptStarted notes that the endpoint has started to process the attempt.
	AttemptStarted(a *dispatch.Attempt)
	// AttemptSlowdownReported records the slowdown in percent, 100 as usual, that the endpoint
	// named in its response to the attempt. Values that are not valid are ignored.
	AttemptSlowdownReported(a *dispatch.Attempt, percent int)
	// AttemptEnded stops counting the attempt.
	AttemptEnded(a *dispatch.Attempt, how dispatch.Outcome)
}

const (
	// sweepInterval is the interval between two sweeps for expired attempts. An attempt
	// expires expiryGrace after its caller's deadline unless its end was reported.
	sweepInterval = 500 * time.Millisecond
	expiryGrace   = 500 * time.Millisecond
)

// attemptKey identifies an attempt by the instance that asked and the number of its
// question.
type attemptKey struct {
	instance tables.InstanceID
	number   uint64
}

// remoteAttempt is an attempt that this instance has placed for another one.
type remoteAttempt struct {
	attempt   *dispatch.Attempt
	expiresAt tables.Instant
}

// Server chooses endpoints for other instances and tracks their attempts. It is safe for
// concurrent use.
type Server struct {
	placer Placer
	now    func() tables.Instant

	mu       sync.Mutex
	attempts map[attemptKey]remoteAttempt
	sweptAt  tables.Instant
}

// NewServer returns a server; now reads a monotonic clock.
func NewServer(placer Placer, now func() tables.Instant) *Server {
	return &Server{placer: placer, now: now, attempts: map[attemptKey]remoteAttempt{}}
}

// Choose chooses an endpoint for an attempt of another instance. A question that arrives
// twice gets the same choice and counts once. An empty answer means that this instance is
// not ready: it does not know the service.
func (s *Server) Choose(by tables.InstanceID, number uint64, q *rpc.ScheduleQuestion) *rpc.ScheduleAnswer {
	key, now := attemptKey{instance: by, number: number}, s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if tracked, repeated := s.attempts[key]; repeated {
		return encodeDecision(tracked.attempt.Decision(now))
	}
	service := s.placer.Service(q.GetService())
	if service == nil {
		return &rpc.ScheduleAnswer{}
	}
	r := decodeQuestion(now, q, service)
	attempt, reason := s.placer.PlaceRequest(r)
	if attempt == nil {
		return &rpc.ScheduleAnswer{Ready: true, Reason: string(reason), WaitMs: toMilliseconds(r.SaturatedFor)}
	}
	s.attempts[key] = remoteAttempt{attempt: attempt, expiresAt: r.Deadline + expiryGrace}
	return encodeDecision(attempt.Decision(now))
}

// HandleProgress updates an attempt of another instance. Unknown attempts are ignored.
func (s *Server) HandleProgress(by tables.InstanceID, number uint64, p *rpc.AttemptProgress) {
	key := attemptKey{instance: by, number: number}
	s.mu.Lock()
	defer s.mu.Unlock()
	tracked, found := s.attempts[key]
	if !found {
		return
	}
	// The slowdown comes first, since it corrects the sample of the latency. The other values
	// of the load are not used: endpoints without a slowdown report nothing here, and the
	// estimate of unreported requests must not depend on whether one is named.
	if load := p.GetLoad(); load != nil {
		s.placer.AttemptSlowdownReported(tracked.attempt, int(load.GetSlowdownPercent()))
	}
	if p.GetBegan() {
		s.placer.AttemptStarted(tracked.attempt)
	}
	if p.GetEnded() {
		delete(s.attempts, key)
		s.placer.AttemptEnded(tracked.attempt, dispatch.DecodeOutcome(p.GetEnd()))
	}
}

// EndAttemptsOf ends the attempts of instances whose processes have ended: the endpoints have
// cancelled them, and nobody reports their end.
func (s *Server) EndAttemptsOf(hasEnded func(tables.InstanceID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, tracked := range s.attempts {
		if hasEnded(key.instance) {
			delete(s.attempts, key)
			s.placer.AttemptEnded(tracked.attempt, dispatch.Cancelled)
		}
	}
}

// ExpireAttempts ends attempts whose end was not reported in time, because the message was
// lost or the asking instance is gone. It must be called regularly even if no instance asks
// any more: attempts that stay counted would keep other instances away from free endpoints.
func (s *Server) ExpireAttempts() {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.sweptAt < sweepInterval {
		return
	}
	s.sweptAt = now
	for key, tracked := range s.attempts {
		if now >= tracked.expiresAt {
			delete(s.attempts, key)
			s.placer.AttemptEnded(tracked.attempt, dispatch.Cancelled)
		}
	}
}
