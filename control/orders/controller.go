package orders

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
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
	// LeaseName is the name of the lease for orders to engines.
	LeaseName = "orders"
	// LeaseDuration is how long a holder may continue without reaching the
	// quorum.
	LeaseDuration = 10 * time.Second
	// renewBelow is the remaining lease time below which the lease is renewed.
	renewBelow = 6 * time.Second
	// orderTimeout bounds one order and one read. An order is sent only if the
	// lease lasts at least this much longer, so that its answer arrives within
	// the lease.
	orderTimeout = 2 * time.Second
	// isolationTimeout is how long no endpoint answers the holder of the lease before it gives the lease up.
	isolationTimeout = 10 * time.Second
	// readAdmission is the time of a step in which reads begin, so that each has the rest of orderTimeout.
	readAdmission = orderTimeout / 2
	// stepInterval is the interval of the control loop.
	stepInterval = 500 * time.Millisecond
	// readsPerSecond limits the rate at which endpoints without a counted load
	// are read, over all endpoints.
	readsPerSecond = 20
	// minReadInterval is the minimum time between two reads of an endpoint
	// without a counted load.
	minReadInterval = 5 * time.Second
	// maxConcurrentReads bounds the reads that are in flight at the same time.
	maxConcurrentReads = 16
)

// EngineClient sends orders to endpoints and reads their state.
// *engine.HTTPClient implements it.
type EngineClient interface {
	Order(ctx context.Context, at netip.AddrPort, order engine.Order) (engine.OrderState, error)
	OrderState(ctx context.Context, at netip.AddrPort) (engine.OrderState, error)
}

// Options configures a Controller.
type Options struct {
	// Executor submits commands to the control group.
	Executor client.Executor
	Engines  EngineClient
	// Instance and Boot identify the process; Boot increases with every start.
	Instance tables.InstanceID
	Boot     uint64
	// Now is the monotonic clock of the process.
	Now func() tables.Instant
	// Configuration returns the configuration in force, nil if there is none
	// yet.
	Configuration func() *tables.Configuration
	// CountedLoads returns the loads that hold a slot of the weight store, as
	// far as this replica knows them.
	CountedLoads func() CountedLoads
	Log          *zap.Logger
}

// Controller runs the control loop while it holds the lease: it observes the
// engines, computes a Plan and executes it.
type Controller struct {
	options Options
	lease   *client.Lease
	// observations and lastRead are accessed by one step at a time.
	observations map[tables.EndpointID]Observation
	lastRead     map[tables.EndpointID]tables.Instant
	// attempts holds the loads that were ordered and have not been seen done.
	attempts map[Load]attempts
	// unanswered holds the load whose order under the current fencing token an endpoint has not answered.
	unanswered map[tables.EndpointID]Load
	// acquireNotBefore is the time before which the lease is not requested,
	// because another instance holds it.
	acquireNotBefore tables.Instant
	// isolatedSince is when the first read failed since an endpoint last answered, 0 if none has.
	isolatedSince tables.Instant
}

// NewController returns a controller that does not hold the lease.
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
		observations: map[tables.EndpointID]Observation{},
		lastRead:     map[tables.EndpointID]tables.Instant{},
		attempts:     map[Load]attempts{},
		unanswered:   map[tables.EndpointID]Load{},
	}
}

// Run executes the control loop until the context ends, and then releases the
// lease.
func (r *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.Step(ctx)
		case <-ctx.Done():
			if _, left := r.lease.TokenAndTTL(); left > 0 {
				bounded, cancel := context.WithTimeout(context.Background(), orderTimeout)
				_ = r.lease.Release(bounded)
				cancel()
			}
			return
		}
	}
}

// Step renews the lease if it is due, and executes one reconciliation step if
// this instance holds it. It returns within the lease.
func (r *Controller) Step(ctx context.Context) {
	c := r.options.Configuration()
	if c == nil || !r.ensureLease(ctx) {
		return
	}
	r.readEndpoints(ctx, c)
	if r.isolatedSince != 0 && r.options.Now()-r.isolatedSince >= isolationTimeout {
		r.giveUpLease(ctx)
		return
	}
	r.forgetAttempts(c)
	plan := r.computePlan(c, r.options.CountedLoads())
	for _, endpoint := range plan.Ended {
		r.unregisterLoad(ctx, endpoint)
	}
	for _, endpoint := range plan.Expired {
		events.OrderLoadExpired.Log(r.options.Log, zap.String("endpoint", string(endpoint)))
		r.unregisterLoad(ctx, endpoint)
	}
	for _, load := range plan.Failed {
		r.giveUp(ctx, load)
	}
	loads := append(plan.Resend, plan.Start...)
	if r.replacesUnanswered(loads) && !r.replaceToken(ctx) {
		return
	}
	r.sendOrders(ctx, c, loads)
}

// sendOrders sends the orders of one step and records which were answered.
func (r *Controller) sendOrders(ctx context.Context, c *tables.Configuration, loads []Load) {
	addresses := endpointAddresses(c)
	outcomes := make([]orderOutcome, len(loads))
	var orders sync.WaitGroup
	for i, load := range loads {
		// What was read before the order does not show its load.
		delete(r.lastRead, load.Endpoint)
		delete(r.observations, load.Endpoint)
		orders.Go(func() { outcomes[i] = r.orderLoad(ctx, addresses[load.Endpoint], load) })
	}
	orders.Wait()
	now := r.options.Now()
	for i, load := range loads {
		if outcomes[i] == unanswered {
			r.unanswered[load.Endpoint] = load
		}
		if outcomes[i] != notSent {
			r.attempts[load] = r.attempts[load].ordered(now, outcomes[i] == answered)
		}
	}
}

// ensureLease acquires the lease, or renews it below renewBelow, and returns
// whether this instance holds it.
func (r *Controller) ensureLease(ctx context.Context) bool {
	_, left := r.lease.TokenAndTTL()
	if left < renewBelow && r.options.Now() >= r.acquireNotBefore {
		bounded, cancel := context.WithTimeout(ctx, orderTimeout)
		err := r.lease.AcquireOrRenew(bounded)
		cancel()
		// Each request is an entry of the consensus log. Instances without the
		// lease therefore wait until it can have expired before they request it
		// again.
		var held *client.LeaseHeldError
		if errors.As(err, &held) {
			r.acquireNotBefore = r.options.Now() + held.RetryAfter
		}
		if err != nil && left > 0 {
			events.OrdersLeaseNotRenewed.Log(r.options.Log, zap.Error(err))
		}
		if err == nil && left <= 0 {
			events.OrdersLeaseHeld.Log(r.options.Log)
			// Observations from an earlier lease are outdated.
			clear(r.observations)
			clear(r.lastRead)
			clear(r.attempts)
			clear(r.unanswered)
			r.isolatedSince = 0
		}
	}
	_, left = r.lease.TokenAndTTL()
	return left > 0
}

// giveUpLease releases the lease of an instance that no endpoint answers, and lets all others request it first.
// Orders are sent to endpoints that answer, so none is on its way.
func (r *Controller) giveUpLease(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.lease.Release(bounded)
	events.OrdersLeaseGivenUp.Log(r.options.Log, zap.Error(err))
	r.acquireNotBefore = r.options.Now() + LeaseDuration
}

// orderLoad takes a slot for one load and then sends the order. An endpoint
// that does not check fencing tokens accepts any order, so the lease must
// outlast the order; the order is cancelled after orderTimeout.
func (r *Controller) orderLoad(ctx context.Context, address netip.AddrPort, load Load) orderOutcome {
	fence, left := r.lease.TokenAndTTL()
	if left < 2*orderTimeout {
		return notSent
	}
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if !r.registerLoad(bounded, fence, load) {
		return notSent
	}
	held, left := r.lease.TokenAndTTL()
	if held != fence || left < orderTimeout {
		return notSent
	}
	order := engine.Order{Fence: fence, Kind: engine.OrderLoadVersion, Model: load.Model, Adapter: load.Adapter, Weights: load.Weights}
	if load.Adapter != "" {
		order.Kind = engine.OrderLoadAdapter
	}
	orderContext, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	_, err := r.options.Engines.Order(orderContext, address, order)
	var old *engine.StaleFencingTokenError
	if errors.As(err, &old) {
		events.OrderFenced.Log(r.options.Log, zap.String("endpoint", string(load.Endpoint)),
			zap.Uint64("fence", uint64(fence)), zap.Uint64("seen", uint64(old.Seen)))
		return answered
	}
	if err != nil {
		events.OrderFailed.Log(r.options.Log, zap.String("endpoint", string(load.Endpoint)), zap.Error(err))
	}
	// Without an answer it is unknown whether the order was accepted. The next
	// read of the endpoint shows it, and repeating the order is harmless.
	if !isAnswer(err) {
		return unanswered
	}
	return answered
}

// registerLoad takes a slot of the weight store for the load.
func (r *Controller) registerLoad(ctx context.Context, fence tables.FencingToken, load Load) bool {
	result, err := r.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_StartLoad{
		StartLoad: &rpc.StartLoad{
			Lease:    LeaseName,
			Fence:    uint64(fence),
			Endpoint: string(load.Endpoint),
			Model:    string(load.Model),
			Weights:  load.rowWeights(),
		},
	}})
	return err == nil && result.GetDone() != nil
}

// unregisterLoad frees the slot of the endpoint's load.
func (r *Controller) unregisterLoad(ctx context.Context, endpoint tables.EndpointID) {
	fence, left := r.lease.TokenAndTTL()
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

// readEndpoints reads the state of the endpoints that are due: those with a
// counted load in every step, the others at a limited rate. Endpoints whose read
// cannot begin in this step, since silent ones take all places, stay due.
func (r *Controller) readEndpoints(ctx context.Context, c *tables.Configuration) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	admission, stop := context.WithTimeout(bounded, readAdmission)
	defer stop()
	var mu sync.Mutex
	var reads sync.WaitGroup
	defer reads.Wait()
	slots := make(chan struct{}, maxConcurrentReads)
	for _, endpoint := range r.dueForRead(c) {
		select {
		case slots <- struct{}{}:
		case <-admission.Done():
		}
		if admission.Err() != nil {
			return
		}
		reads.Go(func() {
			defer func() { <-slots }()
			state, err := r.options.Engines.OrderState(bounded, endpoint.Address)
			mu.Lock()
			defer mu.Unlock()
			r.recordRead(endpoint.ID, state, err)
		})
	}
}

// dueForRead returns the engines to read in this step, those that were not read
// for longest first.
func (r *Controller) dueForRead(c *tables.Configuration) []tables.Endpoint {
	loading := map[tables.EndpointID]bool{}
	for _, row := range r.options.CountedLoads().Rows {
		loading[tables.EndpointID(row.GetEndpoint())] = true
	}
	interval := max(minReadInterval, time.Duration(len(c.Endpoints))*time.Second/readsPerSecond)
	now := r.options.Now()
	var endpoints []tables.Endpoint
	for _, endpoint := range c.Endpoints {
		last, known := r.lastRead[endpoint.ID]
		due := !known || loading[endpoint.ID] || now-last >= interval
		if endpoint.Kind == tables.Engine && due {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.SortStableFunc(endpoints, func(a, b tables.Endpoint) int { return r.compareLastRead(a.ID, b.ID) })
	return endpoints
}

// compareLastRead orders endpoints by when they were last read, with those that were not read first.
func (r *Controller) compareLastRead(a, b tables.EndpointID) int {
	lastA, knownA := r.lastRead[a]
	lastB, knownB := r.lastRead[b]
	switch {
	case knownA && knownB:
		return cmp.Compare(lastA, lastB)
	case knownA:
		return 1
	case knownB:
		return -1
	}
	return 0
}

// recordRead stores the result of a read.
func (r *Controller) recordRead(endpoint tables.EndpointID, state engine.OrderState, err error) {
	now := r.options.Now()
	r.lastRead[endpoint] = now
	if err != nil {
		r.observations[endpoint] = r.observations[endpoint].unanswered(now)
		r.isolatedSince = cmp.Or(r.isolatedSince, now)
		return
	}
	r.isolatedSince = 0
	r.observations[endpoint] = r.observations[endpoint].answered(now, state)
}

func endpointAddresses(c *tables.Configuration) map[tables.EndpointID]netip.AddrPort {
	addresses := make(map[tables.EndpointID]netip.AddrPort, len(c.Endpoints))
	for _, endpoint := range c.Endpoints {
		addresses[endpoint.ID] = endpoint.Address
	}
	return addresses
}
