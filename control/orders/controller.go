package orders

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/client"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// LeaseName is the lease under which orders are given.
	LeaseName = "orders"
	// LeaseDuration is how long a holder may go on without the quorum.
	LeaseDuration = 10 * time.Second
	// renewAt is the rest of the lease at which it is renewed.
	renewAt = 6 * time.Second
	// orderTimeout bounds one order and one read. No order is given with less
	// than this left of the lease, so that its answer comes within it.
	orderTimeout = 2 * time.Second
	// period is the time between two steps.
	period = 500 * time.Millisecond
	// readsPerSecond bounds how often endpoints that have nothing to load are
	// read, over all of them.
	readsPerSecond = 20
	// minReadEvery is the least time between two reads of one that is settled.
	minReadEvery = 5 * time.Second
	// parallel bounds reads and orders at one time.
	parallel = 16
)

// EngineClient gives orders to endpoints; *engine.HTTPClient is one.
type EngineClient interface {
	Order(ctx context.Context, at netip.AddrPort, order engine.Order) (engine.OrderState, error)
	OrderState(ctx context.Context, at netip.AddrPort) (engine.OrderState, error)
}

// Options sets a Runner up.
type Options struct {
	Executor client.Executor
	Engines  EngineClient
	Instance tables.InstanceID
	Boot     uint64
	Now      func() tables.Instant
	// Configuration returns what is in force, nil for nothing yet.
	Configuration func() *tables.Configuration
	// CountedLoads returns the counted loads as far as this replica knows them.
	CountedLoads func() []*rpc.Load
	Log          *zap.Logger
}

// Controller gives orders while it holds the lease.
type Controller struct {
	options Options
	lease   *client.Lease
	// views and read are used by one step at a time.
	views map[tables.EndpointID]Observation
	read  map[tables.EndpointID]tables.Instant
	// askAgain is when the lease is worth asking for again.
	askAgain tables.Instant
	// lostSince is when an endpoint first did not answer.
	lostSince map[tables.EndpointID]tables.Instant
}

// NewController returns a runner that holds nothing yet.
func NewController(options Options) *Controller {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	return &Controller{
		options: options,
		lease: client.NewLease(client.LeaseOptions{
			Executor: options.Executor,
			Name:     LeaseName,
			Instance: options.Instance,
			Boot:     options.Boot,
			Duration: LeaseDuration,
			Now:      options.Now,
		}),
		views:     map[tables.EndpointID]Observation{},
		read:      map[tables.EndpointID]tables.Instant{},
		lostSince: map[tables.EndpointID]tables.Instant{},
	}
}

// Run steps until the context ends, and then gives the lease up.
func (r *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.Step(ctx)
		case <-ctx.Done():
			if _, left := r.lease.Held(); left > 0 {
				last, cancel := context.WithTimeout(context.Background(), orderTimeout)
				_ = r.lease.Release(last)
				cancel()
			}
			return
		}
	}
}

// Step renews the lease where needed and does what is due. It returns within
// the lease.
func (r *Controller) Step(ctx context.Context) {
	c := r.options.Configuration()
	if c == nil || !r.hold(ctx) {
		return
	}
	r.readEndpoints(ctx, c)
	plan := ComputePlan(c, r.views, r.options.CountedLoads())
	for _, endpoint := range plan.Ended {
		r.end(ctx, endpoint)
	}
	addresses := addressesOf(c)
	var orders sync.WaitGroup
	for _, load := range append(plan.Resend, plan.Start...) {
		at := addresses[load.Endpoint]
		delete(r.read, load.Endpoint)
		orders.Go(func() { r.load(ctx, at, load) })
	}
	orders.Wait()
}

// hold renews the lease when a good part of it has passed.
func (r *Controller) hold(ctx context.Context) bool {
	_, left := r.lease.Held()
	if left < renewAt && r.options.Now() >= r.askAgain {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		err := r.lease.Renew(bounded)
		cancel()
		// Each question is an entry of the log, so those that do not hold the
		// lease ask when it can have ended, and not at every step.
		var held *client.LeaseHeld
		if errors.As(err, &held) {
			r.askAgain = r.options.Now() + held.RetryAfter
		}
		if err != nil && left > 0 {
			events.OrdersLeaseNotRenewed.Log(r.options.Log, zap.Error(err))
		}
		if err == nil && left <= 0 {
			events.OrdersLeaseHeld.Log(r.options.Log)
			// What was read under an earlier lease is old.
			clear(r.views)
			clear(r.read)
			clear(r.lostSince)
		}
	}
	_, left = r.lease.Held()
	return left > 0
}

// load has one load counted and then gives the order. An endpoint that does not
// check fencing numbers takes any order, so the lease must last longer than the
// order can take; the order is cut off when it ends.
func (r *Controller) load(ctx context.Context, at netip.AddrPort, load Load) {
	fence, left := r.lease.Held()
	if left < 2*orderTimeout {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if !r.count(bounded, fence, load) {
		return
	}
	held, left := r.lease.Held()
	if held != fence || left < orderTimeout {
		return
	}
	order := engine.Order{Fence: fence, Kind: engine.OrderLoadVersion, Model: load.Model, Adapter: load.Adapter, Weights: load.Weights}
	if load.Adapter != "" {
		order.Kind = engine.OrderLoadAdapter
	}
	ordering, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	_, err := r.options.Engines.Order(ordering, at, order)
	var old *engine.OldFence
	if errors.As(err, &old) {
		events.OrderFenced.Log(r.options.Log, zap.String("endpoint", string(load.Endpoint)),
			zap.Uint64("fence", uint64(fence)), zap.Uint64("seen", uint64(old.Seen)))
		return
	}
	// Any other failure leaves open whether the order was taken. The next read
	// of the endpoint tells, and the order may be repeated without harm.
	if err != nil {
		events.OrderFailed.Log(r.options.Log, zap.String("endpoint", string(load.Endpoint)), zap.Error(err))
	}
}

// count takes a place at the weight store for the load.
func (r *Controller) count(ctx context.Context, fence tables.FencingToken, load Load) bool {
	result, err := r.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_StartLoad{
		StartLoad: &rpc.StartLoad{
			Lease:    LeaseName,
			Fence:    uint64(fence),
			Endpoint: string(load.Endpoint),
			Model:    string(load.Model),
			Weights:  load.what(),
		},
	}})
	return err == nil && result.GetDone() != nil
}

func (r *Controller) end(ctx context.Context, endpoint tables.EndpointID) {
	fence, left := r.lease.Held()
	if left <= 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	_, err := r.options.Executor.Execute(bounded, &rpc.Command{Action: &rpc.Command_EndLoad{
		EndLoad: &rpc.EndLoad{Lease: LeaseName, Fence: uint64(fence), Endpoint: string(endpoint)},
	}})
	if err != nil {
		events.OrderFailed.Log(r.options.Log, zap.String("endpoint", string(endpoint)), zap.Error(err))
	}
}

// readEndpoints reads back the endpoints that are due: those with a counted
// load every time, the others now and then.
func (r *Controller) readEndpoints(ctx context.Context, c *tables.Configuration) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var mu sync.Mutex
	var reads sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, endpoint := range r.due(c) {
		slots <- struct{}{}
		reads.Go(func() {
			defer func() { <-slots }()
			state, err := r.options.Engines.OrderState(bounded, endpoint.Address)
			mu.Lock()
			defer mu.Unlock()
			r.note(endpoint.ID, state, err)
		})
	}
	reads.Wait()
}

// due returns the engines to read now.
func (r *Controller) due(c *tables.Configuration) []tables.Endpoint {
	loading := map[tables.EndpointID]bool{}
	for _, row := range r.options.CountedLoads() {
		loading[tables.EndpointID(row.GetEndpoint())] = true
	}
	every := max(minReadEvery, time.Duration(len(c.Endpoints))*time.Second/readsPerSecond)
	now := r.options.Now()
	var endpoints []tables.Endpoint
	for _, endpoint := range c.Endpoints {
		last, known := r.read[endpoint.ID]
		due := !known || loading[endpoint.ID] || now-last >= every
		if endpoint.Kind == tables.Engine && due {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// note keeps what was read.
func (r *Controller) note(endpoint tables.EndpointID, state engine.OrderState, err error) {
	now := r.options.Now()
	r.read[endpoint] = now
	if err == nil {
		delete(r.lostSince, endpoint)
		r.views[endpoint] = Observation{Known: true, State: state}
		return
	}
	since, lost := r.lostSince[endpoint]
	if !lost {
		since = now
		r.lostSince[endpoint] = now
	}
	view := r.views[endpoint]
	view.UnreachableFor = max(1, now-since)
	r.views[endpoint] = view
}

func addressesOf(c *tables.Configuration) map[tables.EndpointID]netip.AddrPort {
	addresses := make(map[tables.EndpointID]netip.AddrPort, len(c.Endpoints))
	for _, endpoint := range c.Endpoints {
		addresses[endpoint.ID] = endpoint.Address
	}
	return addresses
}
