package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/carawaystile/carawaystile/control/orders"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// platformPollInterval is the minimum delay between two reads of the platform's
	// endpoint list. The list itself lags, and a leaving endpoint must stop
	// receiving new work within a few seconds.
	platformPollInterval = 500 * time.Millisecond
	// platformPollTimeout bounds one read.
	platformPollTimeout = time.Second
)

// startOrderController starts the controller that sends orders to endpoints while
// this instance holds the order lease.
func (d *Daemon) startOrderController() {
	controller := orders.NewController(orders.Options{
		Executor:      d.replica,
		Engines:       d.client,
		Instance:      d.options.Process.Instance,
		Boot:          d.bootEpoch,
		Now:           d.now,
		Configuration: d.configurationInForce,
		CountedLoads:  d.activeWeightLoads,
		Log:           d.options.Log,
	})
	d.background.Go(func() { controller.Run(d.runContext) })
}

// configurationInForce returns the applied configuration, or nil if there is none.
func (d *Daemon) configurationInForce() *tables.Configuration {
	if active := d.active.Load(); active != nil {
		return active.configuration
	}
	return nil
}

// activeWeightLoads returns the weight loads that the control state counts against
// the limit.
func (d *Daemon) activeWeightLoads() orders.CountedLoads {
	var loads orders.CountedLoads
	d.replica.View(func(s *state.State) { loads = orders.CountedLoads{Rows: s.Loads(), LogTime: s.Now()} })
	return loads
}

// runPlatformPolling polls the platform's list with jitter and withdraws leaving
// endpoints from routing. Only the leaving state is taken from the list: because
// the list lags, an endpoint that it shows as live may be one that an operator has
// taken out of use. The instances of this system in the list are hints for failure
// detection.
func (d *Daemon) runPlatformPolling(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		d.pollPlatform(ctx)
		jitter := time.Duration(rand.Int64N(int64(platformPollInterval) / 4))
		timer.Reset(platformPollInterval + jitter)
	}
}

// pollPlatform reads the platform's list once. A failed read has no effect.
func (d *Daemon) pollPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformPollTimeout)
	defer cancel()
	list, err := d.client.PlatformList(ctx, d.options.Process.PlatformList)
	if err != nil {
		return
	}
	var instances []membership.PlatformInstance
	for _, i := range list.Instances {
		leaving := i.State == engine.PlatformLeaving
		switch {
		case i.Membership.IsValid():
			instances = append(instances, membership.PlatformInstance{Address: i.Membership, Leaving: leaving})
		case leaving:
			d.entry.Observe(router.EndpointWithdrawn{Endpoint: i.ID, Life: i.Life})
		}
	}
	// A list without instances of this system carries no information about them.
	// Taken literally, it would mean that all of them have left.
	if joined := d.members.Load(); joined != nil && len(instances) > 0 {
		joined.SetPlatformList(instances)
	}
}
