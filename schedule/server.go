package schedule

import (
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Placer chooses endpoints. It is safe for concurrent use.
type Placer interface {
	// Service returns a service of the configuration in force, nil if there is none
	// of that name.
	Service(name string) *routes.Service
	PlaceRequest(r *dispatch.Request) (*dispatch.Attempt, dispatch.RejectReason)
	AttemptStarted(a *dispatch.Attempt)
	AttemptEnded(a *dispatch.Attempt, how dispatch.Outcome)
}

const (
	// sweepInterval is the time between two looks for attempts whose end was not reported,
	// and endMargin how long after its caller's deadline one counts as ended.
	sweepInterval = 500 * time.Millisecond
	expiryGrace   = 500 * time.Millisecond
)

// attemptKey names an attempt of an instance that asked.
type attemptKey struct {
	instance tables.InstanceID
	number   uint64
}

// remoteAttempt is an attempt that this instance has chosen for another.
type remoteAttempt struct {
	attempt   *dispatch.Attempt
	expiresAt tables.Instant
}

// Server chooses for other instances. It is safe for concurrent use.
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

// Choose chooses an endpoint for an attempt of another instance.
func (s *Server) Choose(by tables.InstanceID, number uint64, q *rpc.ScheduleQuestion) *rpc.ScheduleAnswer {
	key, now := attemptKey{instance: by, number: number}, s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, repeated := s.attempts[key]; repeated {
		return encodeChoice(known.attempt.Decision(now))
	}
	service := s.placer.Service(q.GetService())
	if service == nil {
		return &rpc.ScheduleAnswer{}
	}
	r := decodeQuestion(now, q, service)
	chosen, reason := s.placer.PlaceRequest(r)
	if chosen == nil {
		return &rpc.ScheduleAnswer{Ready: true, Reason: string(reason)}
	}
	s.attempts[key] = remoteAttempt{attempt: chosen, expiresAt: r.Deadline + expiryGrace}
	return encodeChoice(chosen.Decision(now))
}

// HandleProgress takes how an attempt of another instance goes on.
func (s *Server) HandleProgress(by tables.InstanceID, number uint64, p *rpc.AttemptProgress) {
	key := attemptKey{instance: by, number: number}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.attempts[key]
	if !found {
		return
	}
	if p.GetBegan() {
		s.placer.AttemptStarted(known.attempt)
	}
	if p.GetEnded() {
		delete(s.attempts, key)
		s.placer.AttemptEnded(known.attempt, dispatch.DecodeOutcome(p.GetEnd()))
	}
}

// ExpireAttempts ends attempts whose end was not reported in time: the message was lost, or its
// instance is gone. It is called all the while, also by an instance that nobody asks any
// more: what it goes on counting would keep others away from endpoints that are free.
func (s *Server) ExpireAttempts() {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.sweptAt < sweepInterval {
		return
	}
	s.sweptAt = now
	for key, one := range s.attempts {
		if now >= one.expiresAt {
			delete(s.attempts, key)
			s.placer.AttemptEnded(one.attempt, dispatch.Cancelled)
		}
	}
}
