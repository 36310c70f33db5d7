// Package node assembles one instance of a forwarding deployment from its settings: the entry
// role, which proxies requests, the control role, which holds a replica of the control state,
// the gossip membership and the listeners. The adapters to the platform's protocols are
// injected as a Platform.
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

	"github.com/carawaystile/carawaystile/bufferbudget"
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
	"github.com/carawaystile/carawaystile/internal/callerconn"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/peers"
	"github.com/carawaystile/carawaystile/permits"
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/streamorigin"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// Platform holds the adapters to the platform's protocols and document formats.
type Platform struct {
	// Headers names the HTTP headers of requests and responses.
	Headers *dialect.Headers
	// ParseConfiguration parses and validates an operator's configuration document.
	ParseConfiguration func(document []byte) (*routes.Table, error)
	// NewLister returns a client for the platform's list of endpoints at an address.
	NewLister func(at netip.AddrPort) EndpointLister
	// EngineClient queries engines for their weights and orders them to load others.
	EngineClient rollout.EngineClient
	// CacheReporter reads the cache events of engines and KV cache stores; nil if they report
	// none.
	CacheReporter engine.ReportReader
	// Contended states that callers compete for the capacity of all services.
	Contended bool
	// OperatorHandler returns the HTTP handler for operators' calls.
	OperatorHandler func(documents *deployment.Service, log *zap.Logger) http.Handler
}

// EndpointLister reads the platform's list of endpoints.
type EndpointLister interface {
	// Endpoints returns all endpoints on the list.
	Endpoints(ctx context.Context) ([]fleet.Endpoint, error)
}

// Options configures an instance.
type Options struct {
	Settings *settings.Forwarding
	Platform Platform
	// Log receives the log; nil discards it.
	Log *zap.Logger
	// Dial opens connections to endpoints and instances; nil means TCP. Tests use it to
	// partition instances.
	Dial engine.DialFunc
}

// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the
// instance's memory. Above it the garbage collector spends more processor time.
const memoryLimitFraction = 0.6

// dialTimeout bounds the time to open a connection to another instance. It is twice a round
// trip between regions. After a power loss of all machines, entry instances start while the
// control instances' machines are still down; each attempt to connect then takes this long, and
// delays the one that succeeds. idleConnTimeout is the time for which an idle connection is
// kept.
const (
	dialTimeout     = 250 * time.Millisecond
	idleConnTimeout = 20 * time.Second
)

// Node is a running instance. Its methods are safe for concurrent use.
type Node struct {
	options  Options
	settings atomic.Pointer[settings.Forwarding]
	log      *zap.Logger
	// started is the origin of the times that now returns.
	started time.Time
	// boot is the boot epoch, which increases with every start: the start time in Unix
	// nanoseconds.
	boot     uint64
	registry *metrics.Registry
	// buffers accounts for what clients and endpoints make the instance hold.
	buffers *bufferbudget.Budget

	// client calls other instances.
	client *http.Client
	// dial opens connections to endpoints and instances.
	dial           engine.DialFunc
	dialer         *transport.Dialer
	controlClients controlClientCache
	gossip         atomic.Pointer[gossip.Gossip]
	// sizes is the state of the division of common work by size.
	sizes instanceSizes
	// peerCount is the number of entry instances including this one.
	peerCount peerCountMax
	// recentPeers is the recent number of other entry instances, by zone.
	recentPeers recentPeers
	// limitSharers is the recent maximum number of entry instances that share rate limits.
	limitSharers atomic.Int64
	// knownEntries is the number of entry instances that this instance knows, and entryRank its
	// rank among them. recordedEntries is the number that the control group has recorded, 0 for
	// none.
	knownEntries, entryRank, recordedEntries atomic.Int64
	// zoneHints queues hints for the instances that receive them directly, mainly those of the
	// zone.
	zoneHints gossip.HintQueue
	// remotePlacements queues placements for other zones.
	remotePlacements gossip.HintQueue
	// remoteLoads queues loads for the schedulers of other zones.
	remoteLoads gossip.HintQueue

	// The following fields belong to the entry role and are nil without it.
	entry *forward.Server
	// suspects reports suspects to the other entry instances.
	suspects         *peers.Broadcaster
	deploymentClient *deployment.Client
	// listed are the endpoints of the platform's list.
	listed listedEndpoints
	// relayDialer opens connections to endpoints through other instances, and relayServer for
	// them.
	relayDialer *relay.Dialer
	relayServer *relay.Server
	// permitServer holds the permits of the brittle endpoints that this instance owns, and
	// permitClient requests permits.
	permitServer *permits.Server
	permitClient *permits.Client
	// scheduleClient asks schedulers to select endpoints, and scheduleServer selects endpoints
	// for other instances.
	scheduleClient *schedule.Client
	scheduleServer *schedule.Server
	// processes tells when the process of another instance has ended.
	processes processRecord
	// streamOrigins is shared with the other entry instances; nil without the entry role.
	streamOrigins *streamorigin.Directory
	// usageServer holds replicas of the token buckets of organisations, and usageClient admits
	// requests against them.
	usageServer *usage.Server
	usageClient *usage.Client
	// zoneEntryInstances holds the live entry instances of this instance's zone. It is used by
	// handleMembersChanged only.
	zoneEntryInstances map[tables.InstanceID]bool
	// callerServer serves callers.
	callerServer *http.Server
	// callerConnections are those of the callerServer.
	callerConnections *callerconn.Connections

	// The following fields belong to the control role and are nil without it, except for
	// initializedAt, which belongs to the entry role.
	folder     *store.DataDir
	replica    *server.Server
	fleet      *fleet.Table
	deployment *deployment.Service
	rollout    *rollout.Controller
	// stopRollout ends the rollout, which releases its lease, and returns once it has ended.
	stopRollout func()
	kvStores    kvStoreSet
	// streamArchive keeps the origins of the streams of all entry instances.
	streamArchive *streamorigin.Archive
	// software is what the control role has seen of the endpoints' software.
	software streamorigin.Versions
	// initializedAt is when the entry role first had a configuration and endpoints; 0 if it
	// has not yet.
	initializedAt atomic.Int64
	// leaderHeardAt is when the leader last answered; 0 if it has not yet.
	leaderHeardAt atomic.Int64
	// leaderListAt is when the leader had read the platform's list, by its latest answer; 0 if it
	// is not known.
	leaderListAt atomic.Int64
	// listReadAt is when the platform's list was last read; 0 if it has not been read yet.
	listReadAt atomic.Int64

	mu      sync.Mutex
	servers []*http.Server
	// lifetime ends when the instance stops.
	lifetime   context.Context
	stop       context.CancelFunc
	stopOnce   sync.Once
	background sync.WaitGroup
}

// Start starts an instance and returns once it listens.
func Start(o Options) (*Node, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	n := &Node{options: o, log: o.Log, started: time.Now(), registry: metrics.NewRegistry()}
	n.settings.Store(o.Settings)
	n.boot = uint64(n.started.UnixNano())
	n.lifetime, n.stop = context.WithCancel(context.Background())
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(o.Settings.MemoryMB) * (1 << 20)))
	n.dial = o.Dial
	if n.dial == nil {
		n.dial = engine.DialFrom(o.Settings.Source)
	}
	n.sizes.enabled = capacitySwitches[o.Settings.Capacity.Sizes].Enabled(o.Platform.Contended)
	if n.sizes.enabled {
		n.dial = n.sizes.link.dial(n.dial)
	}
	n.buffers = bufferbudget.New(int64(o.Settings.MemoryMB) << 20 / bufferMemoryDivisor)
	n.client = n.newPeerClient()
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

// dialInstance opens a connection to another instance within dialTimeout.
func (n *Node) dialInstance(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return n.dial(ctx, to)
}

// start starts the components, each after its dependencies.
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

// now returns the monotonic time since the instance was started.
func (n *Node) now() tables.Instant { return time.Since(n.started) }

// bootID returns the boot epoch as text.
func (n *Node) bootID() string { return strconv.FormatUint(n.boot, 36) }

// Reload applies the settings that may change at run time, which are the seeds. All others
// need a restart.
func (n *Node) Reload(s *settings.Forwarding) {
	n.settings.Store(s)
	events.SettingsReloaded.Log(n.log, zap.Int("seeds", len(s.Seeds)))
}

// Drain takes the instance out of service without aborting a request, and hands the tasks of its
// control replica over while the others can still reach it. It returns early when the context ends.
func (n *Node) Drain(ctx context.Context) {
	events.DaemonDrainStarted.Log(n.log)
	var control sync.WaitGroup
	defer control.Wait()
	if n.replica != nil {
		control.Go(func() {
			n.stopRollout()
			n.replica.HandOver(ctx)
		})
	}
	if n.entry == nil {
		return
	}
	// By then the balancer has noticed, and connections of callers only bring requests that are rejected.
	closing := time.AfterFunc(n.options.Settings.Drain.Announce, n.callerConnections.CloseIdle)
	defer closing.Stop()
	if err := n.entry.Drain(ctx); err != nil {
		events.DaemonDrainAborted.Log(n.log, zap.Error(err))
		return
	}
	if err := n.relayServer.Drain(ctx); err != nil {
		events.DaemonDrainAborted.Log(n.log, zap.Error(err))
		return
	}
	n.callerConnections.Flush(ctx, n.callerServer)
}

// ReplicaStopped returns a channel that is closed when the control replica has stopped by
// itself. Without a replica it is nil.
func (n *Node) ReplicaStopped() <-chan struct{} {
	if n.replica == nil {
		return nil
	}
	return n.replica.Stopped()
}

// Stop stops the instance immediately and aborts open requests. Further calls have no effect.
func (n *Node) Stop() { n.stopOnce.Do(n.shutDown) }

// shutDown stops the components and waits for the background goroutines.
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
	if n.relayServer != nil {
		n.relayServer.Close()
	}
	n.background.Wait()
	if n.replica != nil {
		n.replica.Close()
	}
	n.client.CloseIdleConnections()
	if n.entry != nil {
		n.entry.LogRequestEnds()
	}
	if n.folder != nil {
		_ = n.folder.Close()
	}
	events.DaemonStopped.Log(n.log)
}

// DrainTimeout returns the maximum duration of a drain.
func (n *Node) DrainTimeout() time.Duration { return n.options.Settings.Drain.Timeout }
