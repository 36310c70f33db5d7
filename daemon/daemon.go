// Package daemon assembles one instance from its settings: the entry with its
// router and the readers of endpoint reports, the control role, membership, and
// the listeners. The command carawaystiled is a thin shell around it; the demo
// and the scenarios start several in one process.
package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/feed"
	"github.com/carawaystile/carawaystile/entry"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/tables"
)

// Options are what an instance is started from.
type Options struct {
	Process *settings.Process
	// Declarations is put in force at once if there is no newer configuration.
	Declarations *tables.Configuration
	Log          *zap.Logger
	// Boot tells this life of the instance from others; it must differ at each
	// start.
	Boot uint64
	// FeedPeriod is the time between two load reports of an endpoint; 0 means
	// the default.
	FeedPeriod time.Duration
}

// Daemon is one running instance. Its methods are safe for concurrent use.
type Daemon struct {
	options  Options
	started  time.Time
	registry *metrics.Registry
	router   *router.Router
	client   *engine.HTTPClient
	entry    *entry.Server
	feeds    *feed.Group

	operatorKeys *keys.Ring
	instanceKeys *keys.Ring
	listeners    listeners
	stopping     chan struct{}
	stop         sync.Once
	background   sync.WaitGroup

	mu       sync.Mutex
	revision tables.Revision
	since    time.Time
}

// Start starts the instance and returns once it listens.
func Start(o Options) (*Daemon, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	d := &Daemon{
		options:  o,
		started:  time.Now(),
		registry: metrics.NewRegistry(),
		stopping: make(chan struct{}),
	}
	if err := d.readKeys(); err != nil {
		return nil, trace.Wrap(err)
	}
	if o.Process.Entry {
		if err := d.startEntry(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if o.Declarations != nil {
		d.configure(o.Declarations)
	}
	if err := d.listen(); err != nil {
		d.Stop()
		return nil, trace.Wrap(err)
	}
	d.background.Go(d.rereadKeys)
	events.DaemonStarted.Log(o.Log, zap.String("instance", string(o.Process.Instance)),
		zap.String("zone", string(o.Process.Zone)), zap.Bool("entry", o.Process.Entry),
		zap.Bool("control", o.Process.Control))
	return d, nil
}

// now reads the monotonic clock, as time since the instance started.
func (d *Daemon) now() tables.Instant { return time.Since(d.started) }

// configure puts a configuration in force on this instance.
func (d *Daemon) configure(c *tables.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Two sources hand in configurations, the group's followers and other
	// instances. One that arrives late must not take the place of a newer one.
	if c.Revision < d.revision {
		return
	}
	d.revision = c.Revision
	d.since = time.Now()
	if d.entry != nil {
		d.entry.Configure(c)
		d.feeds.Configure(c)
	}
	events.ConfigurationServed.Log(d.options.Log, zap.Uint64("revision", uint64(c.Revision)))
}

// Drain takes the instance out of service without cutting a request. It returns
// early when the context ends.
func (d *Daemon) Drain(ctx context.Context) error {
	events.DaemonDrainStarted.Log(d.options.Log)
	if d.entry == nil {
		return nil
	}
	err := d.entry.Drain(ctx)
	if err != nil {
		events.DaemonDrainCut.Log(d.options.Log, zap.Error(err))
	}
	return trace.Wrap(err)
}

// Stop ends the instance at once; open requests are cut.
func (d *Daemon) Stop() { d.stop.Do(d.end) }

func (d *Daemon) end() {
	close(d.stopping)
	d.listeners.close()
	d.background.Wait()
	if d.entry != nil {
		d.feeds.Close()
		d.entry.Close()
		d.client.CloseIdle()
	}
	events.DaemonStopped.Log(d.options.Log)
}
