package forward

import (
	"errors"
	"maps"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// minSilence is the least time without an answer from an endpoint after which it
	// is looked at whether it takes connections, and silenceFactor how many times
	// longer than expected a request must be silent. Looking costs a connection.
	minSilence    = 100 * time.Millisecond
	silenceFactor = 2
	// reachPeriod is the time between two looks at an endpoint that takes none.
	reachPeriod = 250 * time.Millisecond
	// maxLooks bounds them, to half a minute: after that requests look themselves.
	maxLooks = 120
)

// reach finds out which endpoints take connections, so that callers' requests need
// not. An endpoint that is gone without notice answers nothing, also no attempt to
// open a connection: each request that meets it there loses 200 ms, half of what
// callers of short prompts have, and one on an open connection loses all of it.
type reach struct {
	server *Server

	mu sync.Mutex
	// looking holds the endpoints that are looked at now.
	looking map[tables.EndpointID]bool
	// answeredAt is when an endpoint last answered something.
	answeredAt map[tables.EndpointID]tables.Instant
	// waiting are the attempts at each endpoint that have no answer yet.
	waiting map[tables.EndpointID]map[*try]struct{}
}

func newReach(s *Server) *reach {
	return &reach{
		server:     s,
		looking:    map[tables.EndpointID]bool{},
		answeredAt: map[tables.EndpointID]tables.Instant{},
		waiting:    map[tables.EndpointID]map[*try]struct{}{},
	}
}

// await notes an attempt that waits for its endpoint's first answer, and has the
// endpoint looked at if none comes from there. The function that it returns ends
// that.
func (r *reach) await(t *try) (answered func()) {
	id := t.chosen.Endpoint.ID
	r.mu.Lock()
	if r.waiting[id] == nil {
		r.waiting[id] = map[*try]struct{}{}
	}
	r.waiting[id][t] = struct{}{}
	r.mu.Unlock()
	silence := max(minSilence, silenceFactor*t.chosen.ExpectedLatency)
	timer := time.AfterFunc(silence, func() {
		if !r.answeredSince(id, r.server.options.Now()-silence) {
			r.look(t.chosen.Endpoint)
		}
	})
	return func() {
		timer.Stop()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waiting[id], t)
		if len(r.waiting[id]) == 0 {
			delete(r.waiting, id)
		}
	}
}

// answered notes that an endpoint has said something.
func (r *reach) answered(id tables.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt[id] = r.server.options.Now()
}

// keep forgets endpoints that are gone.
func (r *reach) keep(endpoints map[tables.EndpointID]fleet.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.answeredAt, func(id tables.EndpointID, _ tables.Instant) bool {
		_, listed := endpoints[id]
		return !listed
	})
}

func (r *reach) answeredSince(id tables.EndpointID, at tables.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredAt[id] >= at
}

// look opens a connection to an endpoint, and goes on until it takes one.
func (r *reach) look(e fleet.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.looking[e.ID] {
		return
	}
	r.looking[e.ID] = true
	go func() {
		r.lookUntilTaken(e)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.looking, e.ID)
	}()
}

func (r *reach) lookUntilTaken(e fleet.Endpoint) {
	life := r.server.options.Context
	lost := false
	for range maxLooks {
		err := r.server.options.Client.Reach(life, e.Address)
		if err == nil {
			break
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.server.absent(e.ID)
		}
		if !lost {
			lost = true
			events.EndpointUnreachable.Log(r.server.log, zap.String("endpoint", string(e.ID)), zap.Error(err))
			r.server.reachable(e.ID, false)
			r.move(e.ID)
		}
		if wait.For(life, reachPeriod) != nil {
			return
		}
		if now, listed := r.server.Endpoints()[e.ID]; !listed || now.Address != e.Address {
			return
		}
	}
	if lost {
		events.EndpointReached.Log(r.server.log, zap.String("endpoint", string(e.ID)))
		r.server.reachable(e.ID, true)
	}
}

// move takes the requests that wait at an endpoint away from it where another one
// may take them.
func (r *reach) move(id tables.EndpointID) {
	r.mu.Lock()
	var moving []*try
	for t := range r.waiting[id] {
		moving = append(moving, t)
	}
	r.mu.Unlock()
	for _, t := range moving {
		if t.job.route.SafeToRetry() && t.job.hasAttempts() && t.job.canMove() {
			t.hung.Store(true)
			t.cancel()
		}
	}
}

// absent notes in the decisions that nothing listens at an endpoint's address.
func (s *Server) absent(id tables.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordConnectionRefused(s.options.Now(), id)
}

// reachable notes in the decisions whether an endpoint takes connections.
func (s *Server) reachable(id tables.EndpointID, taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.SetReachable(s.options.Now(), id, taken)
}
