package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// relayHarness is an instance that can be partitioned from all endpoints, and a relay that
// reaches them.
type relayHarness struct {
	*harness
	relay *harness
	// partitioned has connections of the instance refused; relayPartitioned those of the relay.
	partitioned, relayPartitioned atomic.Bool
	relayServer                   *relay.Server
	suspects                      atomic.Int64
	// relayDials counts the connections that the relay has opened to endpoints.
	relayDials atomic.Int64
}

// refusable returns a dial function that is refused while the flag is set.
func refusable(refused *atomic.Bool) engine.DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if refused.Load() {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		return engine.DialTCP(ctx, to)
	}
}

// counted returns a dial function that counts the connections which dial has opened.
func counted(count *atomic.Int64, dial engine.DialFunc) engine.DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		conn, err := dial(ctx, to)
		if err == nil {
			count.Add(1)
		}
		return conn, err
	}
}

func newRelayHarness(t *testing.T, handlers ...http.HandlerFunc) *relayHarness {
	t.Helper()
	return newRelayHarnessWith(t, newFakeEndpoints(t, handlers...))
}

// newRelayHarnessWith returns a relay harness for the given endpoints. Each change modifies the
// options of the instance.
func newRelayHarnessWith(t *testing.T, endpoints fakeEndpoints, changes ...func(*Options)) *relayHarness {
	t.Helper()
	now := func() tables.Instant { return time.Since(testStart) }
	h := &relayHarness{harness: newHarnessWith(t, now, endpoints, changes...), relay: newHarnessWith(t, now, endpoints)}
	h.server.options.Client = exchange.NewClient(exchange.Options{Headers: headerNames, Dial: refusable(&h.partitioned)})
	h.server.options.ShareSuspects = func(s []quarantine.Suspect) { h.suspects.Add(int64(len(s))) }
	h.relayServer = relay.NewServer(relay.ServerOptions{
		Admit: h.relay.server.AdmitRelay, Dial: counted(&h.relayDials, refusable(&h.relayPartitioned)), ObserveResponse: h.relay.server.ObserveRelayedResponse, MaxConnections: 100,
	})
	mux := http.NewServeMux()
	mux.Handle(relay.Path, h.relayServer)
	listener := httptest.NewServer(mux)
	t.Cleanup(func() {
		h.relayServer.Close()
		listener.Close()
	})
	instance := relay.Instance{ID: "relay", Zone: "a", Address: netip.MustParseAddrPort(strings.TrimPrefix(listener.URL, "http://"))}
	h.server.options.Relay = relay.NewDialer(relay.DialerOptions{
		Zone: "a", Instances: func() []relay.Instance { return []relay.Instance{instance} }, Dial: engine.DialTCP, Now: now,
	})
	h.server.SetRelayAvailable(true)
	h.partitioned.Store(true)
	return h
}

var testStart = time.Now()

// Guards against a relayed request that differs from one over the instance's own link: its
// headers, its deadline, its organisation, and the key that no endpoint must see.
func TestRelayedRequestReachesTheEndpointUnchanged(t *testing.T) {
	h := newRelayHarness(t, respond(200, "ok"))
	resp := h.send(t, "POST", "/once/x?q=1", "body", "X-Deadline", "900", "X-Own", "kept")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, readBody(t, resp), "ok")
	received := h.endpoints[0].requests()
	assert.Equal(t, len(received), 1)
	r := received[0]
	assert.Equal(t, r.Method+" "+r.RequestURI, "POST /once/x?q=1")
	for name, want := range map[string]string{"X-Request": "r-/once/x?q=1", "X-Own": "kept", "X-Organisation": "org", "X-Endpoint": "e0desk", "Authorization": ""} {
		assert.Equal(t, r.Header.Get(name), want, name)
	}
	assert.Assert(t, len(r.Header.Get("X-Deadline")) <= 3, r.Header.Get("X-Deadline"))
}

// Guards against a stream that is not resumed, or not exactly once, after its relayed connection
// has broken.
func TestRelayedStreamIsResumed(t *testing.T) {
	h := newRelayHarness(t, streamEvents(3, 6), streamEvents(6, 6))
	for range 4 {
		resp := h.send(t, "POST", "/resume/x", "", "X-Model", "m", "X-Tokens", "10,6")
		body := readBody(t, resp)
		for i := 1; i <= 6; i++ {
			assert.Equal(t, strings.Count(body, "id: "+string(rune('0'+i))+"\n"), 1, body)
		}
	}
}

// Guards against a request that must run at most once being sent again after its relay has ended,
// and against a response which says that it did not run.
func TestRequestThatMayHaveRunIsNotRepeatedAfterItsRelayEnds(t *testing.T) {
	running, release := make(chan struct{}, 2), make(chan struct{})
	defer close(release)
	slow := func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}
	h := newRelayHarness(t, slow, slow)
	status := make(chan int, 1)
	go func() { status <- h.send(t, "POST", "/once/x", "").StatusCode }()
	<-running
	h.relayServer.Close()
	assert.Equal(t, <-status, http.StatusBadGateway)
	assert.Equal(t, h.deliveredCount(), 1)
}

// Guards against a back-off that the endpoint requests from the relay, the sender that it sees,
// and of which only the instance behind it learns.
func TestPushbackOfRelayedRequestBindsTheRelay(t *testing.T) {
	var first atomic.Int32
	overloadedFirst := func(number int32) http.HandlerFunc {
		push, ok := pushBack("30"), respond(200, "ok")
		return func(w http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(0, number) {
				push(w, r)
				return
			}
			ok(w, r)
		}
	}
	h := newRelayHarness(t, overloadedFirst(1), overloadedFirst(2))
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 200)
	overloaded := h.endpoints[first.Load()-1]
	assert.Equal(t, len(overloaded.requests()), 1)
	assert.Assert(t, h.relay.server.PausedFor(tables.EndpointID(overloaded.id+"desk")) > 20*time.Second)
	for range 20 {
		assert.Equal(t, h.relay.send(t, "GET", "/read/x", "").StatusCode, 200)
		assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 200)
	}
	assert.Equal(t, len(overloaded.requests()), 1)
}

// slowFirstRelay is a Relay whose first question gets no answer in time.
type slowFirstRelay struct {
	Relay
	asked atomic.Int32
}

func (r *slowFirstRelay) Dial(ctx context.Context, to *fleet.Endpoint) (net.Conn, tables.InstanceID, error) {
	if r.asked.Add(1) == 1 {
		return nil, "", &relay.NoRelayError{Asked: 1, Last: &relay.RejectedError{Relay: "relay", Reason: relay.Unresponsive}}
	}
	return r.Relay.Dial(ctx, to)
}

// Guards against a client that is sent away, for half a second or for the back-off of another
// endpoint, because the only relay was slow once.
func TestRequestOutlastsTheBackoffOfItsOnlyRelay(t *testing.T) {
	h := newRelayHarness(t, respond(200, "ok"), respond(200, "ok"))
	h.server.RecordCallPushback("e0desk", 30*time.Second)
	h.server.options.Relay = &slowFirstRelay{Relay: h.server.options.Relay}
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 200)
}

// Guards against requests that wait, or a false answer, where no instance reaches an endpoint, and
// against a relay that asks another one.
func TestRequestIsRejectedAtOnceIfNoInstanceReachesAnEndpoint(t *testing.T) {
	h := newRelayHarness(t, respond(200, "ok"))
	h.relayPartitioned.Store(true)
	h.relay.server.options.Client = exchange.NewClient(exchange.Options{Headers: headerNames, Dial: refusable(&h.relayPartitioned)})
	h.relay.server.options.Relay = h.server.options.Relay
	h.relay.server.SetRelayAvailable(true)
	resp := h.send(t, "GET", "/read/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(readBody(t, resp), "not_run"))
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, h.deliveredCount(), 0)
}

// Guards against the loss of an instance's own links looking like the crash of the endpoints, for
// which the requests that ran there would be quarantined.
func TestLostLinksAreNoCrashOfTheEndpoint(t *testing.T) {
	running, release := make(chan struct{}, 2), make(chan struct{})
	slow := func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-release
		abortConnection(w, r)
	}
	h := newRelayHarness(t, slow)
	h.partitioned.Store(false)
	status := make(chan int, 1)
	go func() { status <- h.send(t, "POST", "/once/x", "").StatusCode }()
	<-running
	h.partitioned.Store(true)
	close(release)
	assert.Equal(t, <-status, http.StatusBadGateway)
	// The probe of the request itself has its verdict once the relay has reached the endpoint.
	eventually(t, 5*time.Second, "the request's probe did not reach the endpoint through the relay", func() bool { return h.relayDials.Load() > 0 })
	e := h.server.Endpoints()["e0desk"]
	assert.Assert(t, !h.server.refusesAll(t.Context(), &e))
	probe := &attempt{request: &clientRequest{server: h.server}, placement: &dispatch.Attempt{Endpoint: e}}
	<-probe.probeForCrash()
	assert.Equal(t, h.suspects.Load(), int64(0))
	h.relayPartitioned.Store(true)
	assert.Assert(t, h.server.refusesAll(t.Context(), &e))
	<-probe.probeForCrash()
	assert.Equal(t, h.suspects.Load(), int64(1))
}

// Guards against an endpoint that counts as having received a request, and is not tried again
// through a relay, because the health checker cancels the attempt whose connection it refuses.
func TestRefusedConnectionOfACancelledAttemptIsNoDelivery(t *testing.T) {
	h := newRelayHarness(t, respond(200, "ok"))
	e := h.server.Endpoints()["e0desk"]
	var dials, cancelled atomic.Int32
	refuse := func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		if dials.Add(1) == 1 {
			h.server.healthChecker.startProbe(e)
			select {
			case <-ctx.Done():
			case <-t.Context().Done():
			}
			if errors.Is(ctx.Err(), context.Canceled) {
				cancelled.Add(1)
			}
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	h.server.options.Client = exchange.NewClient(exchange.Options{Headers: headerNames, Dial: refuse})
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 200)
	assert.Equal(t, cancelled.Load(), int32(1))
	assert.Equal(t, h.deliveredCount(), 1)
}

// Guards against an instance that relays for others although it is about to stop, has lost its
// own links, or needs the memory for request bodies; and against one that rejects all relays
// because its callers read slowly.
func TestAdmissionOfRelayedConnections(t *testing.T) {
	h := newRelayHarness(t, respond(200, "ok"))
	e := h.server.Endpoints()["e0desk"]
	assert.Equal(t, h.relay.server.AdmitRelay(&e), relay.Reason(""))
	for id := range h.relay.server.Endpoints() {
		h.relay.server.setReachable(id, false)
	}
	assert.Equal(t, h.relay.server.AdmitRelay(&e), relay.Partitioned)
	giveBack, ok := h.server.ReserveRelay(1000)
	assert.Assert(t, ok && h.server.buffers.budget.Used() == 1000)
	giveBack()
	slowReaders := h.server.buffers.budget.Open("", bufferbudget.Stream)
	assert.Assert(t, slowReaders.Reserve(h.server.options.MaxBufferedBytes*3/4))
	assert.Equal(t, h.server.AdmitRelay(&e), relay.Reason(""))
	slowReaders.Close()
	assert.Assert(t, h.server.buffers.budget.Open("", bufferbudget.RequestBody).Reserve(h.server.options.MaxBufferedBytes))
	_, ok = h.server.ReserveRelay(1000)
	assert.Assert(t, !ok)
	assert.Equal(t, h.server.AdmitRelay(&e), relay.Busy)
	assert.NilError(t, h.relay.server.Drain(t.Context()))
	assert.Equal(t, h.relay.server.AdmitRelay(&e), relay.Draining)
}
