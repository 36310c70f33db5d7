package forward

import (
	"slices"
	"sync"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// longBodyBytes is the size above which a request body counts as long, and
	// maxUnansweredBytes the bytes of unanswered bodies at an endpoint above which it gets no
	// more long ones. An endpoint crashes if the requests that it holds exceed its memory.
	longBodyBytes      = 64 << 10
	maxUnansweredBytes = 16 << 20
)

// unansweredBodies counts, by endpoint, the bytes of request bodies in attempts that the endpoint
// has not answered completely. It is safe for concurrent use.
type unansweredBodies struct {
	mu    sync.Mutex
	bytes map[tables.EndpointID]int64
	// reported holds the endpoints that have a gauge.
	reported map[tables.EndpointID]struct{}
}

// add counts a body of so many bytes and returns the function that ends the count, which may be
// called more than once.
func (u *unansweredBodies) add(id tables.EndpointID, bytes int) (remove func()) {
	if bytes == 0 {
		return func() {}
	}
	u.change(id, int64(bytes))
	return sync.OnceFunc(func() { u.change(id, -int64(bytes)) })
}

func (u *unansweredBodies) change(id tables.EndpointID, bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.bytes == nil {
		u.bytes = map[tables.EndpointID]int64{}
	}
	if u.bytes[id] += bytes; u.bytes[id] == 0 {
		delete(u.bytes, id)
	}
}

// full returns the endpoints that get no more long bodies.
func (u *unansweredBodies) full() []tables.EndpointID {
	u.mu.Lock()
	defer u.mu.Unlock()
	var all []tables.EndpointID
	for id, bytes := range u.bytes {
		if bytes > maxUnansweredBytes {
			all = append(all, id)
		}
	}
	return all
}

// unansweredGauge is the metric family of the gauges.
const unansweredGauge = "carawaystile_unanswered_body_bytes"

// report updates the gauges. An endpoint has one once a scrape has found unanswered bytes there,
// until it is gone.
func (u *unansweredBodies) report(registry *metrics.Registry, known map[tables.EndpointID]fleet.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reported == nil {
		u.reported = map[tables.EndpointID]struct{}{}
	}
	for id := range u.bytes {
		u.reported[id] = struct{}{}
	}
	for id := range u.reported {
		label := metrics.Label{Name: "endpoint", Value: string(id)}
		if _, exists := known[id]; !exists && u.bytes[id] == 0 {
			delete(u.reported, id)
			registry.Remove(unansweredGauge, label)
			continue
		}
		registry.Gauge(unansweredGauge, "Bytes of request bodies that this instance has sent to an endpoint and that are not answered.", label).Update(float64(u.bytes[id]))
	}
}

// placeAvoidingFull places the next attempt. A long body goes to an endpoint with too many
// unanswered bytes only if no other is eligible.
func (s *Server) placeAvoidingFull(c *clientRequest) (*dispatch.Attempt, dispatch.RejectReason) {
	var full []tables.EndpointID
	if len(c.body) > longBodyBytes {
		known := s.Endpoints()
		full = slices.DeleteFunc(s.unanswered.full(), func(id tables.EndpointID) bool { return known[id].Service != c.service.Name })
	}
	if len(full) == 0 {
		return s.placeBySchedulerOrLocally(c)
	}
	tried := c.dispatchRequest.Tried
	c.dispatchRequest.Tried = append(slices.Clone(tried), full...)
	placement, reason := s.placeBySchedulerOrLocally(c)
	c.dispatchRequest.Tried = tried
	if placement == nil && reason == dispatch.NoEndpoint {
		return s.placeBySchedulerOrLocally(c)
	}
	return placement, reason
}

// placeBySchedulerOrLocally places the next attempt through a scheduler or, if none decides,
// locally.
func (s *Server) placeBySchedulerOrLocally(c *clientRequest) (*dispatch.Attempt, dispatch.RejectReason) {
	if placement, reason, decided := s.placeByScheduler(c); decided {
		return placement, reason
	}
	return s.PlaceRequest(&c.dispatchRequest)
}
