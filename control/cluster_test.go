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

// instance is one instance of a test, over HTTP on loopback and with its files
// in a folder of its own.
type instance struct {
	name     tables.InstanceID
	address  string
	listener net.Listener
	http     *http.Server
	folder   *store.Folder
	cut      *cutter
	dialer   *transport.Dialer
	// server and service are nil without the control role.
	server   *server.Server
	service  *operator.Service
	follower *follower.Follower
	claims   *client.ClaimClient
	inForce  chan tables.Revision
}

// cluster is several instances; the first ones have the control role.
type cluster struct {
	t         testing.TB
	ring      *keys.Ring
	controls  int
	instances []*instance
	boot      atomic.Uint64
}

// cutter refuses requests to addresses that are cut.
type cutter struct {
	base http.RoundTripper
	mu   sync.Mutex
	cut  map[string]bool
}

func (c *cutter) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	cut := c.cut[r.URL.Host]
	c.mu.Unlock()
	if cut {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	return c.base.RoundTrip(r)
}

func (c *cutter) set(address string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[address] = cut
}

const testKey = "0123456789abcdef0123456789abcdef"

func newCluster(t testing.TB, controls, others int) *cluster {
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte(testKey+"\n"), 0o600))
	ring, err := keys.Read(path)
	assert.NilError(t, err)
	c := &cluster{t: t, ring: ring, controls: controls}
	for i := range controls + others {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		folder, err := store.OpenFolder(filepath.Join(t.TempDir(), "data"))
		assert.NilError(t, err)
		cut := &cutter{base: &http.Transport{MaxIdleConnsPerHost: 64}, cut: map[string]bool{}}
		c.instances = append(c.instances, &instance{
			name:     tables.InstanceID(fmt.Sprintf("instance-%03d", i)),
			address:  listener.Addr().String(),
			listener: listener,
			folder:   folder,
			cut:      cut,
			dialer:   transport.NewDialer(&http.Client{Transport: &keys.Transport{Ring: ring, Base: cut}}),
			inForce:  make(chan tables.Revision, 1<<16),
		})
	}
	for i := range c.instances {
		c.start(i)
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) start(i int) {
	in := c.instances[i]
	mux := http.NewServeMux()
	if i < c.controls {
		c.startControl(i)
		mux.Handle(rpc.ControlPathPrefix, transport.NewHandler(in.server))
		mux.Handle(rpc.OperatorPathPrefix, rpc.NewOperatorServer(in.service))
	}
	in.follower = c.startFollower(i)
	if i >= c.controls {
		mux.Handle(rpc.ControlPathPrefix, transport.NewHandler(follower.Relay{Follower: in.follower}))
	}
	var executors []client.Executor
	for j := range c.controls {
		executors = append(executors, in.dialer.Control(c.instances[(i+j)%c.controls].address))
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

func (c *cluster) startControl(i int) {
	in := c.instances[i]
	options := server.Options{
		Self:     server.Instance{Name: in.name, Address: in.address},
		Dialer:   in.dialer,
		LogStore: server.FolderLogStore{Folder: in.folder},
	}
	// Tests start a group each, and most of their time would be its first
	// election. Measures use the default.
	if _, test := c.t.(*testing.T); test {
		options.TickInterval = 20 * time.Millisecond
	}
	for j := range c.controls {
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

// startFollower lets an instance ask the control instances, and then the next
// instance.
func (c *cluster) startFollower(i int) *follower.Follower {
	in := c.instances[i]
	return follower.Start(follower.Options{
		Instance: in.name,
		Files:    in.folder,
		Sources: func() []follower.Source {
			var sources []follower.Source
			for j := range c.controls {
				sources = append(sources, in.dialer.Control(c.instances[(i+j)%c.controls].address))
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
		_ = in.folder.Close()
	}
}

// long bounds what has to happen in the end.
func (c *cluster) long() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	c.t.Cleanup(cancel)
	return ctx
}

// declare returns the items of a configuration whose one profile has the given
// timeout.
func declare(t testing.TB, timeout time.Duration) []*rpc.Item {
	items, err := configuration.Encode(tables.Configuration{
		WeightLoads: 2,
		Profiles:    []tables.Profile{{Name: "drafting", Timeout: timeout}},
		Endpoints:   []tables.Endpoint{{ID: "e1"}},
	})
	assert.NilError(t, err)
	return items
}

func (c *cluster) apply(i int, request string, base uint64, timeout time.Duration) *rpc.ChangeAnswer {
	answer, err := c.instances[i].service.Apply(c.long(), &rpc.ApplyRequest{
		Operator: "ama",
		Request:  request,
		Base:     base,
		Items:    declare(c.t, timeout),
	})
	assert.NilError(c.t, err)
	return answer
}

// awaitRevision waits until the instance has put the revision in force. None may
// come out of order.
func (c *cluster) awaitRevision(i int, want tables.Revision) {
	last := tables.Revision(0)
	ctx := c.long()
	for last < want {
		select {
		case revision := <-c.instances[i].inForce:
			assert.Assert(c.t, revision > last, "revision %d after %d", revision, last)
			last = revision
		case <-ctx.Done():
			c.t.Fatalf("instance %d has revision %d, want %d", i, last, want)
		}
	}
	// The follower hands a revision out just before it takes note of it.
	for noted := tables.Revision(0); noted < want; noted, _ = c.instances[i].follower.RevisionInForce() {
		if ctx.Err() != nil {
			c.t.Fatalf("instance %d does not take note of revision %d", i, want)
		}
		runtime.Gosched()
	}
}
