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

// darkRig is a rig of two endpoints of which the first can be made to vanish: it
// says nothing on open connections and takes no others, without refusing them.
func darkRig(t *testing.T) (r *rig, dark *atomic.Bool, met chan struct{}) {
	t.Helper()
	dark, met = &atomic.Bool{}, make(chan struct{}, 100)
	first := func(w http.ResponseWriter, request *http.Request) {
		if dark.Load() {
			met <- struct{}{}
			<-request.Context().Done()
			return
		}
		says(200, "first")(w, request)
	}
	r = newRig(t, first, says(200, "second"))
	gone := strings.TrimPrefix(r.servers[0].URL, "http://")
	dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if dark.Load() && to.String() == gone {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return engine.DialTCP(ctx, to)
	}
	r.server.options.Client = exchange.NewClient(exchange.Options{Headers: names, Dial: dial, ConnectTimeout: 20 * time.Millisecond})
	// No request is taken away for its silence alone.
	r.configure(t, configured+1, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].TargetLatency, c.Routes[i].Timeout = time.Hour, time.Hour
		}
	})
	return r, dark, met
}

// An endpoint vanishes while requests wait for its answer on open connections. Their
// callers would wait until they give up; those that come after would each lose the
// time of a connection that is never taken.
func TestRequestsLeaveAnEndpointThatVanished(t *testing.T) {
	r, dark, met := darkRig(t)
	all := r.server.Endpoints()
	first := maps.Clone(all)
	delete(first, "e1desk")
	r.server.SetEndpoints(first)
	assert.Equal(t, text(t, r.ask(t, "GET", "/read/x", "")), "first")
	dark.Store(true)
	answers := make(chan string, 1)
	go func() { answers <- text(t, r.ask(t, "GET", "/read/x", "")) }()
	<-met
	r.server.SetEndpoints(all)
	assert.Equal(t, <-answers, "second")
	before := len(r.standins[0].requests())
	for range 20 {
		assert.Equal(t, text(t, r.ask(t, "GET", "/read/x", "")), "second")
	}
	assert.Equal(t, len(r.standins[0].requests()), before)
}

// The endpoint is back. It must get requests again, though none has met it.
func TestAnEndpointThatIsBackGetsRequests(t *testing.T) {
	r, dark, _ := darkRig(t)
	avoided := func() int {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.dispatch.CountEndpoints(r.server.options.Now(), &dispatch.Request{Service: &routes.Service{Name: "desk"}, Route: &routes.Route{}}).Unavailable
	}
	dark.Store(true)
	r.server.reach.look(r.server.Endpoints()["e0desk"])
	for avoided() != 1 {
		time.Sleep(time.Millisecond)
	}
	dark.Store(false)
	for avoided() != 0 {
		time.Sleep(time.Millisecond)
	}
}
