// Package daemon assembles one instance from its settings: the entry with its
// router and the readers of endpoint reports, the control role, membership, and
// the listeners. The command carawaystiled is a thin shell around it; the demo
// and the scenarios start several in one process.
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

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
	"github.com/carawaystile/carawaystile/internal/shutdown"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

// Options are what an instance is started from.
type Options struct {
	Process *settings.Process
	// Declarations are applied by control instances when no configuration was
	// ever accepted; nil means none.
	Declarations *tables.Configuration
	Log          *zap.Logger
	// Dial opens connections to other instances and to endpoints; nil means
	// TCP. Tests cut availability zones off here.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IsReachable says whether membership's datagrams to an address arrive; nil
	// means that all do. Like Dial it is for tests that cut zones off.
	IsReachable func(to netip.AddrPort) bool
	// Listen opens the instance's TCP listeners; nil means TCP. Tests hand in
	// listeners that they hold already, so that no other process takes the
	// port.
	Listen func(at netip.AddrPort) (net.Listener, error)
	// LoadReportInterval is the time between two load reports of an endpoint; 0 means
	// the default.
	LoadReportInterval time.Duration
}

// Daemon is one running instance. Its methods are safe for concurrent use.
type Daemon struct {
	options  Options
	started  time.Time
	boot     uint64
	registry *metrics.Registry
	folder   *store.Folder

	operatorKeys *keys.Ring
	instanceKeys *keys.Ring
	client       *engine.HTTPClient

	// The entry role; nil without it.
	router *router.Router
	entry  *entry.Server
	feeds  *feed.PollerGroup
	// callers serves the entry.
	callers *http.Server

	peerTransport *http.Transport
	dialer        *transport.Dialer
	follower      *follower.Follower
	claims        *client.ClaimClient
	// members is nil until the instance has joined.
	members atomic.Pointer[gossip.Gossip]
	peers   *peers
	// placements wait to be told to the other instances.
	hints   gossip.HintQueue
	inForce atomic.Pointer[inForce]
	// The control role; nil without it.
	replica   *server.Server
	operators *operator.Service

	listeners  listeners
	stopping   context.Context
	stop       context.CancelFunc
	ending     sync.Once
	background sync.WaitGroup
}

// Start starts the instance and returns once it listens.
func Start(o Options) (*Daemon, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	d := &Daemon{options: o, started: time.Now(), registry: metrics.NewRegistry()}
	d.stopping, d.stop = context.WithCancel(context.Background())
	if err := d.start(); err != nil {
		d.Stop()
		return nil, trace.Wrap(err)
	}
	events.DaemonStarted.Log(o.Log, zap.String("instance", string(o.Process.Instance)),
		zap.String("zone", string(o.Process.Zone)), zap.Bool("entry", o.Process.Entry),
		zap.Bool("control", o.Process.Control), zap.Uint64("boot", d.boot))
	return d, nil
}

// start starts the parts, each after those it uses.
func (d *Daemon) start() error {
	if err := d.openFolder(); err != nil {
		return err
	}
	if err := d.readKeys(); err != nil {
		return err
	}
	if err := d.startControl(); err != nil {
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
	d.background.Go(func() { d.peers.run(d.stopping) })
	if d.replica != nil {
		d.startOrders()
	}
	if d.entry != nil {
		d.background.Go(d.tellPlacements)
	}
	if d.entry != nil && d.options.Process.PlatformList.IsValid() {
		d.background.Go(func() { d.watchPlatform(d.stopping) })
	}
	d.background.Go(d.rereadKeys)
	if d.replica != nil && d.options.Declarations != nil {
		d.background.Go(func() { d.bootstrap(d.stopping) })
	}
	return nil
}

func (d *Daemon) openFolder() error {
	folder, err := store.OpenFolder(d.options.Process.Data)
	if err != nil {
		return trace.Wrap(err)
	}
	d.folder = folder
	d.boot, err = nextBoot(folder, uint64(d.started.UnixNano()))
	return trace.Wrap(err)
}

// now reads the monotonic clock, as time since the instance started.
func (d *Daemon) now() tables.Instant { return time.Since(d.started) }

// configure puts a configuration in force on this instance. The follower calls
// it with revisions that only grow.
func (d *Daemon) configure(c *tables.Configuration) {
	if d.entry != nil {
		d.entry.Configure(c)
		d.feeds.Reconcile(c)
	}
	d.inForce.Store(&inForce{configuration: c, since: time.Now()})
	d.tellRevision()
	events.ConfigurationServed.Log(d.options.Log, zap.Uint64("revision", uint64(c.Revision)))
}

// Configured is closed once a configuration is in force.
func (d *Daemon) Configured() <-chan struct{} { return d.follower.Ready() }

// Drain takes the instance out of service without cutting a request. It returns
// early when the context ends.
func (d *Daemon) Drain(ctx context.Context) error {
	events.DaemonDrainStarted.Log(d.options.Log)
	if d.entry == nil {
		return nil
	}
	if err := d.entry.Drain(ctx); err != nil {
		events.DaemonDrainCut.Log(d.options.Log, zap.Error(err))
		return trace.Wrap(err)
	}
	shutdown.Flush(ctx, d.callers)
	return nil
}

// Stop ends the instance at once; open requests are cut.
func (d *Daemon) Stop() { d.ending.Do(d.end) }

func (d *Daemon) end() {
	d.stop()
	if joined := d.members.Load(); joined != nil {
		joined.Close()
	}
	d.listeners.close()
	d.background.Wait()
	d.stopControl()
	if d.entry != nil {
		d.feeds.Close()
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
