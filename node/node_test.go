package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
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

// fakePlatform is a platform with one endpoint: its list, its weights and its orders.
type fakePlatform struct {
	address netip.AddrPort

	mu       sync.Mutex
	version  uint64
	sequence uint64
	fences   []tables.FencingToken
	draining bool
	// odd is on the list beside the endpoint.
	odd []fleet.Endpoint
	// organisations returns those of a configuration; nil for none.
	organisations func(revision uint64) []routes.Organisation
}

func (p *fakePlatform) setOrganisations(of func(revision uint64) []routes.Organisation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.organisations = of
}

// newFakePlatform starts an endpoint that responds with the version of the weights that a
// request expects.
func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{version: 1}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request", r.Header.Get("X-Request"))
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, "weights "+r.Header.Get("X-Expect-Weights"))
	}))
	t.Cleanup(endpoint.Close)
	p.address = netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://"))
	return p
}

// Endpoints returns the endpoint as the platform's list shows it.
func (p *fakePlatform) Endpoints(context.Context) ([]fleet.Endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]fleet.Endpoint{{
		ID: "e", Service: "models", Address: p.address, Zone: "z", Slots: 4, StartUnixMilli: 1, Draining: p.draining,
		Weights: map[string]uint64{"m": p.version},
	}}, p.odd...), nil
}

// Report returns the weights that the endpoint serves and the sequence number of its next order.
func (p *fakePlatform) Report(context.Context, fleet.Endpoint) (rollout.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return rollout.Report{Sequence: p.sequence, Weights: map[string]uint64{"m": p.version}}, nil
}

// Order executes an order at once, unless its sequence number is not the expected one.
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

// parseConfiguration returns a routing table with the document as path prefix and its length as
// revision, so that tests need no document format.
func (p *fakePlatform) parseConfiguration(document []byte) (*routes.Table, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := uint64(len(document))
	var organisations []routes.Organisation
	if p.organisations != nil {
		organisations = p.organisations(revision)
	}
	return routes.NewTable(routes.Configuration{
		Revision: revision, Organisations: organisations,
		Routes: []routes.Route{{
			Name: "r", Host: "h.example", Prefix: string(document), Kind: routes.Idempotent, Timeout: 5 * time.Second,
			MaxAttempts: 1, TrafficSplit: []routes.WeightedService{{Service: "models", Weight: 1}},
		}},
		Services: []routes.Service{{Name: "models", Slots: 4, KVCapacityTokens: 10_000, Models: []string{"m"}}},
	})
}

// platform returns the adapters to the fake platform.
func (p *fakePlatform) platform() Platform {
	return Platform{
		Headers: &dialect.Headers{
			RequestID: "X-Request", Deadline: "X-Deadline", Organisation: "X-Organisation", ExpectEndpoint: "X-Endpoint",
			ExpectWeights: "X-Expect-Weights", Signature: "X-Signature", NotExecuted: "X-Not-Run", Model: "X-Model", TokenCounts: "X-Tokens",
			PromptParts: "X-Prefix", Brittle: "X-Brittle", CacheSalt: "X-Salt", Priority: "X-Priority", LastEventID: "Last-Event-Id",
		},
		ParseConfiguration: p.parseConfiguration,
		NewLister:          func(netip.AddrPort) EndpointLister { return p },
		EngineClient:       p,
		OperatorHandler: func(*deployment.Service, *zap.Logger) http.Handler {
			return http.NotFoundHandler()
		},
	}
}

// freePort returns an address whose port was free for TCP at the time of the call. The tests
// use it for UDP too.
func freePort(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// cluster is a deployment of three control instances and one entry instance, each on its own
// loopback address.
type cluster struct {
	t        *testing.T
	platform *fakePlatform
	controls []*Node
	settings []*settings.Forwarding
	entry    *Node
	callers  netip.AddrPort
}

// newCluster starts all instances of a deployment.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: newFakePlatform(t)}
	d := newTestDeployment(t, "127.31.9.1")
	c.settings = d.controlSettings()
	for _, s := range c.settings {
		c.controls = append(c.controls, c.start(s))
	}
	s := d.entrySettings("entry-0", "127.31.9.1", "z")
	c.callers = s.Listen.Callers
	c.entry = c.start(s)
	return c
}

// testDeployment makes the settings of instances of one deployment.
type testDeployment struct {
	t *testing.T
	// firstPort is the port at which all instances serve each other. The ports after it are
	// those for operators, for callers and for readiness probes.
	firstPort uint16
	seeds     []netip.AddrPort
	list      netip.AddrPort
}

// Offsets to the first port.
const (
	operatorsPort = iota + 1
	callersPort
	readyPort
	portCount
)

// newTestDeployment finds ports that are free on all IP addresses of a deployment with the given
// entry instances.
func newTestDeployment(t *testing.T, entries ...string) *testDeployment {
	t.Helper()
	d := &testDeployment{t: t, list: freePort(t, "127.0.0.1")}
	controls := []string{"127.31.1.1", "127.31.2.1", "127.31.3.1"}
	d.firstPort = freePorts(t, append(controls, entries...))
	for _, ip := range controls {
		d.seeds = append(d.seeds, netip.AddrPortFrom(netip.MustParseAddr(ip), d.firstPort+operatorsPort))
	}
	return d
}

// freePorts returns the first of portCount consecutive ports that are free on all IP addresses.
// They lie below the kernel's range for connections: those of an instance that has ended, which
// were bound to its IP address, block their ports for a minute.
func freePorts(t *testing.T, ips []string) uint16 {
	t.Helper()
	const first, last = 20_000, 30_000
	for port := uint16(first); port < last; port += portCount {
		if arePortsFree(ips, port) {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

func arePortsFree(ips []string, first uint16) bool {
	for _, ip := range ips {
		for port := first; port < first+portCount; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *testDeployment) newSettings(name, ip string, zone tables.Zone) *settings.Forwarding {
	at := netip.AddrPortFrom(netip.MustParseAddr(ip), d.firstPort)
	return &settings.Forwarding{
		Instance: tables.InstanceID(name), Zone: zone, New: true, Tolerate: 1, MemoryMB: 100, Seeds: d.seeds,
		List:      d.list,
		Listen:    settings.ForwardingListen{Instances: at, Membership: at},
		Advertise: settings.ForwardingAdvertise{Instances: at, Membership: at},
		Orders:    settings.ForwardingOrders{Lease: time.Second, Fenced: true},
		Retries:   settings.ForwardingRetries{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		Drain:     settings.Drain{Announce: 10 * time.Millisecond, Timeout: 5 * time.Second},
	}
}

// controlSettings returns the settings of the control instances.
func (d *testDeployment) controlSettings() []*settings.Forwarding {
	var all []*settings.Forwarding
	for i, seed := range d.seeds {
		s := d.newSettings(fmt.Sprintf("control-%d", i), seed.Addr().String(), "z")
		s.Control, s.Data = true, d.t.TempDir()
		s.Listen.Operators = seed
		all = append(all, s)
	}
	return all
}

// entrySettings returns the settings of an entry instance.
func (d *testDeployment) entrySettings(name, ip string, zone tables.Zone) *settings.Forwarding {
	s := d.newSettings(name, ip, zone)
	s.Entry = true
	s.Listen.Callers = netip.AddrPortFrom(netip.MustParseAddr(ip), d.firstPort+callersPort)
	s.Listen.Ready = netip.AddrPortFrom(netip.MustParseAddr(ip), d.firstPort+readyPort)
	return s
}

// start starts an instance that stops at the end of the test.
func (c *cluster) start(s *settings.Forwarding) *Node {
	c.t.Helper()
	n, err := Start(Options{Settings: s, Platform: c.platform.platform(), Log: zaptest.NewLogger(c.t, zaptest.Level(zap.ErrorLevel))})
	assert.NilError(c.t, err)
	c.t.Cleanup(n.Stop)
	return n
}

// put submits a document to control instance i and waits until it is committed.
func (c *cluster) put(i int, name string, number uint64, content string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	defer cancel()
	assert.NilError(c.t, c.controls[i].deployment.Put(ctx, name, number, []byte(content)))
}

// get sends a request through the entry instance and returns the status and the body of the
// response. A failed connection gives status 0.
func (c *cluster) get(path string) (int, string) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+c.callers.String()+path, nil)
	assert.NilError(c.t, err)
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
	assert.NilError(c.t, err)
	return resp.StatusCode, string(body)
}

// waitFor repeats a request until the response has the given status and contains the given
// text.
func (c *cluster) waitFor(path string, status int, body string) {
	c.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for {
		got, text := c.get(path)
		if got == status && strings.Contains(text, body) {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("GET %s: status %d and body %q, want %d and %q", path, got, text, status, body)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Requests must be served from the first configuration on, through later configurations,
// rollouts of weights and the loss of the leader. An acknowledged document must stay in
// effect, an older one must not replace it, and the fencing tokens of orders must never
// decrease.
func TestDeploymentServesThroughUpdatesAndLeaderLoss(t *testing.T) {
	c := newCluster(t)
	status, _ := c.get("/a/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	c.put(0, deployment.ConfigurationDocument, 3, "/a/")
	c.waitFor("/a/x", 200, "weights 1")

	c.put(1, deployment.ConfigurationDocument, 5, "/bcd/")
	c.waitFor("/a/x", 404, "")
	c.waitFor("/bcd/x", 200, "")
	c.put(2, deployment.ConfigurationDocument, 4, "/ab/")
	content, err := c.controls[2].deployment.Newest(t.Context(), deployment.ConfigurationDocument)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "/bcd/")

	c.put(0, deployment.WeightsDocument("m"), 2, "")
	c.waitFor("/bcd/x", 200, "weights 2")

	leader := 0
	for i, n := range c.controls {
		if n.replica.Status().IsLeader {
			leader = i
		}
	}
	c.controls[leader].Stop()
	c.put((leader+1)%3, deployment.WeightsDocument("m"), 3, "")
	c.waitFor("/bcd/x", 200, "weights 3")
	c.platform.mu.Lock()
	fences := c.platform.fences
	c.platform.mu.Unlock()
	for i := 1; i < len(fences); i++ {
		assert.Assert(t, fences[i] >= fences[i-1], "fencing tokens decrease: %v", fences)
	}
}

// A control instance loses its disk and restarts with an empty one. It must join the existing
// group and must not return documents older than an acknowledged one.
func TestControlInstanceRejoinsWithEmptyDisk(t *testing.T) {
	c := newCluster(t)
	c.put(0, deployment.ConfigurationDocument, 3, "/a/")
	c.controls[1].Stop()
	restarted := *c.settings[1]
	restarted.Data, restarted.New = t.TempDir(), false
	c.controls[1] = c.start(&restarted)
	c.put(0, deployment.ConfigurationDocument, 5, "/bcd/")
	deadline := time.Now().Add(30 * time.Second)
	for !c.controls[1].replica.Status().IsVoter {
		assert.Assert(t, time.Now().Before(deadline), "the restarted instance has not become a voter")
		time.Sleep(10 * time.Millisecond)
	}
	content, err := c.controls[1].deployment.Newest(t.Context(), deployment.ConfigurationDocument)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "/bcd/")
}

// Requests to an endpoint that leaves would be cut off. Once the platform's list shows the
// endpoint as draining, the entry instance must not send requests to it.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	c := newCluster(t)
	c.put(0, deployment.ConfigurationDocument, 3, "/a/")
	c.waitFor("/a/x", 200, "")
	c.platform.mu.Lock()
	c.platform.draining = true
	c.platform.mu.Unlock()
	c.waitFor("/a/x", http.StatusServiceUnavailable, "not_run")
}

// Guards against a planned replacement of the leader after which the loss of another disk stops the
// control group, because the successor does not vote yet.
func TestReplacedLeaderLeavesAGroupThatSurvivesADiskLoss(t *testing.T) {
	d := newTestDeployment(t, "127.31.1.2")
	c := &cluster{t: t, platform: newFakePlatform(t), settings: d.controlSettings()}
	for _, s := range c.settings {
		c.controls = append(c.controls, c.start(s))
	}
	c.put(0, deployment.ConfigurationDocument, 3, "/a/")
	successor := d.newSettings("control-3", "127.31.1.2", "z")
	successor.Control, successor.New, successor.Data = true, false, t.TempDir()
	successor.Listen.Operators = netip.AddrPortFrom(netip.MustParseAddr("127.31.1.2"), d.firstPort+operatorsPort)
	c.controls = append(c.controls, c.start(successor))
	deadline := time.Now().Add(30 * time.Second)
	for c.controls[3].replica.Status().AppliedIndex < c.controls[0].replica.Status().AppliedIndex {
		assert.Assert(t, time.Now().Before(deadline), "the successor has not caught up")
		time.Sleep(10 * time.Millisecond)
	}
	leader := slices.IndexFunc(c.controls, func(n *Node) bool { return n.replica.Status().IsLeader })
	c.controls[leader].Drain(t.Context())
	c.controls[leader].Stop()
	acknowledging, left := (leader+1)%3, (leader+2)%3
	c.put(acknowledging, deployment.ConfigurationDocument, 4, "/ab/")
	c.controls[acknowledging].Stop()
	restarted := *c.settings[acknowledging]
	restarted.Data, restarted.New = t.TempDir(), false
	c.controls[acknowledging] = c.start(&restarted)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	content, err := c.controls[left].deployment.Newest(ctx, deployment.ConfigurationDocument)
	for err != nil && ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		content, err = c.controls[left].deployment.Newest(ctx, deployment.ConfigurationDocument)
	}
	assert.NilError(t, err)
	assert.Equal(t, string(content), "/ab/")
}
