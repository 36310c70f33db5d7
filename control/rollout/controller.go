package rollout

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/client"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// LeaseName is the lease under which orders to engines are given.
	LeaseName = "engine orders"
	// stepPeriod is the time between two looks at what is due.
	stepPeriod = 50 * time.Millisecond
	// callTimeout bounds a question, and orderTimeout an order. Engines answer
	// within milliseconds or not at all, and one that is believed to load gets no
	// requests meanwhile.
	callTimeout  = 800 * time.Millisecond
	orderTimeout = 300 * time.Millisecond
	// announceTimeout bounds an announcement, so that an order leaves soon after it
	// or not at all. It takes two syncs of a disk and a round trip.
	announceTimeout = 300 * time.Millisecond
	// orderMargin is how much longer the lease must be held for an order to be
	// prepared; it leaves time for the announcement and the order.
	orderMargin = announceTimeout + orderTimeout
	// leaveWithin is how long after its announcement an order may still arrive, by
	// either machine's clock.
	leaveWithin = announceTimeout + orderTimeout + 100*time.Millisecond
	// renewTimeout bounds one question to the control group.
	renewTimeout = 800 * time.Millisecond
	// renewPart is the part of the lease after which it is renewed.
	renewPart = 3
)

// EngineClient speaks with engines.
type EngineClient interface {
	Report(ctx context.Context, to fleet.Endpoint) (Report, error)
	Order(ctx context.Context, to fleet.Endpoint, order Order) (OrderResult, error)
}

// Options set a Runner up.
type Options struct {
	Engines EngineClient
	// Executor has the control group agree on the lease.
	Executor client.Executor
	// IsLeader says whether this instance leads the control group. Only the leader
	// asks for the lease, so that instances do not contend for it.
	IsLeader       func() bool
	Fleet          *fleet.Table
	TargetVersions func() map[string]uint64
	Instance       tables.InstanceID
	Boot           uint64
	// LeaseDuration is the length of the lease.
	LeaseDuration time.Duration
	// HandoverDelay is the least time between two holders' orders to one engine. Engines
	// that check fencing numbers stop an earlier holder by themselves; where Fenced
	// is not set each order is announced to the group before it leaves, and a new
	// holder lets the engines rest that an earlier one may just have given one.
	HandoverDelay     time.Duration
	EnginesCheckFence bool
	Strategy          Strategy
	// Now must go on while the machine is suspended.
	Now func() tables.Instant
	Log *zap.Logger
}

// Controller carries a Plan out while it holds the lease.
type Controller struct {
	options Options
	lease   *client.Lease
	plan    *Planner
	// planned is the version of the table of endpoints that the plan has.
	planned uint64
	results chan func()
	holds   atomic.Bool
	renewed chan error
	// renewing is set while the group is asked.
	renewing bool
	askAgain tables.Instant
}

// NewController returns a runner that holds nothing.
func NewController(options Options) *Controller {
	return &Controller{
		options: options,
		plan:    NewPlanner(),
		results: make(chan func(), 64),
		renewed: make(chan error, 1),
		lease: client.NewLease(client.LeaseOptions{
			Executor: options.Executor, Name: LeaseName, Instance: options.Instance, Boot: options.Boot,
			Duration: options.LeaseDuration, Now: options.Now,
		}),
	}
}

// HoldsLease says whether this instance gives orders now.
func (r *Controller) HoldsLease() bool { return r.holds.Load() }

// Run steps until the context ends, and then gives the lease up.
func (r *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.release()
			return
		case <-ticker.C:
			r.step(ctx)
		case err := <-r.renewed:
			r.takeRenewal(err)
		case result := <-r.results:
			result()
		}
	}
}

func (r *Controller) release() {
	if _, left := r.lease.Held(); left <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if err := r.lease.Release(ctx); err != nil {
		events.OrdersLeaseNotRenewed.Log(r.options.Log, zap.Error(err))
	}
}

// step renews the lease where needed and does what is due.
func (r *Controller) step(ctx context.Context) {
	r.renew(ctx)
	_, left := r.lease.Held()
	if held := left > 0; held != r.holds.Swap(held) {
		r.plan, r.planned = NewPlanner(), 0
		if held {
			r.rest()
		} else {
			r.options.Fleet.NoOrders()
		}
	}
	if left < orderMargin {
		return
	}
	for model, version := range r.options.TargetVersions() {
		r.plan.SetTarget(model, version)
	}
	if version := r.options.Fleet.Version(); version != r.planned {
		r.plan.UpdateEndpoints(r.options.Fleet.Endpoints())
		r.planned = version
	}
	for _, action := range r.plan.NextActions(r.options.Now()) {
		r.start(ctx, action)
	}
	for _, id := range r.plan.Cordoned() {
		r.options.Fleet.Loading(id, true)
	}
}

// rest keeps orders from the engines that another holder may just have given one.
// Without the announcements a new holder would have to leave all engines alone for
// a lease: where the holder froze right after new weights were named, the others
// went on with weights that were replaced for 7 s, and then with few engines.
func (r *Controller) rest() {
	if r.options.EnginesCheckFence {
		return
	}
	for id, at := range r.lease.Announced() {
		r.plan.DelayOrders(id, at+r.options.HandoverDelay+leaveWithin)
	}
}

// renew asks for the lease, or for more time, beside everything else: orders go
// on while the group decides.
func (r *Controller) renew(ctx context.Context) {
	_, left := r.lease.Held()
	due := left < r.options.LeaseDuration*(renewPart-1)/renewPart
	if !due || r.renewing || r.options.Now() < r.askAgain || !r.options.IsLeader() {
		return
	}
	r.renewing = true
	go func() {
		bounded, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		r.renewed <- r.lease.Renew(bounded)
	}()
}

func (r *Controller) takeRenewal(err error) {
	r.renewing = false
	var held *client.LeaseHeld
	switch {
	case errors.As(err, &held):
		r.askAgain = r.options.Now() + held.RetryAfter
	case err != nil:
		events.OrdersLeaseNotRenewed.Log(r.options.Log, zap.Error(err))
	}
}

// start carries an action out beside the loop.
func (r *Controller) start(ctx context.Context, action Action) {
	plan := r.plan
	if action.Version == 0 {
		go r.ask(ctx, plan, action)
		return
	}
	fence, _ := r.lease.Held()
	order := Order{
		Model: action.Model, Version: action.Version, Strategy: r.options.Strategy,
		Holder: string(r.options.Instance), Fence: fence, Sequence: action.Sequence,
	}
	r.options.Fleet.Loading(action.Endpoint.ID, true)
	events.RolloutOrdered.Log(r.options.Log, zap.String("endpoint", string(action.Endpoint.ID)),
		zap.String("model", order.Model), zap.Uint64("weights", order.Version),
		zap.Uint64("fence", uint64(fence)), zap.Uint64("sequence", order.Sequence))
	go r.order(ctx, plan, action, order)
}

func (r *Controller) ask(ctx context.Context, plan *Planner, action Action) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := r.options.Engines.Report(bounded, action.Endpoint)
	r.hand(ctx, plan, func(now tables.Instant) {
		id := action.Endpoint.ID
		if err != nil {
			events.RolloutUnanswered.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Error(err))
			plan.HandleReport(now, id, nil)
			return
		}
		done := plan.HandleReport(now, id, &report)
		for model, version := range report.Weights {
			r.options.Fleet.Weights(id, model, version)
		}
		if done {
			events.RolloutDone.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Any("weights", report.Weights))
		}
		r.options.Fleet.Loading(id, plan.Updating(id))
	})
}

// send announces an order and gives it. One that could not be announced, or whose
// lease is over by then, does not leave.
func (r *Controller) send(ctx context.Context, action Action, order Order) (OrderResult, error) {
	if !r.options.EnginesCheckFence {
		bounded, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		if err := r.lease.Announce(bounded, []tables.EndpointID{action.Endpoint.ID}); err != nil {
			return Rejected, trace.Wrap(err)
		}
		if fence, left := r.lease.Held(); left <= 0 || fence != order.Fence {
			return Rejected, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.options.Engines.Order(bounded, action.Endpoint, order)
}

func (r *Controller) order(ctx context.Context, plan *Planner, action Action, order Order) {
	taken, err := r.send(ctx, action, order)
	r.hand(ctx, plan, func(now tables.Instant) {
		id := action.Endpoint.ID
		plan.HandleOrderResult(now, id, taken)
		switch {
		case taken == Fenced:
			// A later call under the same fence could undo what a newer holder
			// has done. The next lease has a higher one.
			events.RolloutFenced.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Uint64("fence", uint64(order.Fence)))
			r.release()
		case taken == Rejected && err != nil:
			events.OrderNotAnnounced.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Error(err))
		case taken == 0:
			events.RolloutUnanswered.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Error(err))
		}
		r.options.Fleet.Loading(id, plan.Updating(id))
	})
}

// hand gives a result to the loop, unless its plan is of an earlier lease.
func (r *Controller) hand(ctx context.Context, plan *Planner, f func(tables.Instant)) {
	select {
	case r.results <- func() {
		if plan == r.plan {
			f(r.options.Now())
		}
	}:
	case <-ctx.Done():
	}
}
