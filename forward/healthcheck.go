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
	minProbeDelay    = 100 * time.Millisecond
	probeDelayFactor = 2
	// reachPeriod is the time between two looks at an endpoint that takes none.
	probeInterval = 250 * time.Millisecond
	// maxLooks bounds them, to half a minute: after that requests look themselves.
	maxProbes = 120
)

// reach finds out which endpoints take connections, so that callers' requests need
// not. An endpoint that is gone without notice answers nothing, also no attempt to
// open a connection: each request that meets it there loses 200 ms, half of what
// callers of short prompts have, and one on an open connection loses all of it.
type healthChecker struct {
	server *Server

	mu sync.Mutex
	// looking holds the endpoints that are looked at now.
	probing map[tables.EndpointID]bool
	// answeredAt is when an endpoint last answered something.
	lastResponseAt map[tables.EndpointID]tables.Instant
	// waiting are the attempts at each endpoint that have no answer yet.
	pending map[tables.EndpointID]map[*attempt]struct{}
}

func newHealthChecker(s *Server) *healthChecker {
	return &healthChecker{
		server:         s,
		probing:        map[tables.EndpointID]bool{},
		lastResponseAt: map[tables.EndpointID]tables.Instant{},
		pending:        map[tables.EndpointID]map[*attempt]struct{}{},
	}
}

// await notes an attempt that waits for its endpoint's first answer, and has the
// endpoint looked at if none comes from there. The function that it returns ends
// that.
func (h *healthChecker) trackPending(a *attempt) (endWait func()) {
	id := a.placement.Endpoint.ID
	h.mu.Lock()
	if h.pending[id] == nil {
		h.pending[id] = map[*attempt]struct{}{}
	}
	h.pending[id][a] = struct{}{}
	h.mu.Unlock()
	delay := max(minProbeDelay, probeDelayFactor*a.placement.ExpectedLatency)
	timer := time.AfterFunc(delay, func() {
		if !h.hasResponseSince(id, h.server.options.Now()-delay) {
			h.startProbe(a.placement.Endpoint)
		}
	})
	return func() {
		timer.Stop()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.pending[id], a)
		if len(h.pending[id]) == 0 {
			delete(h.pending, id)
		}
	}
}

// answered notes that an endpoint has said something.
func (h *healthChecker) recordResponse(id tables.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastResponseAt[id] = h.server.options.Now()
}

// keep forgets endpoints that are gone.
func (h *healthChecker) prune(endpoints map[tables.EndpointID]fleet.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.lastResponseAt, func(id tables.EndpointID, _ tables.Instant) bool {
		_, listed := endpoints[id]
		return !listed
	})
}

func (h *healthChecker) hasResponseSince(id tables.EndpointID, since tables.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastResponseAt[id] >= since
}

// look opens a connection to an endpoint, and goes on until it takes one.
func (h *healthChecker) startProbe(e fleet.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probing[e.ID] {
		return
	}
	h.probing[e.ID] = true
	go func() {
		h.probeUntilReachable(e)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.probing, e.ID)
	}()
}

func (h *healthChecker) probeUntilReachable(e fleet.Endpoint) {
	ctx := h.server.options.Context
	unreachable := false
	for range maxProbes {
		err := h.server.options.Client.Reach(ctx, e.Address)
		if err == nil {
			break
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.server.recordConnectionRefused(e.ID)
		}
		if !unreachable {
			unreachable = true
			events.EndpointUnreachable.Log(h.server.log, zap.String("endpoint", string(e.ID)), zap.Error(err))
			h.server.setReachable(e.ID, false)
			h.reroutePending(e.ID)
		}
		if wait.For(ctx, probeInterval) != nil {
			return
		}
		if current, listed := h.server.Endpoints()[e.ID]; !listed || current.Address != e.Address {
			return
		}
	}
	if unreachable {
		events.EndpointReached.Log(h.server.log, zap.String("endpoint", string(e.ID)))
		h.server.setReachable(e.ID, true)
	}
}

// move takes the requests that wait at an endpoint away from it where another one
// may take them.
func (h *healthChecker) reroutePending(id tables.EndpointID) {
	h.mu.Lock()
	var attempts []*attempt
	for a := range h.pending[id] {
		attempts = append(attempts, a)
	}
	h.mu.Unlock()
	for _, a := range attempts {
		if a.request.route.SafeToRetry() && a.request.hasAttemptsLeft() && a.request.canRetry() {
			a.timedOut.Store(true)
			a.cancel()
		}
	}
}

// absent notes in the decisions that nothing listens at an endpoint's address.
func (s *Server) recordConnectionRefused(id tables.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordConnectionRefused(s.options.Now(), id)
}

// reachable notes in the decisions whether an endpoint takes connections.
func (s *Server) setReachable(id tables.EndpointID, reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.SetReachable(s.options.Now(), id, reachable)
}
