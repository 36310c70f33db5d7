package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/rollout"
	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/tables"
)

// fakePlatform is an endpoint with weights, its list and its orders.
type fakePlatform struct {
	at netip.AddrPort

	mu       sync.Mutex
	version  uint64
	sequence uint64
	fences   []tables.FencingToken
	draining bool
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{version: 1}
	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, "weights "+r.Header.Get("X-Expect-Weights"))
	}))
	t.Cleanup(served.Close)
	p.at = netip.MustParseAddrPort(strings.TrimPrefix(served.URL, "http://"))
	return p
}

func (p *fakePlatform) Endpoints(context.Context) ([]fleet.Endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return []fleet.Endpoint{{
		ID: "e", Service: "models", Address: p.at, Zone: "z", Slots: 4, StartUnixMilli: 1, Draining: p.draining,
		Weights: map[string]uint64{"m": p.version},
	}}, nil
}

func (p *fakePlatform) Report(context.Context, fleet.Endpoint) (rollout.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return rollout.Report{Sequence: p.sequence, Weights: map[string]uint64{"m": p.version}}, nil
}

func (p *fakePlatform) Order(_ context.Context, _ fleet.Endpoint, order rollout.Order) (rollout.OrderResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fences = append(p.fences, order.Fence)
	if order.Sequence != p.sequence {
		return rollout.Conflict, nil
	}
	p.sequence++
	p.version = order.Version
	return rollout.Accepted, nil
}

// configuration makes a table whose number is the document's length, so that
// tests need no format of documents.
func configuration(document []byte) (*routes.Table, error) {
	return routes.NewTable(routes.Configuration{
		Revision: uint64(len(document)),
		Routes: []routes.Route{{
			Name: "r", Host: "h.example", Prefix: string(document), Kind: routes.Idempotent, Timeout: 5 * time.Second,
			MaxAttempts: 1, TrafficSplit: []routes.WeightedService{{Service: "models", Weight: 1}},
		}},
		Services: []routes.Service{{Name: "models", Slots: 4, KVCapacityTokens: 10_000, Models: []string{"m"}}},
	})
}

func (p *fakePlatform) platform() Platform {
	return Platform{
		Headers: &dialect.Headers{
			Request: "X-Request", Deadline: "X-Deadline", Organisation: "X-Organisation", ExpectEndpoint: "X-Endpoint",
			ExpectWeights: "X-Expect-Weights", Signature: "X-Signature", NotRun: "X-Not-Run", Model: "X-Model", Tokens: "X-Tokens",
			Prefix: "X-Prefix", CacheSalt: "X-Salt", Priority: "X-Priority", LastEvent: "Last-Event-Id",
		},
		ParseConfiguration: configuration,
		NewLister:          func(netip.AddrPort) EndpointLister { return p },
		EngineClient:       p,
		OperatorHandler: func(*deployment.Service, *zap.Logger) http.Handler {
			return http.NotFoundHandler()
		},
	}
}

// freePort gives a port that was free a moment ago, for TCP and UDP alike.
func freePort(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// cluster is three control instances and an entry instance, each on a loopback
// address of its own.
type cluster struct {
	t        *testing.T
	platform *fakePlatform
	controls []*Node
	settings []*settings.Forwarding
	entry    *Node
	callers  netip.AddrPort
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	w := &cluster{t: t, platform: newFakePlatform(t)}
	internal := freePort(t, "127.0.0.1").Port()
	var seeds []netip.AddrPort
	for i := range 3 {
		seeds = append(seeds, freePort(t, fmt.Sprintf("127.31.%d.1", i+1)))
	}
	base := func(name, ip string) *settings.Forwarding {
		at := netip.AddrPortFrom(netip.MustParseAddr(ip), internal)
		return &settings.Forwarding{
			Instance: tables.InstanceID(name), Zone: "z", New: true, Tolerate: 1, MemoryMB: 100, Seeds: seeds,
			List:      freePort(t, "127.0.0.1"),
			Listen:    settings.ForwardingListen{Instances: at, Membership: at},
			Advertise: settings.ForwardingAdvertise{Instances: at, Membership: at},
			Orders:    settings.ForwardingOrders{Lease: time.Second, Fenced: true},
			Retries:   settings.ForwardingRetries{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
			Drain:     settings.Drain{Announce: 10 * time.Millisecond, Timeout: 5 * time.Second},
		}
	}
	for i, seed := range seeds {
		s := base(fmt.Sprintf("control-%d", i), seed.Addr().String())
		s.Control, s.Data = true, t.TempDir()
		s.Listen.Operators = seed
		w.settings = append(w.settings, s)
		w.controls = append(w.controls, w.start(s))
	}
	s := base("entry-0", "127.31.9.1")
	s.Entry = true
	s.Listen.Callers = freePort(t, "127.31.9.1")
	s.Listen.Ready = freePort(t, "127.31.9.1")
	w.callers = s.Listen.Callers
	w.entry = w.start(s)
	return w
}

func (w *cluster) start(s *settings.Forwarding) *Node {
	w.t.Helper()
	n, err := Start(Options{Settings: s, Platform: w.platform.platform(), Log: zaptest.NewLogger(w.t, zaptest.Level(zap.ErrorLevel))})
	assert.NilError(w.t, err)
	w.t.Cleanup(n.Stop)
	return n
}

// put has control instance i take a document, as often as it needs.
func (w *cluster) put(i int, name string, number uint64, content string) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.t.Context(), 30*time.Second)
	defer cancel()
	assert.NilError(w.t, w.controls[i].deployment.Put(ctx, name, number, []byte(content)))
}

// get asks the entry; the status and the body of the answer.
func (w *cluster) get(path string) (int, string) {
	w.t.Helper()
	request, err := http.NewRequestWithContext(w.t.Context(), http.MethodGet, "http://"+w.callers.String()+path, nil)
	assert.NilError(w.t, err)
	request.Host = "h.example"
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Tokens", "10,1")
	request.Header.Set("X-Request", "r")
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(w.t, err)
	return resp.StatusCode, string(body)
}

// waitFor waits waitFor an answer is as wanted.
func (w *cluster) waitFor(path string, status int, body string) {
	w.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for {
		got, text := w.get(path)
		if got == status && strings.Contains(text, body) {
			return
		}
		if time.Now().After(deadline) {
			w.t.Fatalf("%s still gives %d %q in place of %d %q", path, got, text, status, body)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A whole deployment, from the first document to new weights, with a control
// instance lost on the way. Callers are served all the while, and what was
// acknowledged stays in force.
func TestDeploymentServesThroughUpdatesAndLeaderLoss(t *testing.T) {
	w := newCluster(t)
	status, _ := w.get("/a/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	w.put(0, deployment.ConfigurationName, 3, "/a/")
	w.waitFor("/a/x", 200, "weights 1")

	w.put(1, deployment.ConfigurationName, 5, "/bcd/")
	w.waitFor("/a/x", 404, "")
	w.waitFor("/bcd/x", 200, "")
	w.put(2, deployment.ConfigurationName, 4, "/ab/")
	content, err := w.controls[2].deployment.Newest(t.Context(), deployment.ConfigurationName)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "/bcd/")

	w.put(0, deployment.WeightsName("m"), 2, "")
	w.waitFor("/bcd/x", 200, "weights 2")

	lost := 0
	for i, n := range w.controls {
		if n.replica.Status().IsLeader {
			lost = i
		}
	}
	w.controls[lost].Stop()
	w.put((lost+1)%3, deployment.WeightsName("m"), 3, "")
	w.waitFor("/bcd/x", 200, "weights 3")
	w.platform.mu.Lock()
	fences := w.platform.fences
	w.platform.mu.Unlock()
	for i := 1; i < len(fences); i++ {
		assert.Assert(t, fences[i] >= fences[i-1], "fences %v", fences)
	}
}

// A control instance loses its disk and comes back with an empty one. It must
// join the group that there is and give away nothing older than what was
// acknowledged.
func TestControlInstanceRejoinsWithEmptyDisk(t *testing.T) {
	w := newCluster(t)
	w.put(0, deployment.ConfigurationName, 3, "/a/")
	w.controls[1].Stop()
	restarted := *w.settings[1]
	restarted.Data, restarted.New = t.TempDir(), false
	w.controls[1] = w.start(&restarted)
	w.put(0, deployment.ConfigurationName, 5, "/bcd/")
	deadline := time.Now().Add(30 * time.Second)
	for !w.controls[1].replica.Status().IsVoter {
		assert.Assert(t, time.Now().Before(deadline), "it does not vote")
		time.Sleep(10 * time.Millisecond)
	}
	content, err := w.controls[1].deployment.Newest(t.Context(), deployment.ConfigurationName)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "/bcd/")
}

// The platform's list shows that the endpoint leaves. Callers must get no work
// cut off there: the instance stops sending it any.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	w := newCluster(t)
	w.put(0, deployment.ConfigurationName, 3, "/a/")
	w.waitFor("/a/x", 200, "")
	w.platform.mu.Lock()
	w.platform.draining = true
	w.platform.mu.Unlock()
	w.waitFor("/a/x", http.StatusServiceUnavailable, "not_run")
}
