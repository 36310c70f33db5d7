package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// headerNames are the header names of the test deployment.
var headerNames = &dialect.Headers{
	RequestID: "X-Request", Deadline: "X-Deadline", Organisation: "X-Organisation",
	ExpectEndpoint: "X-Endpoint", ExpectWeights: "X-Expect-Weights", Signature: "X-Signature", NotExecuted: "X-Not-Run",
	Load: "X-Load", RateLimit: "X-Rate-Limit", RetryAfter: "Retry-After", Draining: "X-Draining", Weights: "X-Weights", Model: "X-Model", TokenCounts: "X-Tokens", PromptParts: "X-Prefix",
	CacheSalt: "X-Salt", CacheSource: "X-Source", CacheStore: "X-Target", CacheBackup: "X-Backup", ResumeFrom: "X-From", Priority: "X-Priority",
	LastEventID: "Last-Event-Id", Reserved: []string{"X-Hold"}, AuthScheme: "Bearer",
}

// fakeEndpoint is an endpoint that serves requests with a handler and records them.
type fakeEndpoint struct {
	id      string
	handler http.HandlerFunc

	mu       sync.Mutex
	received []*http.Request
}

func (s *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Twirp-Version") != "" {
		// A call between instances of another test process, to a port that was one of theirs.
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	s.received = append(s.received, r)
	s.mu.Unlock()
	w.Header().Set("X-Request", r.Header.Get("X-Request"))
	s.handler(w, r)
}

func (s *fakeEndpoint) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.received...)
}

// respond returns a handler that sends a signed response, as the endpoint's application
// does.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signature", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// decline responds that the request did not run.
func decline(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// streamEvents returns a handler that sends the events after the client's last one, up to
// the event until. If until is less than last, it then closes the connection in the middle
// of an event.
func streamEvents(until, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("X-Signature", "s"+strconv.Itoa(from))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= until; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if until < last {
			_, _ = io.WriteString(w, "id: 99\ndata: cu")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// harness is a Server in front of fake endpoints.
type harness struct {
	server          *Server
	url             string
	callers         *http.Client
	memory          *memoryNetwork
	endpoints       []*fakeEndpoint
	endpointServers []*httptest.Server
}

// initialRevision is the revision of the configuration that a new harness has.
const initialRevision = 1

// newHarness returns a harness with a fake endpoint for each handler.
func newHarness(t testing.TB, handlers ...http.HandlerFunc) *harness {
	t.Helper()
	return newHarnessOn(t, nil, handlers...)
}

func newHarnessOn(t testing.TB, memory *memoryNetwork, handlers ...http.HandlerFunc) *harness {
	t.Helper()
	started := time.Now()
	return newHarnessWith(t, func() tables.Instant { return time.Since(started) }, newFakeEndpointsOn(t, memory, handlers...))
}

// fakeEndpoints are the endpoints of one or several harnesses.
type fakeEndpoints struct {
	all     []*fakeEndpoint
	servers []*httptest.Server
	// memory connects the endpoints, the harnesses and their callers; nil means loopback.
	memory *memoryNetwork
}

// serve starts a server, which ends with the test.
func (e fakeEndpoints) serve(t testing.TB, handler http.Handler) *httptest.Server {
	if e.memory != nil {
		return e.memory.serve(t, handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

func newFakeEndpoints(t testing.TB, handlers ...http.HandlerFunc) fakeEndpoints {
	t.Helper()
	return newFakeEndpointsOn(t, nil, handlers...)
}

func newFakeEndpointsOn(t testing.TB, memory *memoryNetwork, handlers ...http.HandlerFunc) fakeEndpoints {
	t.Helper()
	endpoints := fakeEndpoints{memory: memory}
	for i, handler := range handlers {
		endpoint := &fakeEndpoint{id: fmt.Sprintf("e%d", i), handler: handler}
		endpoints.all = append(endpoints.all, endpoint)
		endpoints.servers = append(endpoints.servers, endpoints.serve(t, endpoint))
	}
	return endpoints
}

// newHarnessWith returns a harness with the given clock and endpoints, which several
// harnesses may share. Each change modifies the options.
func newHarnessWith(t testing.TB, now func() tables.Instant, endpoints fakeEndpoints, changes ...func(*Options)) *harness {
	t.Helper()
	options := Options{
		Headers:  headerNames,
		Client:   exchange.NewClient(exchange.Options{Headers: headerNames}),
		Dispatch: dispatch.Options{Zone: "a", RetryBudget: dispatch.RetryBudget{Ratio: 1, Extra: 100, Window: time.Minute}, Predecessor: dispatch.NoPredecessor()},
		Now:      now,
		BootID:   "b",
		Context:  t.Context(),
	}
	callers := http.DefaultClient
	if endpoints.memory != nil {
		options.Client = exchange.NewClient(exchange.Options{Headers: headerNames, Dial: endpoints.memory.dial})
		callers = endpoints.memory.client(t)
	}
	for _, change := range changes {
		change(&options)
	}
	h := &harness{callers: callers, memory: endpoints.memory, endpoints: endpoints.all, endpointServers: endpoints.servers, server: New(options)}
	all := map[tables.EndpointID]fleet.Endpoint{}
	for i, s := range endpoints.all {
		endpointServer := endpoints.servers[i]
		address := netip.MustParseAddrPort(strings.TrimPrefix(endpointServer.URL, "http://"))
		id := tables.EndpointID(s.id)
		for _, service := range []string{"desk", "models"} {
			all[id+tables.EndpointID(service)] = fleet.Endpoint{
				ID: id + tables.EndpointID(service), Service: service, Address: address, Zone: "a", Slots: 8,
				Weights: map[string]uint64{"m": 3},
			}
		}
	}
	h.server.SetEndpoints(all)
	h.configure(t, initialRevision, nil)
	h.url = endpoints.serve(t, h.server).URL
	return h
}

// configure puts a configuration with the given revision in force, after change has
// modified it.
func (h *harness) configure(t testing.TB, revision uint64, change func(*routes.Configuration)) {
	t.Helper()
	h.configurePool(t, revision, 0, change)
}

// configurePool is configure with a pool of cached prompts.
func (h *harness) configurePool(t testing.TB, revision, pool uint64, change func(*routes.Configuration)) {
	t.Helper()
	route := func(prefix string, kind routes.Kind, service string) routes.Route {
		return routes.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second,
			TargetLatency: 500 * time.Millisecond, MaxAttempts: 2, TrafficSplit: []routes.WeightedService{{Service: service, Weight: 1}},
		}
	}
	resumable := route("/resume/", routes.Stream, "models")
	resumable.Resumable = true
	public := route("/public/", routes.Idempotent, "desk")
	public.Public = true
	c := routes.Configuration{
		Revision: revision,
		Routes: []routes.Route{
			route("/once/", routes.AtMostOnce, "desk"), route("/read/", routes.Idempotent, "desk"),
			route("/stream/", routes.Stream, "models"), resumable, public,
		},
		Services: []routes.Service{
			{Name: "desk"}, {Name: "models", Slots: 8, KVCapacityTokens: 100_000, Models: []string{"m"}},
		},
		Organisations: []routes.Organisation{
			{ID: "org", Keys: []string{"key"}}, {ID: "walled", Keys: []string{"secret"}, Isolated: true},
		},
		Limits: routes.ClientLimits{BodyBytes: 1000},
	}
	if change != nil {
		change(&c)
	}
	table, err := routes.NewTable(c)
	assert.NilError(t, err)
	table.CachePool = pool
	h.server.Configure(table)
}

// send sends a request to the proxy; headers holds pairs of names and values.
func (h *harness) send(t testing.TB, method, path, body string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, h.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("X-Request", "r-"+path)
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	resp, err := h.callers.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// deliveredCount returns how many requests the endpoints have received.
func (h *harness) deliveredCount() int {
	count := 0
	for _, s := range h.endpoints {
		count += len(s.requests())
	}
	return count
}

func readBody(t *testing.T, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

func newRecorder() *httptest.ResponseRecorder { return httptest.NewRecorder() }

func newRequest(t *testing.T) *http.Request {
	t.Helper()
	return httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h.example/read/x", nil)
}
