package forward

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// newLinkWatchServer returns an instance with one harness endpoint under many identities, of
// which its connections can be refused.
func newLinkWatchServer(t *testing.T, endpoints int) (s *Server, refused *atomic.Bool) {
	t.Helper()
	h := newHarness(t, respond(200, "ok"))
	refused = &atomic.Bool{}
	h.server.options.Client = exchange.NewClient(exchange.Options{Headers: headerNames, Dial: refusable(refused)})
	address := h.server.Endpoints()["e0desk"].Address
	all := map[tables.EndpointID]fleet.Endpoint{}
	for i := range endpoints {
		id := tables.EndpointID(fmt.Sprintf("many%d", i))
		all[id] = fleet.Endpoint{ID: id, Service: "desk", Address: address, Zone: "a", Slots: 8}
	}
	h.server.SetEndpoints(all)
	return h.server, refused
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
}

func (h *healthChecker) isWatching() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watching
}

// Guards against an instance with few requests before many endpoints that does not find out for
// long that its links are lost, or that they are back.
func TestOneFailureShowsThatAllLinksAreLost(t *testing.T) {
	s, refused := newLinkWatchServer(t, 100)
	refused.Store(true)
	s.healthChecker.startProbe(s.Endpoints()["many0"])
	waitUntil(t, s.LinksLost)
	refused.Store(false)
	waitUntil(t, func() bool { return !s.LinksLost() })
	waitUntil(t, func() bool { return !s.healthChecker.isWatching() })
}

// Guards against a single endpoint that is down counting as lost links, and against a watch that
// continues to probe the others.
func TestOneEndpointThatIsDownEndsTheWatch(t *testing.T) {
	s, refused := newLinkWatchServer(t, 100)
	refused.Store(true)
	s.recordConnectionRefused("many0")
	s.setReachable("many0", false)
	refused.Store(false)
	s.healthChecker.startLinkWatch()
	waitUntil(t, func() bool { return !s.healthChecker.isWatching() })
	assert.Assert(t, !s.LinksLost())
}

// Guards against a failure beside the end of a watch that is followed by no watch.
func TestWatchDoesNotEndBesideAFailure(t *testing.T) {
	s, _ := newLinkWatchServer(t, 100)
	s.healthChecker.watching = true
	s.setReachable("many0", false)
	assert.Assert(t, !s.healthChecker.endLinkWatch())
	s.recordLinkResponse()
	assert.Assert(t, s.healthChecker.endLinkWatch())
}

// Guards against probes that are used up counting as a connection to the endpoint.
func TestEndOfProbesIsNoResponse(t *testing.T) {
	s, _ := newLinkWatchServer(t, 4)
	for id := range s.Endpoints() {
		s.setReachable(id, false)
	}
	assert.Assert(t, s.LinksLost())
	for id := range s.Endpoints() {
		s.endProbes(id)
	}
	assert.Assert(t, s.LinksLost())
}
