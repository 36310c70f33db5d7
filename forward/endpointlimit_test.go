package forward

import (
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// cluster is a set of instances in front of the same endpoints, with a fake clock that only
// advance moves.
type cluster struct {
	instances    []*harness
	endpoints    fakeEndpoints
	clock        atomic.Int64
	requestCount int
}

func newCluster(t *testing.T, instances int, handlers ...http.HandlerFunc) *cluster {
	t.Helper()
	c := &cluster{endpoints: newFakeEndpoints(t, handlers...)}
	c.clock.Store(int64(time.Second))
	for range instances {
		c.instances = append(c.instances, newHarnessWith(t, c.now, c.endpoints))
	}
	c.connectLimiters()
	return c
}

// connectLimiters gives each instance a distributed rate limiter. The limiters exchange
// messages by direct calls.
func (c *cluster) connectLimiters() {
	var entries []membership.EntryInstance
	clients := map[netip.AddrPort]*usage.Client{}
	for i := range c.instances {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		entries = append(entries, membership.EntryInstance{Instance: tables.InstanceID("i" + strconv.Itoa(i)), Address: at})
	}
	for i, h := range c.instances {
		self := membership.Sender{Instance: entries[i].Instance, Address: entries[i].Address}
		send := func(to netip.AddrPort, message *rpc.UsageMessage) { clients[to].HandleMessage(self, message) }
		zones := func() map[tables.Zone][]membership.EntryInstance {
			return map[tables.Zone][]membership.EntryInstance{"a": entries}
		}
		client := usage.NewClient(usage.ClientOptions{
			Self: self.Instance, Zone: "a", EntriesByZone: zones, InstanceCount: func() int { return len(c.instances) }, Send: send, Now: c.now,
			Server: usage.NewServer(usage.ServerOptions{Self: self.Instance, Zone: "a", EntriesByZone: zones, Send: send, Now: c.now}),
			Log:    zap.NewNop(),
		})
		clients[self.Address] = client
		h.server.options.RateLimiter = client
	}
}

func (c *cluster) now() tables.Instant { return tables.Instant(c.clock.Load()) }

func (c *cluster) advance(d time.Duration) { c.clock.Add(int64(d)) }

// send sends a request to the next instance in turn, and returns the status of the
// response.
func (c *cluster) send(t *testing.T) int {
	t.Helper()
	h := c.instances[c.requestCount%len(c.instances)]
	c.requestCount++
	return h.send(t, "GET", "/read/x", "").StatusCode
}

// respondWithLimit returns a handler that responds with a success, and with the rate limit
// if one is set.
func respondWithLimit(limit *atomic.Pointer[string]) http.HandlerFunc {
	ok := respond(200, "ok")
	return func(w http.ResponseWriter, r *http.Request) {
		if header := limit.Load(); header != nil {
			w.Header().Set("X-Rate-Limit", *header)
		}
		ok(w, r)
	}
}

// maxInWindow returns the highest number of times that lie within any window of the given
// length.
func maxInWindow(times []tables.Instant, window time.Duration) int {
	highest := 0
	for i, from := range times {
		count := 0
		for _, at := range times[i:] {
			if at < from+window {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// Guards against instances that ignore an endpoint's rate limit, or that each apply the
// whole limit to their own requests, so that their sum exceeds it.
func TestEndpointRateLimitHoldsAcrossInstances(t *testing.T) {
	const (
		perSecond   = 1.0
		propagation = 3 * time.Second
		window      = 4 * time.Second
		allowed     = 1.5*perSecond*4 + 5
		tick        = 100 * time.Millisecond
	)
	var limit atomic.Pointer[string]
	header := "1.0"
	limit.Store(&header)
	c := newCluster(t, 6, respondWithLimit(&limit), respond(200, "ok"))
	var arrivals []tables.Instant
	for start := c.now(); c.now() < start+12*time.Second; c.advance(tick) {
		for range 4 {
			before := len(c.endpoints.all[0].requests())
			assert.Equal(t, c.send(t), 200)
			if count := len(c.endpoints.all[0].requests()); count > before && c.now() >= start+propagation {
				arrivals = append(arrivals, c.now())
			}
		}
	}
	highest := maxInWindow(arrivals, window)
	assert.Assert(t, float64(highest) <= allowed, "%d requests within %v, allowed %.0f", highest, window, allowed)
}

// Guards against a rate limit that is lifted by an unsigned response, which does not come
// from the endpoint's application.
func TestOnlySignedResponseLiftsEndpointLimit(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	placement, reason := h.server.PlaceRequest(&dispatch.Request{
		Service: h.server.Service("desk"), Route: &routes.Route{}, Deadline: time.Hour,
	})
	assert.Assert(t, placement != nil, reason)
	a := &attempt{request: &clientRequest{server: h.server}, placement: placement}
	limited := func(headers ...string) bool {
		header := http.Header{}
		for _, name := range headers {
			header.Set(name, "1.0")
		}
		a.recordResponseHeader(http.StatusOK, header)
		return h.server.endpointLimit(placement).Limited
	}
	assert.Assert(t, limited("X-Rate-Limit", "X-Signature"))
	assert.Assert(t, limited("X-Not-Run"))
	assert.Assert(t, limited())
	assert.Assert(t, !limited("X-Signature"))
	assert.Assert(t, limited("X-Rate-Limit", "X-Not-Run"))
}

// Guards against a rate limit that stays in force after the endpoint has stopped to
// announce it, and against clients that are rejected because of a limit while endpoints are
// available.
func TestEndpointLimitEndsWithFirstResponseWithoutLimit(t *testing.T) {
	var limit atomic.Pointer[string]
	header := "1.0"
	limit.Store(&header)
	c := newCluster(t, 1, respondWithLimit(&limit))
	assert.Equal(t, c.send(t), 200)
	c.advance(2 * time.Second)
	limit.Store(nil)
	assert.Equal(t, c.send(t), 200)
	for range 5 {
		assert.Equal(t, c.send(t), 200)
	}
}
