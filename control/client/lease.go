package client

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// LeaseOptions sets a Lease up.
type LeaseOptions struct {
	Executor Executor
	// Name tells leases apart; one instance at most holds each.
	Name     string
	Instance tables.InstanceID
	// Boot grows with every start of this instance.
	Boot uint64
	// Duration is how long the lease is held after a renewal, from a second to a
	// minute.
	Duration time.Duration
	// Now is this process's monotonic clock.
	Now func() tables.Instant
}

// Lease is the right of one instance at a time to do something. It is safe for
// concurrent use.
type Lease struct {
	options LeaseOptions

	mu    sync.Mutex
	fence tables.FencingToken
	until tables.Instant
	// announced are the orders of other holders, by when they were announced.
	announced map[tables.EndpointID]tables.Instant
}

// NewLease returns a lease that is not held.
func NewLease(options LeaseOptions) *Lease { return &Lease{options: options} }

// LeaseHeldError means that another instance holds the lease.
type LeaseHeldError struct {
	Holder     tables.InstanceID
	RetryAfter time.Duration
}

// Error names the holder.
func (e *LeaseHeldError) Error() string { return "lease is held by instance " + string(e.Holder) }

// AcquireOrRenew asks for the lease, or for more time if it is held here. Its errors are
// *LeaseHeld, *tables.NoQuorum and *Unexpected.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	// The time counts from before the question left: the answer may take long,
	// and the group counts from when it decided.
	sent := l.options.Now()
	result, err := l.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_AcquireLease{
		AcquireLease: &rpc.AcquireLease{
			Name:          l.options.Name,
			Holder:        &rpc.ClaimOwner{Instance: string(l.options.Instance), Boot: l.options.Boot},
			DurationNanos: int64(l.options.Duration),
		},
	}})
	if err != nil {
		return trace.Wrap(err)
	}
	answer := result.GetLease()
	if answer == nil {
		return trace.Wrap(&UnexpectedResultError{Operation: "acquire lease", Reason: result.GetRefusal().GetReason()})
	}
	if !answer.GetGranted() {
		return trace.Wrap(&LeaseHeldError{
			Holder:     tables.InstanceID(answer.GetHolder().GetInstance()),
			RetryAfter: time.Duration(answer.GetRetryAfterNanos()),
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence := tables.FencingToken(answer.GetFence()); fence != l.fence {
		l.fence = fence
		l.announced = announcedAt(answer, l.options.Now())
	}
	l.until = sent + safe(l.options.Duration)
	return nil
}

// announcedAt is when orders were announced, by the own clock. Log time goes no
// faster than real time, so none was announced later.
func announcedAt(answer *rpc.LeaseAnswer, now tables.Instant) map[tables.EndpointID]tables.Instant {
	at := map[tables.EndpointID]tables.Instant{}
	for _, order := range answer.GetAnnounced() {
		at[tables.EndpointID(order.GetEndpoint())] = now - time.Duration(order.GetAgeNanos())
	}
	return at
}

// AnnouncedByOthers lists the endpoints that other holders may have given orders, and
// when each was announced.
func (l *Lease) AnnouncedByOthers() map[tables.EndpointID]tables.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announced
}

// AnnounceOrders has the group note that orders are about to leave for endpoints. Only
// after it has returned without a failure may they. Its errors are
// *tables.NoQuorum and *Unexpected.
func (l *Lease) AnnounceOrders(ctx context.Context, endpoints []tables.EndpointID) error {
	fence, _ := l.TokenAndTTL()
	request := &rpc.AnnounceOrders{Lease: l.options.Name, Fence: uint64(fence)}
	for _, id := range endpoints {
		request.Endpoints = append(request.Endpoints, string(id))
	}
	result, err := l.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_AnnounceOrders{AnnounceOrders: request}})
	if err != nil {
		return trace.Wrap(err)
	}
	if result.GetDone() == nil {
		return trace.Wrap(&UnexpectedResultError{Operation: "announce orders", Reason: result.GetRefusal().GetReason()})
	}
	return nil
}

// TokenAndTTL returns the fencing number and how much longer the lease is held, by the
// own clock alone. It is not held if that is not above zero. An instance that
// is cut off needs no message to know that it must stop.
func (l *Lease) TokenAndTTL() (tables.FencingToken, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.until - l.options.Now()
}

// Release gives the lease up at once. The holder calls it after its last order
// was answered.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	fence := l.fence
	l.until = 0
	l.mu.Unlock()
	_, err := l.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_ReleaseLease{
		ReleaseLease: &rpc.ReleaseLease{Name: l.options.Name, Fence: uint64(fence)},
	}})
	return trace.Wrap(err)
}
