package forward

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/routes"
)

// newBlackholeHarness returns a harness with two endpoints. While blackholed is set, the
// first one sends nothing on open connections and neither accepts nor refuses new ones. It
// signals each request that it receives in this state on received.
func newBlackholeHarness(t *testing.T) (h *harness, blackholed *atomic.Bool, received chan struct{}) {
	t.Helper()
	blackholed, received = &atomic.Bool{}, make(chan struct{}, 100)
	first := func(w http.ResponseWriter, request *http.Request) {
		if blackholed.Load() {
			received <- struct{}{}
			<-request.Context().Done()
			return
		}
		respond(200, "first")(w, request)
	}
	h = newHarness(t, first, respond(200, "second"))
	address := strings.TrimPrefix(h.endpointServers[0].URL, "http://")
	dial := func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
		if blackholed.Load() && target.String() == address {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return engine.DialTCP(ctx, target)
	}
	h.server.options.Client = exchange.NewClient(exchange.Options{Headers: headerNames, Dial: dial, ConnectTimeout: 20 * time.Millisecond})
	// Disables the response timeout, so that only the health checker cancels attempts.
	h.configure(t, initialRevision+1, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].TargetLatency, c.Routes[i].Timeout = time.Hour, time.Hour
		}
	})
	return h, blackholed, received
}

// An endpoint becomes unreachable while requests wait for its response on open connections.
// Without rerouting these requests would wait until their deadline, and each later request
// would lose the time of a connection timeout.
func TestPendingRequestsAreReroutedFromUnreachableEndpoint(t *testing.T) {
	h, blackholed, received := newBlackholeHarness(t)
	all := h.server.Endpoints()
	onlyFirst := maps.Clone(all)
	delete(onlyFirst, "e1desk")
	h.server.SetEndpoints(onlyFirst)
	assert.Equal(t, readBody(t, h.send(t, "GET", "/read/x", "")), "first")
	blackholed.Store(true)
	answers := make(chan string, 1)
	go func() { answers <- readBody(t, h.send(t, "GET", "/read/x", "")) }()
	<-received
	h.server.SetEndpoints(all)
	assert.Equal(t, <-answers, "second")
	before := len(h.endpoints[0].requests())
	for range 20 {
		assert.Equal(t, readBody(t, h.send(t, "GET", "/read/x", "")), "second")
	}
	assert.Equal(t, len(h.endpoints[0].requests()), before)
}

// An unreachable endpoint recovers. It must become available again without any request to
// it.
func TestRecoveredEndpointBecomesAvailable(t *testing.T) {
	h, blackholed, _ := newBlackholeHarness(t)
	unavailable := func() int {
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		return h.server.dispatch.CountEndpoints(h.server.options.Now(), &dispatch.Request{Service: &routes.Service{Name: "desk"}, Route: &routes.Route{}}).Unreachable
	}
	blackholed.Store(true)
	h.server.healthChecker.startProbe(h.server.Endpoints()["e0desk"])
	for unavailable() != 1 {
		time.Sleep(time.Millisecond)
	}
	blackholed.Store(false)
	for unavailable() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request that fails because its endpoint is slow to accept the connection of a
// probe, although no other endpoint can take it and the response still comes.
func TestPendingRequestWithoutAnAlternativeIsNotCancelledByAProbe(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-release
		respond(200, "late")(w, r)
	})
	answer := make(chan string, 1)
	go func() { answer <- readBody(t, h.send(t, "GET", "/read/x", "")) }()
	<-received
	h.server.setReachable("e0desk", false)
	h.server.healthChecker.reroutePending("e0desk", false)
	close(release)
	assert.Equal(t, <-answer, "late")
}

// Guards against a request that runs twice because its endpoint refuses a new connection while the
// open one, on which the request was sent, stays alive.
func TestRequestOnOpenConnectionIsNotRepeatedAfterARefusedProbe(t *testing.T) {
	received, release := make(chan struct{}, 2), make(chan struct{})
	slow := func(w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		<-release
		respond(200, "ok")(w, r)
	}
	h := newHarness(t, slow, slow)
	answer := make(chan string, 1)
	go func() { answer <- readBody(t, h.send(t, "GET", "/read/x", "")) }()
	<-received
	for id := range h.server.Endpoints() {
		h.server.healthChecker.reroutePending(id, true)
	}
	close(release)
	assert.Equal(t, <-answer, "ok")
	assert.Equal(t, h.deliveredCount(), 1)
}

// Guards against an instance that sends everything through others for good, since its links are back by the
// first probe after the attempts that failed, and no other one is made.
func TestLinksThatAreBackByTheFirstProbeAreUsed(t *testing.T) {
	h := newHarness(t, respond(200, "ok"), respond(200, "ok"), respond(200, "ok"), respond(200, "ok"))
	s := h.server
	r := &dispatch.Request{Service: s.Service("desk"), Route: &routes.Route{}, Deadline: time.Hour}
	for range 4 {
		a, reason := s.PlaceRequest(r)
		assert.Assert(t, a != nil, "%s", reason)
		s.recordOutcome(a, dispatch.ConnectTimeout)
		r.Tried = append(r.Tried, a.Endpoint.ID)
	}
	assert.Assert(t, s.LinksLost())
	for _, id := range r.Tried {
		s.healthChecker.probeUntilReachable(s.Endpoints()[id])
	}
	assert.Assert(t, !s.LinksLost())
}
