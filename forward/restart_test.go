package forward

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// restartingEndpoint is an endpoint that a request with "crash" in its path ends, and that starts again
// under its ID and address.
type restartingEndpoint struct {
	server  atomic.Pointer[httptest.Server]
	crashes *atomic.Int32
	downFor time.Duration
}

func (e *restartingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.URL.Path, "crash") {
		respond(200, "done")(w, r)
		return
	}
	e.crashes.Add(1)
	ended := e.server.Load()
	address := ended.Listener.Addr().String()
	_ = ended.Listener.Close()
	go ended.CloseClientConnections()
	time.AfterFunc(e.downFor, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return // the other tests have taken the port; the endpoint stays down
		}
		restarted := &httptest.Server{Listener: listener, Config: &http.Server{Handler: ended.Config.Handler}}
		e.server.Store(restarted)
		restarted.Start()
	})
	panic(http.ErrAbortHandler)
}

// Guards against requests that crash the endpoints of a service, which come back under their IDs, and are never rejected once each of
// these has crashed before.
func TestRequestsThatCrashRestartedEndpointsAreRejected(t *testing.T) {
	const (
		endpoints = 3
		// speed is how much faster the clock of the instance runs, and downFor how long an endpoint is down by
		// that clock.
		speed   = 5
		downFor = 2 * time.Second
		tries   = 5
		// allowedCrashes are those of one request: three, and one more until instances know of the third.
		allowedCrashes = 4
	)
	var crashes atomic.Int32
	var restarting []*restartingEndpoint
	var handlers []http.HandlerFunc
	for range endpoints {
		e := &restartingEndpoint{crashes: &crashes, downFor: downFor / speed}
		restarting, handlers = append(restarting, e), append(handlers, e.ServeHTTP)
	}
	started := time.Now()
	h := newHarnessWith(t, func() tables.Instant { return speed * time.Since(started) }, newFakeEndpoints(t, handlers...))
	for n, e := range restarting {
		e.server.Store(h.endpointServers[n])
		t.Cleanup(func() { e.server.Load().Close() })
	}
	for n := range 3 {
		before := crashes.Load()
		path, rejected := fmt.Sprintf("/once/crash%d", n), 0
		for try := range tries {
			if h.send(t, "POST", path, "the same each time", "X-Request", fmt.Sprint(path, try)).StatusCode == http.StatusServiceUnavailable {
				rejected++
			}
			time.Sleep((downFor + 500*time.Millisecond) / speed)
			sound := h.send(t, "POST", "/once/sound", fmt.Sprint(n, try), "X-Request", fmt.Sprint("sound", n, try))
			assert.Equal(t, sound.StatusCode, http.StatusOK)
		}
		assert.Assert(t, crashes.Load()-before <= allowedCrashes, "request %d crashed %d endpoints", n, crashes.Load()-before)
		assert.Assert(t, rejected > 0)
	}
}

// Guards against the planned end of an endpoint that counts as a crash against the requests that it cuts off.
func TestEndOfDrainingEndpointIsNoCrash(t *testing.T) {
	for _, draining := range []bool{false, true} {
		var shared atomic.Int32
		var h *harness
		now := func() tables.Instant { return time.Since(testStart) }
		handler := func(http.ResponseWriter, *http.Request) {
			all := maps.Clone(h.server.Endpoints())
			for id, e := range all {
				e.Draining = draining
				all[id] = e
			}
			h.server.SetEndpoints(all)
			_ = h.endpointServers[0].Listener.Close()
			panic(http.ErrAbortHandler)
		}
		h = newHarnessWith(t, now, newFakeEndpoints(t, handler), func(o *Options) {
			o.ShareSuspects = func(s []quarantine.Suspect) { shared.Add(int32(len(s))) }
		})
		assert.Equal(t, h.send(t, "POST", "/once/x", "").StatusCode, http.StatusBadGateway)
		e := h.server.Endpoints()["e0desk"]
		probe := &attempt{request: &clientRequest{server: h.server}, placement: &dispatch.Attempt{Endpoint: e}}
		<-probe.probeForCrash()
		assert.Equal(t, shared.Load() > 0, !draining)
	}
}
