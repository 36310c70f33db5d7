// Package daemon assembles one instance from its settings: the entry role with its
// router and the load reports of endpoints, the control role, membership with
// failure detection, and the HTTP listeners. The command carawaystiled only adds
// flags and signals; the demo and the scenarios start several instances in one
// process.
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/control/client"
	"github.com/carawaystile/carawaystile/control/follower"
	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/control/operator"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/transport"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/feed"
	"github.com/carawaystile/carawaystile/entry"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/callerconn"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

// Options configures a Daemon.
type Options struct {
	Process *settings.Process
	// Declarations are the initial configuration. Control instances apply it if no
	// configuration has ever been accepted; nil means none.
	Declarations *tables.Configuration
	Log          *zap.Logger
	// Dial opens connections to other instances and to endpoints; nil means TCP.
	// Tests use it to partition availability zones.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IsReachable reports whether membership datagrams to an address are delivered;
	// nil means that all are. Like Dial, it is used by tests to partition
	// availability zones.
	IsReachable func(to netip.AddrPort) bool
	// Listen opens the TCP listeners of the instance; nil means net.Listen. Tests
	// return listeners that are already open, so that no other process can take the
	// port.
	Listen func(at netip.AddrPort) (net.Listener, error)
	// LoadReportInterval is the interval between two load reports of an endpoint; 0
	// means the default.
	LoadReportInterval time.Duration
}

// Daemon is a running instance. Its methods are safe for concurrent use.
type Daemon struct {
	options   Options
	started   time.Time
	bootEpoch uint64
	registry  *metrics.Registry
	folder    *store.DataDir

	operatorKeys *keys.Ring
	instanceKeys *keys.Ring
	client       *engine.HTTPClient

	// The following fields belong to the entry role; they are nil without it.
	router    *router.Router
	entry     *entry.Server
	feedGroup *feed.PollerGroup
	// buffers accounts for the headers that clients send.
	buffers *bufferbudget.Budget
	// callerServer is the HTTP server for callers' requests.
	callerServer *http.Server
	// callerConnections are those of the callerServer.
	callerConnections *callerconn.Connections

	peerTransport *http.Transport
	dialer        *transport.Dialer
	follower      *follower.Follower
	claims        *client.ClaimClient
	// members is nil until the instance has joined the membership.
	members         atomic.Pointer[gossip.Gossip]
	suspectNotifier *suspectNotifier
	// hintQueue holds prefix placements that have not been sent to other instances
	// yet.
	hintQueue gossip.HintQueue
	active    atomic.Pointer[activeConfiguration]
	// The following fields belong to the control role; they are nil without it.
	replica         *server.Server
	operatorService *operator.Service

	listeners  listeners
	runContext context.Context
	cancel     context.CancelFunc
	stopOnce   sync.Once
	background sync.WaitGroup
}

// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the instance's
// memory. Above it the garbage collector spends more processor time.
const memoryLimitFraction = 0.6

// Start starts an instance. It returns once the listeners are open.
func Start(o Options) (*Daemon, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	d := &Daemon{options: o, started: time.Now(), registry: metrics.NewRegistry()}
	d.runContext, d.cancel = context.WithCancel(context.Background())
	if memory := o.Process.Limits.MemoryBytes; memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory)))
	}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, trace.Wrap(err)
	}
	events.DaemonStarted.Log(o.Log, zap.String("instance", string(o.Process.Instance)),
		zap.String("zone", string(o.Process.Zone)), zap.Bool("entry", o.Process.Entry),
		zap.Bool("control", o.Process.Control), zap.Uint64("boot", d.bootEpoch))
	return d, nil
}

// start starts the components in the order of their dependencies.
func (d *Daemon) start() error {
	if err := d.openFolder(); err != nil {
		return err
	}
	if err := d.readKeys(); err != nil {
		return err
	}
	if err := d.startControlClients(); err != nil {
		return err
	}
	d.client = engine.NewHTTPClient(engine.Options{Dial: d.options.Dial})
	if d.options.Process.Entry {
		if err := d.startEntry(); err != nil {
			return err
		}
	}
	d.startFollower()
	if err := d.listen(); err != nil {
		return err
	}
	if err := d.startMembership(); err != nil {
		return err
	}
	if d.replica != nil {
		d.startOrderController()
	}
	if d.entry != nil {
		d.background.Go(d.runPlacementHints)
	}
	if d.entry != nil && d.options.Process.PlatformList.IsValid() {
		d.background.Go(func() { d.runPlatformPolling(d.runContext) })
	}
	d.background.Go(d.runKeyReload)
	if d.replica != nil && d.options.Declarations != nil {
		d.background.Go(func() { d.bootstrap(d.runContext) })
	}
	return nil
}

// openFolder opens the data folder and determines the boot epoch.
func (d *Daemon) openFolder() error {
	folder, err := store.OpenDataDir(d.options.Process.Data)
	if err != nil {
		return trace.Wrap(err)
	}
	d.folder = folder
	d.bootEpoch, err = nextBootEpoch(folder, uint64(d.started.UnixNano()))
	return trace.Wrap(err)
}

// now returns the monotonic time since the instance started.
func (d *Daemon) now() tables.Instant { return time.Since(d.started) }

// applyConfiguration applies a configuration to the components of this instance.
// The follower calls it with increasing revisions.
func (d *Daemon) applyConfiguration(c *tables.Configuration) {
	if d.entry != nil {
		d.entry.Configure(c)
		d.feedGroup.Reconcile(c)
	}
	d.active.Store(&activeConfiguration{configuration: c, since: time.Now()})
	d.advertiseRevision()
	events.ConfigurationServed.Log(d.options.Log, zap.Uint64("revision", uint64(c.Revision)))
}

// Configured returns a channel that is closed once a configuration has been
// applied.
func (d *Daemon) Configured() <-chan struct{} { return d.follower.Ready() }

// Drain takes the instance out of service without interrupting requests. It returns
// early with an error if the context ends.
func (d *Daemon) Drain(ctx context.Context) error {
	events.DaemonDrainStarted.Log(d.options.Log)
	var control sync.WaitGroup
	defer control.Wait()
	if d.replica != nil {
		control.Go(func() { d.replica.HandOver(ctx) })
	}
	if d.entry == nil {
		return nil
	}
	// By then the balancer has noticed, and connections of callers only bring requests that are rejected.
	closing := time.AfterFunc(d.options.Process.Drain.Announce, d.callerConnections.CloseIdle)
	defer closing.Stop()
	if err := d.entry.Drain(ctx); err != nil {
		events.DaemonDrainAborted.Log(d.options.Log, zap.Error(err))
		return trace.Wrap(err)
	}
	d.callerConnections.Flush(ctx, d.callerServer)
	return nil
}

// Stop stops the instance immediately and aborts open requests. Only the first call
// has an effect.
func (d *Daemon) Stop() { d.stopOnce.Do(d.shutDown) }

// shutDown stops the components and closes the data folder.
func (d *Daemon) shutDown() {
	d.cancel()
	if joined := d.members.Load(); joined != nil {
		joined.Close()
	}
	d.listeners.close()
	d.background.Wait()
	d.stopControl()
	if d.entry != nil {
		d.feedGroup.Close()
		d.entry.Close()
	}
	if d.client != nil {
		d.client.CloseIdleConnections()
	}
	if d.folder != nil {
		_ = d.folder.Close()
	}
	events.DaemonStopped.Log(d.options.Log)
}
