// Package node assembles one instance of a forwarding deployment from its
// settings: the entry with its decisions, the control role, membership and the
// listeners. What speaks to the platform is handed in.
package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/control/rollout"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/transport"
	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/forward"
	"github.com/carawaystile/carawaystile/internal/shutdown"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// Platform is what speaks to the outside in the platform's words.
type Platform struct {
	Headers *dialect.Headers
	// ParseConfiguration reads an operator's document.
	ParseConfiguration func(document []byte) (*routes.Table, error)
	// NewLister reads the platform's list of endpoints at an address.
	NewLister func(at netip.AddrPort) EndpointLister
	// EngineClient speaks with engines about their weights.
	EngineClient rollout.EngineClient
	// CacheReporter asks engines and stores what they keep of prompts; nil where they do
	// not tell.
	CacheReporter engine.Reporter
	// OperatorHandler serves operators' calls.
	OperatorHandler func(documents *deployment.Service, log *zap.Logger) http.Handler
}

// EndpointLister reads the list of endpoints.
type EndpointLister interface {
	Endpoints(ctx context.Context) ([]fleet.Endpoint, error)
}

// Options are what an instance is started from.
type Options struct {
	Settings *settings.Forwarding
	Platform Platform
	Log      *zap.Logger
}

// memoryLimitFraction is the part of its memory beyond which an instance spends more
// processor time on keeping it small.
const memoryLimitFraction = 0.6

// dialTimeout bounds the opening of a connection to another instance: twice a round
// trip between regions. After all machines lost power, entry instances start while the
// control instances' machines are still dark, and each attempt lasts that long before
// the next finds them up. idleConnTimeout is how long a connection is kept.
const (
	dialTimeout  = 250 * time.Millisecond
	idleConnTimeout = 20 * time.Second
)

// Node is one running instance. Its methods are safe for concurrent use.
type Node struct {
	options  Options
	settings atomic.Pointer[settings.Forwarding]
	log      *zap.Logger
	started  time.Time
	boot     uint64
	registry *metrics.Registry

	client *http.Client
	// dial opens connections to endpoints and instances.
	dial      engine.Dial
	dialer    *transport.Dialer
	controlClients   controlClientCache
	gossip   atomic.Pointer[gossip.Gossip]
	peerCount peerCountMax
	// limitSharers is how many entry instances share limits, as far as was known of late.
	limitSharers atomic.Int64
	// zoneHints wait to be sent to the other instances.
	zoneHints gossip.Hints
	// remotePlacements waits to be sent to other zones.
	remotePlacements gossip.Hints
	// remoteLoads waits to be sent to the schedulers of other zones.
	remoteLoads gossip.Hints

	// The entry role; nil without it.
	entry  *forward.Server
	deploymentClient *deployment.Client
	// scheduleClient asks schedulers to choose, schedules chooses for other instances.
	scheduleClient *schedule.Client
	scheduleServer  *schedule.Server
	// usageServer keeps usageServer of organisations' usage, limiter asks those that do.
	usageServer *usage.Server
	usageClient  *usage.Client
	// zoneEntryInstances are the living entry instances of the own zone. Only membersChanged
	// uses it.
	zoneEntryInstances map[tables.InstanceID]bool
	// callerServer serves the entry.
	callerServer *http.Server

	// The control role; nil without it.
	folder     *store.Folder
	replica    *server.Server
	fleet      *fleet.Table
	deployment *deployment.Service
	rollout     *rollout.Controller
	kvStores     kvStoreSet
	// initializedAt is when the entry first had a configuration and endpoints; 0 for never.
	initializedAt atomic.Int64
	// leaderHeardAt is when the instance that gives orders was last heard of.
	leaderHeardAt atomic.Int64
	// listReadAt is when the platform's list was last read.
	listReadAt atomic.Int64

	mu         sync.Mutex
	servers    []*http.Server
	lifetime   context.Context
	stop       context.CancelFunc
	stopOnce     sync.Once
	background sync.WaitGroup
}

// Start starts the instance and returns once it listens.
func Start(o Options) (*Node, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	n := &Node{options: o, log: o.Log, started: time.Now(), registry: metrics.NewRegistry()}
	n.settings.Store(o.Settings)
	n.boot = uint64(n.started.UnixNano())
	n.lifetime, n.stop = context.WithCancel(context.Background())
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(o.Settings.MemoryMB) * (1 << 20)))
	n.dial = engine.DialFrom(o.Settings.Source)
	n.client = &http.Client{Transport: &http.Transport{DialContext: n.dialInstance, IdleConnTimeout: idleConnTimeout}}
	n.dialer = transport.NewDialer(n.client)
	if err := n.start(); err != nil {
		n.Stop()
		return nil, trace.Wrap(err)
	}
	s := o.Settings
	events.DaemonStarted.Log(n.log, zap.Stringer("address", s.Advertise.Instances), zap.String("zone", string(s.Zone)),
		zap.Bool("entry", s.Entry), zap.Bool("control", s.Control), zap.Uint64("boot", n.boot))
	return n, nil
}

func (n *Node) dialInstance(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return n.dial(ctx, to)
}

// start starts the parts, each after those it uses.
func (n *Node) start() error {
	if n.options.Settings.Control {
		if err := n.startControl(); err != nil {
			return err
		}
	}
	if n.options.Settings.Entry {
		if err := n.startEntry(); err != nil {
			return err
		}
	}
	if err := n.serveInstances(); err != nil {
		return err
	}
	return n.startMembership()
}

// now reads the monotonic clock, as time since the instance started.
func (n *Node) now() tables.Instant { return time.Since(n.started) }

func (n *Node) bootID() string { return strconv.FormatUint(n.boot, 36) }

// Reload takes over settings that may change while the instance runs: the
// seeds. Everything else needs a restart.
func (n *Node) Reload(s *settings.Forwarding) {
	n.settings.Store(s)
	events.SettingsReread.Log(n.log, zap.Int("seeds", len(s.Seeds)))
}

// Drain takes the instance out of service without cutting a request. It returns
// early when the context ends.
func (n *Node) Drain(ctx context.Context) {
	events.DaemonDrainStarted.Log(n.log)
	if n.entry == nil {
		return
	}
	if err := n.entry.Drain(ctx); err != nil {
		events.DaemonDrainCut.Log(n.log, zap.Error(err))
		return
	}
	shutdown.Flush(ctx, n.callerServer)
}

// ReplicaStopped is closed when the control replica has stopped by itself; nil without
// one.
func (n *Node) ReplicaStopped() <-chan struct{} {
	if n.replica == nil {
		return nil
	}
	return n.replica.Stopped()
}

// Stop ends the instance at once; open requests are cut.
func (n *Node) Stop() { n.stopOnce.Do(n.shutDown) }

func (n *Node) shutDown() {
	n.stop()
	if joined := n.gossip.Load(); joined != nil {
		joined.Close()
	}
	n.mu.Lock()
	servers := n.servers
	n.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
	n.background.Wait()
	if n.replica != nil {
		n.replica.Close()
	}
	n.client.CloseIdleConnections()
	if n.folder != nil {
		_ = n.folder.Close()
	}
	events.DaemonStopped.Log(n.log)
}

// DrainTimeout is how long a drain may take.
func (n *Node) DrainTimeout() time.Duration { return n.options.Settings.Drain.Timeout }
