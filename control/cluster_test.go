package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/client"
	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/control/follower"
	"github.com/carawaystile/carawaystile/control/operator"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/transport"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

// instance is one instance of a test cluster. It communicates over HTTP on loopback
// and has its own data folder.
type instance struct {
	name       tables.InstanceID
	address    string
	listener   net.Listener
	http       *http.Server
	dataFolder *store.DataDir
	partition  *partitionTransport
	dialer     *transport.Dialer
	// The fields server and service are nil without the control role.
	server   *server.Server
	service  *operator.Service
	follower *follower.Follower
	claims   *client.ClaimClient
	inForce  chan tables.Revision
}

// cluster is a set of instances, the first controlCount of which have the control
// role.
type cluster struct {
	t            testing.TB
	ring         *keys.Ring
	controlCount int
	instances    []*instance
	boot         atomic.Uint64
}

// partitionTransport is an HTTP transport that simulates network partitions:
// requests to blocked addresses fail.
type partitionTransport struct {
	base    http.RoundTripper
	mu      sync.Mutex
	blocked map[string]bool
}

func (p *partitionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p.mu.Lock()
	blocked := p.blocked[r.URL.Host]
	p.mu.Unlock()
	if blocked {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	return p.base.RoundTrip(r)
}

func (p *partitionTransport) setBlocked(address string, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[address] = blocked
}

const testKey = "0123456789abcdef0123456789abcdef"

// newCluster starts a cluster with the given numbers of control instances and other
// instances.
func newCluster(t testing.TB, controls, others int) *cluster {
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte(testKey+"\n"), 0o600))
	ring, err := keys.Read(path)
	assert.NilError(t, err)
	c := &cluster{t: t, ring: ring, controlCount: controls}
	for i := range controls + others {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		folder, err := store.OpenDataDir(filepath.Join(t.TempDir(), "data"))
		assert.NilError(t, err)
		partition := &partitionTransport{base: &http.Transport{MaxIdleConnsPerHost: 64}, blocked: map[string]bool{}}
		c.instances = append(c.instances, &instance{
			name:       tables.InstanceID(fmt.Sprintf("instance-%03d", i)),
			address:    listener.Addr().String(),
			listener:   listener,
			dataFolder: folder,
			partition:  partition,
			dialer:     transport.NewDialer(&http.Client{Transport: &keys.Transport{Ring: ring, Base: partition}}),
			inForce:    make(chan tables.Revision, 1<<16),
		})
	}
	for i := range c.instances {
		c.start(i)
	}
	t.Cleanup(c.close)
	return c
}

// start starts one instance with its follower, claim client and HTTP server.
func (c *cluster) start(i int) {
	in := c.instances[i]
	mux := http.NewServeMux()
	if i < c.controlCount {
		c.startControl(i)
		mux.Handle(rpc.ControlPathPrefix, transport.NewHandler(in.server))
		mux.Handle(rpc.OperatorPathPrefix, rpc.NewOperatorServer(in.service))
	}
	in.follower = c.startFollower(i)
	if i >= c.controlCount {
		mux.Handle(rpc.ControlPathPrefix, transport.NewHandler(follower.Relay{Follower: in.follower}))
	}
	var executors []client.Executor
	for j := range c.controlCount {
		executors = append(executors, in.dialer.Control(c.instances[(i+j)%c.controlCount].address))
	}
	started := time.Now()
	in.claims = client.NewClaimClient(client.ClaimClientOptions{
		Executor: client.NewFailoverExecutor(executors...),
		Instance: in.name,
		Boot:     c.boot.Add(1),
		Now:      func() tables.Instant { return time.Since(started) },
	})
	in.http = &http.Server{Handler: keys.Require(c.ring, mux)}
	go func() { _ = in.http.Serve(in.listener) }()
}

// startControl starts the replica and the operators' service of a control instance.
func (c *cluster) startControl(i int) {
	in := c.instances[i]
	options := server.Options{
		Self:     server.Instance{Name: in.name, Address: in.address},
		Dialer:   in.dialer,
		LogStore: server.FolderLogStore{Folder: in.dataFolder},
	}
	// A shorter tick speeds up the first election, which would otherwise dominate
	// the duration of each test. Benchmarks use the default.
	if _, test := c.t.(*testing.T); test {
		options.TickInterval = 20 * time.Millisecond
	}
	for j := range c.controlCount {
		if j != i {
			other := c.instances[j]
			options.Peers = append(options.Peers, server.Instance{Name: other.name, Address: other.address})
		}
	}
	var err error
	in.server, err = server.Start(options)
	assert.NilError(c.t, err)
	in.service = operator.NewService(operator.Options{Server: in.server, Instance: in.name})
}

// startFollower starts a follower whose sources are the control instances and then
// the next instance.
func (c *cluster) startFollower(i int) *follower.Follower {
	in := c.instances[i]
	return follower.Start(follower.Options{
		Instance: in.name,
		Files:    in.dataFolder,
		Sources: func() []follower.Source {
			var sources []follower.Source
			for j := range c.controlCount {
				sources = append(sources, in.dialer.Control(c.instances[(i+j)%c.controlCount].address))
			}
			return append(sources, in.dialer.Control(c.instances[(i+1)%len(c.instances)].address))
		},
		OnConfiguration: func(configuration *tables.Configuration) { in.inForce <- configuration.Revision },
	})
}

func (c *cluster) close() {
	for _, in := range c.instances {
		in.claims.Close()
		in.follower.Close()
		if in.server != nil {
			in.server.Close()
		}
		_ = in.http.Close()
		_ = in.dataFolder.Close()
	}
}

// testContext returns a context that bounds operations that are expected to
// complete eventually.
func (c *cluster) testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	c.t.Cleanup(cancel)
	return ctx
}

// encodedItems returns the items of a configuration whose only profile has the
// given timeout.
func encodedItems(t testing.TB, timeout time.Duration) []*rpc.Item {
	items, err := configuration.Encode(tables.Configuration{
		WeightLoads: 2,
		Profiles:    []tables.Profile{{Name: "drafting", Timeout: timeout}},
		Endpoints:   []tables.Endpoint{{ID: "e1"}},
	})
	assert.NilError(t, err)
	return items
}

// apply applies such a configuration through one control instance.
func (c *cluster) apply(i int, request string, base uint64, timeout time.Duration) *rpc.ChangeAnswer {
	answer, err := c.instances[i].service.Apply(c.testContext(), &rpc.ApplyRequest{
		Operator: "ama",
		Request:  request,
		Base:     base,
		Items:    encodedItems(c.t, timeout),
	})
	assert.NilError(c.t, err)
	return answer
}

// awaitRevision waits until the instance has applied the revision. Revisions must
// be applied in increasing order.
func (c *cluster) awaitRevision(i int, want tables.Revision) {
	last := tables.Revision(0)
	ctx := c.testContext()
	for last < want {
		select {
		case revision := <-c.instances[i].inForce:
			assert.Assert(c.t, revision > last, "revision %d after %d", revision, last)
			last = revision
		case <-ctx.Done():
			c.t.Fatalf("instance %d applied revision %d, want %d", i, last, want)
		}
	}
	// The follower calls OnConfiguration just before it records the revision.
	for noted := tables.Revision(0); noted < want; noted, _ = c.instances[i].follower.RevisionInForce() {
		if ctx.Err() != nil {
			c.t.Fatalf("instance %d has not recorded revision %d", i, want)
		}
		runtime.Gosched()
	}
}
