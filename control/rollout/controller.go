package rollout

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/client"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// LeaseName is the name of the lease for orders to engines.
	LeaseName = "engine orders"
	// stepInterval is the interval of the control loop.
	stepInterval = 50 * time.Millisecond
	// pollTimeout bounds a poll, and orderTimeout an order. Engines answer
	// within milliseconds or not at all, and an engine that is believed to load
	// gets no requests meanwhile.
	pollTimeout  = 800 * time.Millisecond
	orderTimeout = 300 * time.Millisecond
	// announceTimeout bounds an announcement, so that the order is sent soon
	// after it or not at all. An announcement takes two disk syncs and a round
	// trip.
	announceTimeout = 300 * time.Millisecond
	// minLeaseLeft is the remaining lease time below which no order is
	// prepared. It covers the announcement and the order.
	minLeaseLeft = announceTimeout + orderTimeout
	// maxOrderDelay bounds the time from an announcement to the arrival of its
	// order, by the clock of either machine.
	maxOrderDelay = announceTimeout + orderTimeout + 100*time.Millisecond
	// renewTimeout bounds one call to the control group.
	renewTimeout = 800 * time.Millisecond
	// The lease is renewed once 1/renewDivisor of its duration has passed.
	renewDivisor = 3
	// fencedReleaseInterval is the minimum time between two releases of the lease for a newer fencing token.
	// Each one interrupts the rollout to all engines.
	fencedReleaseInterval = 5 * time.Second
)

// EngineClient sends requests to engines.
type EngineClient interface {
	Report(ctx context.Context, to fleet.Endpoint) (Report, error)
	Order(ctx context.Context, to fleet.Endpoint, order Order) (OrderResult, error)
}

// Options configures a Controller.
type Options struct {
	Engines EngineClient
	// Executor submits lease commands to the control group.
	Executor client.Executor
	// IsLeader reports whether this instance leads the control group. Only the
	// leader requests the lease, so that instances do not contend for it.
	IsLeader func() bool
	Fleet    *fleet.Table
	// TargetVersions returns the version that each model should be served with.
	TargetVersions func() map[string]uint64
	// Instance and Boot identify the process; Boot increases with every start.
	Instance tables.InstanceID
	Boot     uint64
	// LeaseDuration is the duration of the lease.
	LeaseDuration time.Duration
	// HandoverDelay is the minimum time between orders of two lease holders to one
	// engine. It applies unless EnginesCheckFence is set. Engines that check fencing
	// tokens reject an earlier holder themselves. For other engines each order is
	// announced to the control group before it is sent, and a new holder delays its
	// orders to the engines that an earlier holder has announced.
	HandoverDelay     time.Duration
	EnginesCheckFence bool
	// WeightsTimeout is how long requests may begin on outdated weights; 0 is without a limit.
	// The log gives the lag of versions as a share of it.
	WeightsTimeout time.Duration
	Strategy       Strategy
	// Now is a monotonic clock that continues while the machine is suspended.
	Now func() tables.Instant
	Log *zap.Logger
	// Registry takes the counts of orders if it is set.
	Registry *metrics.Registry
}

// Controller runs the control loop of a rollout while it holds the lease: it
// executes the actions of a Planner and feeds the results back.
type Controller struct {
	options Options
	lease   *client.Lease
	planner *Planner
	// plannedFleetVersion is the version of the endpoint table that the planner
	// has.
	plannedFleetVersion uint64
	// markedVersion is that version after the marks of loading endpoints were last set.
	markedVersion uint64
	// plannedLists counts the reads of the platform's list that the planner has seen.
	plannedLists uint64
	results      chan func()
	holdsLease   atomic.Bool
	renewals     chan error
	// renewing is set while a renewal of the lease is in flight.
	renewing       bool
	renewNotBefore tables.Instant
	// fencedAt is when the lease was last released since an engine had seen a newer fencing token; releaseAt is
	// when it is released for another such engine, 0 if it is not.
	fencedAt, releaseAt tables.Instant
	// lastHolder is the instance that held the lease when this one last requested it in vain.
	lastHolder tables.InstanceID
	lags       lagTracker
	versions   versionTracker
	counters   orderCounters
}

// NewController returns a controller that does not hold the lease.
func NewController(options Options) *Controller {
	planner := NewPlanner()
	planner.EnginesCheckFence, planner.WeightsTimeout = options.EnginesCheckFence, options.WeightsTimeout
	return &Controller{
		options:  options,
		planner:  planner,
		counters: newOrderCounters(options.Registry),
		results:  make(chan func(), 64),
		renewals: make(chan error, 1),
		lease: client.NewLease(client.LeaseOptions{
			Executor: options.Executor, Name: LeaseName, Instance: options.Instance, Boot: options.Boot,
			Duration: options.LeaseDuration, Now: options.Now,
		}),
	}
}

// HoldsLease reports whether this instance holds the lease and so sends orders.
func (r *Controller) HoldsLease() bool { return r.holdsLease.Load() }

// Run executes the control loop until the context ends, and then releases the
// lease.
func (r *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.release()
			return
		case <-ticker.C:
			r.step(ctx)
		case err := <-r.renewals:
			r.handleRenewal(err)
		case result := <-r.results:
			result()
		}
	}
}

// step renews the lease if it is due and starts the actions that are due.
func (r *Controller) step(ctx context.Context) {
	if r.releaseAt != 0 && r.options.Now() >= r.releaseAt {
		r.releaseFenced(r.options.Now())
	}
	r.renew(ctx)
	_, left := r.lease.TokenAndTTL()
	if held := left > 0; held != r.holdsLease.Swap(held) {
		r.planner, r.plannedFleetVersion, r.markedVersion, r.plannedLists = r.planner.NextPlanner(), 0, 0, 0
		if held {
			r.delayAnnouncedEngines()
		} else {
			r.releaseAt = 0
			r.options.Fleet.ClearLoading()
			r.options.Fleet.ForgetReports()
		}
	}
	r.observeLag(r.options.Now())
	if left < minLeaseLeft {
		return
	}
	for _, action := range r.plan(r.options.Now()) {
		r.start(ctx, action)
	}
}

// plan passes the targets and the endpoints to the planner and returns the actions that are due.
func (r *Controller) plan(now tables.Instant) []Action {
	for model, version := range r.options.TargetVersions() {
		r.planner.SetTarget(model, version)
	}
	if version := r.options.Fleet.Version(); version != r.plannedFleetVersion {
		r.planner.UpdateEndpoints(r.options.Fleet.Endpoints())
		r.plannedFleetVersion = version
	}
	if listed, applied := r.options.Fleet.Listed(); applied != r.plannedLists {
		r.planner.ObserveList(now, listed)
		r.plannedLists = applied
	}
	actions := r.planner.NextActions(now)
	if loading := r.planner.AllUpdating(); len(loading) > 0 || r.options.Fleet.Version() != r.markedVersion {
		r.options.Fleet.ReplaceLoading(loading)
		r.markedVersion = r.options.Fleet.Version()
	}
	return actions
}

// start executes an action in the background.
func (r *Controller) start(ctx context.Context, action Action) {
	planner := r.planner
	if action.Version == 0 {
		go r.poll(ctx, planner, action)
		return
	}
	fence, _ := r.lease.TokenAndTTL()
	order := r.newOrder(action, fence)
	r.recordOrder(r.options.Now(), action.Endpoint.ID)
	events.RolloutOrdered.Log(r.options.Log, zap.String("endpoint", string(action.Endpoint.ID)),
		zap.String("model", order.Model), zap.Uint64("weights", order.Version),
		zap.Uint64("fence", uint64(order.Fence)), zap.Uint64("sequence", order.Sequence))
	go r.executeOrder(ctx, planner, action, order)
}

// newOrder returns the order of an action under a lease's fencing token.
func (r *Controller) newOrder(action Action, fence tables.FencingToken) Order {
	order := Order{
		Model: action.Model, Version: action.Version, Strategy: r.options.Strategy,
		Holder: string(r.options.Instance), Fence: fence, Sequence: action.Sequence,
	}
	if r.options.EnginesCheckFence {
		order.Fence, order.Unconditional = orderToken(fence, action.Generation), true
	}
	return order
}

// poll reads an engine's report and passes it to the planner and the fleet table.
func (r *Controller) poll(ctx context.Context, planner *Planner, action Action) {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := r.options.Engines.Report(bounded, action.Endpoint)
	r.post(ctx, planner, func(now tables.Instant) { r.handleReport(now, action, report, err) })
}

// handleReport passes the answer to a poll to the planner and the fleet table, unless the poll was meant for an
// earlier process.
func (r *Controller) handleReport(now tables.Instant, action Action, report Report, err error) {
	id := action.Endpoint.ID
	before, current := r.planner.Weights(id, action.Process)
	if !current || r.handlePushback(now, id, err) {
		return
	}
	if err != nil {
		events.RolloutUnanswered.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Error(err))
		r.planner.HandleReport(now, id, nil)
		return
	}
	latest := r.planner.latestOrder(id)
	done := r.planner.HandleReport(now, id, &report)
	r.recordWeights(id, report.Born, before)
	if report.Draining {
		r.planner.HandleDraining(id)
		r.options.Fleet.SetDraining(id, report.Born)
	}
	r.logReport(id, latest, &report, done)
	r.options.Fleet.SetLoading(id, r.planner.Updating(id))
}

// recordWeights passes the weights that an engine is now known to serve to the fleet table, and logs those that are
// older than before.
func (r *Controller) recordWeights(id tables.EndpointID, startUnixMilli int64, before map[string]uint64) {
	weights, _ := r.planner.Weights(id, 0)
	for model, version := range weights {
		r.options.Fleet.RecordWeights(id, startUnixMilli, model, version)
		if version < before[model] {
			events.RolloutWentBack.Log(r.options.Log, zap.String("endpoint", string(id)), zap.String("model", model),
				zap.Uint64("weights", version), zap.Uint64("known", before[model]))
		}
	}
}

// handlePushback delays the calls to an engine that has requested a back-off, and reports
// whether the error is one.
func (r *Controller) handlePushback(now tables.Instant, id tables.EndpointID, err error) bool {
	var pushback *engine.PushbackError
	if !errors.As(err, &pushback) {
		return false
	}
	events.EndpointPushedBack.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Duration("retry_after", pushback.RetryAfter))
	r.planner.HandlePushback(now, id, pushback.RetryAfter)
	r.options.Fleet.SetLoading(id, r.planner.Updating(id))
	return true
}

// announceAndSend announces an order to the control group and sends it. The
// order is not sent if the announcement fails or the lease has ended by then.
func (r *Controller) announceAndSend(ctx context.Context, action Action, order Order) (OrderResult, error) {
	if !r.options.EnginesCheckFence {
		bounded, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		if err := r.lease.AnnounceOrders(bounded, []tables.EndpointID{action.Endpoint.ID}); err != nil {
			return Rejected, trace.Wrap(err)
		}
		if fence, left := r.lease.TokenAndTTL(); left <= 0 || fence != order.Fence {
			return Rejected, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.options.Engines.Order(bounded, action.Endpoint, order)
}

// executeOrder sends an order and passes its result to the planner.
func (r *Controller) executeOrder(ctx context.Context, planner *Planner, action Action, order Order) {
	result, err := r.announceAndSend(ctx, action, order)
	r.post(ctx, planner, func(now tables.Instant) { r.handleOrderResult(now, action, order.Fence, result, err) })
}

// handleOrderResult passes the answer to an order to the planner and the fleet table, unless the order was meant
// for an earlier process.
func (r *Controller) handleOrderResult(now tables.Instant, action Action, fence tables.FencingToken, result OrderResult, err error) {
	id := action.Endpoint.ID
	before, current := r.planner.Weights(id, action.Process)
	if !current {
		return
	}
	r.planner.HandleOrderResult(now, id, result)
	if result == AlreadyServing {
		r.recordWeights(id, action.Process, before)
	}
	r.planner.noteAnswer(id, action.Version, result)
	switch {
	case r.handlePushback(now, id, err):
	case result == Fenced:
		r.handleFenced(now, id, fence)
	case result == Rejected && err != nil:
		events.OrderNotAnnounced.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Error(err))
	case result == 0:
		r.counters.unanswered.Inc(1)
		events.RolloutUnanswered.Log(r.options.Log, zap.String("endpoint", string(id)), zap.String("model", action.Model),
			zap.Uint64("weights", action.Version), zap.Uint64("sequence", action.Sequence), zap.Error(err))
	}
	r.options.Fleet.SetLoading(id, r.planner.Updating(id))
}

// post passes a result to the control loop. It is dropped if its planner
// belongs to an earlier lease.
func (r *Controller) post(ctx context.Context, planner *Planner, f func(tables.Instant)) {
	select {
	case r.results <- func() {
		if planner == r.planner {
			f(r.options.Now())
		}
	}:
	case <-ctx.Done():
	}
}
