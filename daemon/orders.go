package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/carawaystile/carawaystile/control/orders"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// platformPeriod is the time between two looks at the platform's list. The
	// list lags by itself; an endpoint that leaves is to get no new work within
	// a few seconds.
	platformPeriod = 500 * time.Millisecond
	// platformTimeout bounds one look.
	platformTimeout = time.Second
)

// startOrders lets this instance give orders to endpoints whenever it holds the
// lease.
func (d *Daemon) startOrders() {
	runner := orders.NewController(orders.Options{
		Executor:      d.replica,
		Engines:       d.client,
		Instance:      d.options.Process.Instance,
		Boot:          d.boot,
		Now:           d.now,
		Configuration: d.configurationInForce,
		CountedLoads:  d.countedLoads,
		Log:           d.options.Log,
	})
	d.background.Go(func() { runner.Run(d.stopping) })
}

func (d *Daemon) configurationInForce() *tables.Configuration {
	if now := d.inForce.Load(); now != nil {
		return now.configuration
	}
	return nil
}

func (d *Daemon) countedLoads() []*rpc.Load {
	var loads []*rpc.Load
	d.replica.View(func(s *state.State) { loads = s.Loads() })
	return loads
}

// watchPlatform looks at the platform's list and stops new work to endpoints
// that leave. Only leaving is taken from it: the list lags, so that an endpoint
// it still shows as live may be one that an operator let leave. The system's own
// instances in it are hints for failure detection.
func (d *Daemon) watchPlatform(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		d.readPlatform(ctx)
		jitter := time.Duration(rand.Int64N(int64(platformPeriod) / 4))
		timer.Reset(platformPeriod + jitter)
	}
}

func (d *Daemon) readPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := d.client.PlatformList(ctx, d.options.Process.PlatformList)
	if err != nil {
		return
	}
	var own []membership.PlatformInstance
	for _, i := range list.Instances {
		leaving := i.State == engine.PlatformLeaving
		switch {
		case i.Membership.IsValid():
			own = append(own, membership.PlatformInstance{Address: i.Membership, Leaving: leaving})
		case leaving:
			d.entry.Observe(router.EndpointWithdrawn{Endpoint: i.ID, Life: i.Life})
		}
	}
	// A list without the system's own instances says nothing of them. Taken as
	// it stands it would say that all of them are gone.
	if joined := d.members.Load(); joined != nil && len(own) > 0 {
		joined.SetPlatformList(own)
	}
}
