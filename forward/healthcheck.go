package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// An endpoint is probed if it has not responded at all within the longer of minProbeDelay
	// and probeDelayFactor times the expected latency of a pending attempt. Each probe costs a
	// connection.
	minProbeDelay    = 100 * time.Millisecond
	probeDelayFactor = 2
	// probeInterval is the interval between two probes of an unreachable endpoint.
	probeInterval = 250 * time.Millisecond
	// maxProbes bounds the probes to half a minute. After that, requests discover whether the
	// endpoint is reachable again.
	maxProbes = 120
)

// healthChecker is an active health checker that probes endpoints with TCP connections. A
// probe starts when an endpoint stops responding or a connection to it fails; endpoints
// that respond are not probed.
//
// Without it clients' requests would discover unreachable endpoints. An endpoint whose
// machine is down or partitioned away does not even refuse connections. Each request sent
// to it loses 200 ms, half of the latency target of short prompts, and a request on an open
// connection loses all of it.
type healthChecker struct {
	server *Server

	mu sync.Mutex
	// probing holds the endpoints that are being probed.
	probing map[tables.EndpointID]bool
	// lastResponseAt is when each endpoint last responded.
	lastResponseAt map[tables.EndpointID]tables.Instant
	// pending holds the attempts at each endpoint that have no response yet, with the placement
	// request of a retry.
	pending map[tables.EndpointID]map[*attempt]*dispatch.Request
	// watching is set while watchLinks runs.
	watching bool
}

// newHealthChecker returns a health checker that probes no endpoint yet.
func newHealthChecker(s *Server) *healthChecker {
	return &healthChecker{
		server:         s,
		probing:        map[tables.EndpointID]bool{},
		lastResponseAt: map[tables.EndpointID]tables.Instant{},
		pending:        map[tables.EndpointID]map[*attempt]*dispatch.Request{},
	}
}

// trackPending tracks an attempt that waits for its endpoint's response, and probes the
// endpoint if it does not respond to any request in time. The returned function ends the
// tracking; it may be called more than once.
func (h *healthChecker) trackPending(a *attempt) (endWait func()) {
	id := a.placement.Endpoint.ID
	retry := a.retryRequest()
	h.mu.Lock()
	if h.pending[id] == nil {
		h.pending[id] = map[*attempt]*dispatch.Request{}
	}
	h.pending[id][a] = &retry
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

// pendingAttempts returns the attempts that wait for a response.
func (h *healthChecker) pendingAttempts() []*attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []*attempt
	for _, attempts := range h.pending {
		all = slices.AppendSeq(all, maps.Keys(attempts))
	}
	return all
}

// recordResponse records that an endpoint has responded.
func (h *healthChecker) recordResponse(id tables.EndpointID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastResponseAt[id] = h.server.options.Now()
}

// prune removes the response times of endpoints that are not in the given set.
func (h *healthChecker) prune(endpoints map[tables.EndpointID]fleet.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.lastResponseAt, func(id tables.EndpointID, _ tables.Instant) bool {
		_, listed := endpoints[id]
		return !listed
	})
}

// hasResponseSince reports whether an endpoint has responded at or after the given time.
func (h *healthChecker) hasResponseSince(id tables.EndpointID, since tables.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastResponseAt[id] >= since
}

// startProbe starts to probe an endpoint in the background, until it accepts a connection.
// It does nothing if the endpoint is being probed already.
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

// probeUntilReachable probes an endpoint until it accepts a connection, is removed or has
// another address, or the probes are used up while other endpoints are reachable. An endpoint
// that fails a probe receives no requests until then.
func (h *healthChecker) probeUntilReachable(e fleet.Endpoint) {
	ctx := h.server.options.Context
	unreachable := false
	for probe := 1; ; probe++ {
		err := h.server.options.Client.CheckReachable(ctx, e.Address)
		if err == nil {
			break
		}
		if probe >= maxProbes && !h.server.LinksLost() {
			h.server.endProbes(e.ID)
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.server.recordConnectionRefused(e.ID)
		}
		if !unreachable {
			unreachable = true
			events.EndpointUnreachable.Log(h.server.log, zap.String("endpoint", string(e.ID)), zap.Error(err))
			h.server.setReachable(e.ID, false)
			h.startLinkWatch()
		}
		h.reroutePending(e.ID, errors.Is(err, syscall.ECONNREFUSED))
		if wait.For(ctx, probeInterval) != nil {
			return
		}
		if current, listed := h.server.Endpoints()[e.ID]; !listed || current.Address != e.Address {
			return
		}
	}
	if !unreachable {
		h.server.recordLinkResponse()
		return
	}
	events.EndpointReached.Log(h.server.log, zap.String("endpoint", string(e.ID)))
	h.server.setReachable(e.ID, true)
}

// reroutePending cancels the attempts that wait for a response of an endpoint, if their requests
// can be retried at another one. An endpoint that is merely slow to accept connections still sends
// its response, so a request that it has received keeps waiting while no other endpoint can take it.
//
// If the endpoint has refused a connection, only attempts that were not sent are cancelled: when a
// process ends, its host resets the open connections too. A request on one that stays open is most
// likely running, and would run twice.
func (h *healthChecker) reroutePending(id tables.EndpointID, refused bool) {
	h.mu.Lock()
	attempts := maps.Clone(h.pending[id])
	h.mu.Unlock()
	for a, retry := range attempts {
		if refused && a.sent.Load() || !a.request.route.SafeToRetry() || !a.mayRepeat {
			continue
		}
		a.giveUpPending(retry)
	}
}

const (
	// suspectedProbes and lostProbes are how many further endpoints are probed in each
	// probeInterval while all links may be lost, and while they are.
	suspectedProbes = 3
	lostProbes      = 2
)

// startLinkWatch starts watchLinks unless it runs already.
func (h *healthChecker) startLinkWatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.watching {
		return
	}
	h.watching = true
	go h.watchLinks()
}

// watchLinks finds out whether this instance has lost its links to all endpoints, and when they
// are back. Requests alone would take long to show it: each reaches one of hundreds of
// endpoints, and once the links count as lost none is sent over them. It ends when an endpoint
// responds.
func (h *healthChecker) watchLinks() {
	s, ctx := h.server, h.server.options.Context
	lostAt := tables.Instant(-1)
	for {
		suspected, lost, endpoints := s.linkProbes()
		switch {
		case lost && lostAt < 0:
			lostAt = s.options.Now()
			events.LinksLost.Log(s.log)
		case !lost && lostAt >= 0:
			events.LinksRestored.Log(s.log, zap.Duration("took", s.options.Now()-lostAt))
			lostAt = -1
		}
		if !suspected && !lost && h.endLinkWatch() {
			return
		}
		var probes sync.WaitGroup
		for _, e := range endpoints {
			probes.Go(func() { h.probeLink(ctx, e, !lost) })
		}
		if wait.For(ctx, probeInterval) != nil {
			return
		}
		probes.Wait()
	}
}

// endLinkWatch records that watchLinks ends, unless an endpoint has failed since it looked.
func (h *healthChecker) endLinkWatch() (ended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	suspected, lost, _ := h.server.linkProbes()
	h.watching = suspected || lost
	return !h.watching
}

// linkProbes returns the state of this instance's links, and the endpoints to probe next.
func (s *Server) linkProbes() (suspected, lost bool, endpoints []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.dispatch.LinksLost()
	count := suspectedProbes
	if lost {
		count = lostProbes
	}
	return s.dispatch.LinksSuspected(), lost, s.dispatch.LinkProbes(count)
}

// probeLink connects to an endpoint once. If it fails and repeat is set, the endpoint is probed
// until it accepts a connection.
func (h *healthChecker) probeLink(ctx context.Context, e fleet.Endpoint, repeat bool) {
	err := h.server.options.Client.CheckReachable(ctx, e.Address)
	switch {
	case err == nil:
		h.server.recordLinkResponse()
	case repeat && ctx.Err() == nil:
		h.startProbe(e)
	}
}

// recordLinkResponse records with the load balancer that an endpoint has accepted a connection.
func (s *Server) recordLinkResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordLinkResponse()
}

// recordConnectionRefused records with the load balancer that an endpoint's address refused
// a connection, so no process listens there.
func (s *Server) recordConnectionRefused(id tables.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordConnectionRefused(s.options.Now(), id)
}

// endProbes records with the load balancer that an endpoint is no longer probed.
func (s *Server) endProbes(id tables.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.EndProbes(s.options.Now(), id)
}

// setReachable records with the load balancer whether an endpoint accepts connections.
func (s *Server) setReachable(id tables.EndpointID, reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.SetReachable(s.options.Now(), id, reachable)
}
