package client

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// LeaseOptions configures a Lease.
type LeaseOptions struct {
	Executor Executor
	// Name identifies the lease. At most one instance holds the lease of a name.
	Name     string
	Instance tables.InstanceID
	// Boot is the boot epoch. It increases with every start of this instance.
	Boot uint64
	// Duration is the validity of the lease after each renewal, from a second to a
	// minute.
	Duration time.Duration
	// Now returns the time of this process's monotonic clock.
	Now func() tables.Instant
}

// Lease is a distributed lease with fencing tokens: at most one instance holds it
// at a time, and every new holder gets a higher token. Lease is safe for concurrent
// use.
type Lease struct {
	options LeaseOptions

	mu        sync.Mutex
	token     tables.FencingToken
	expiresAt tables.Instant
	// released is the highest token that was given up, and releaseUnconfirmed is set until the control group has
	// answered its release. A release without an answer may be committed after any later command.
	released           tables.FencingToken
	releaseUnconfirmed bool
	// announcedByOthers are the endpoints that other holders may have sent orders
	// to, with the time of each announcement.
	announcedByOthers map[tables.EndpointID]tables.Instant
}

// NewLease returns a lease that is not held yet.
func NewLease(options LeaseOptions) *Lease { return &Lease{options: options} }

// LeaseHeldError means that another instance holds the lease.
type LeaseHeldError struct {
	Holder     tables.InstanceID
	RetryAfter time.Duration
}

// Error names the current holder.
func (e *LeaseHeldError) Error() string { return "lease is held by instance " + string(e.Holder) }

// LeaseReleasedError means that the lease was granted under a fencing token that this instance has given up.
type LeaseReleasedError struct{ Token tables.FencingToken }

// Error names the token.
func (e *LeaseReleasedError) Error() string {
	return fmt.Sprintf("lease was granted under the released token %d", e.Token)
}

// AcquireOrRenew requests the lease, or extends it if this instance holds it. Its
// errors are *LeaseHeldError, *LeaseReleasedError, *tables.NoQuorumError and
// *UnexpectedResultError.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if err := l.confirmRelease(ctx); err != nil {
		return trace.Wrap(err)
	}
	// The validity is measured from before the request is sent. The reply may be
	// slow, and the control state measures it from the commit of the command.
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
	fence := tables.FencingToken(answer.GetFence())
	if fence <= l.released {
		return trace.Wrap(&LeaseReleasedError{Token: fence})
	}
	if fence != l.token {
		l.token = fence
		l.announcedByOthers = announcementTimes(answer, l.options.Now())
	}
	l.expiresAt = sent + withClockDriftMargin(l.options.Duration)
	return nil
}

// announcementTimes returns the time of each announcement on the clock of this
// process. Log time never runs faster than real time, so no announcement is more
// recent than the returned time.
func announcementTimes(answer *rpc.LeaseAnswer, now tables.Instant) map[tables.EndpointID]tables.Instant {
	at := map[tables.EndpointID]tables.Instant{}
	for _, order := range answer.GetAnnounced() {
		at[tables.EndpointID(order.GetEndpoint())] = now - time.Duration(order.GetAgeNanos())
	}
	return at
}

// AnnouncedByOthers returns the endpoints that other holders may have sent orders
// to, with the time of each announcement.
func (l *Lease) AnnouncedByOthers() map[tables.EndpointID]tables.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announcedByOthers
}

// AnnounceOrders records in the control state that this holder is about to send
// orders to the endpoints. Orders may be sent only after it has returned without an
// error. Its errors are *tables.NoQuorumError and *UnexpectedResultError.
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

// TokenAndTTL returns the fencing token and the remaining validity of the lease, by the
// clock of this process alone. The lease is held only while the remaining validity is
// above zero. A partitioned instance therefore needs no message to know that it must
// stop.
func (l *Lease) TokenAndTTL() (tables.FencingToken, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.expiresAt - l.options.Now()
}

// Release gives the lease up immediately. The holder calls it after the reply to
// its last order. The token is not used again, whether or not the release succeeds.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	l.released, l.releaseUnconfirmed = max(l.released, l.token), true
	l.expiresAt = 0
	l.mu.Unlock()
	return trace.Wrap(l.confirmRelease(ctx))
}

// confirmRelease repeats the release of the token that was given up last, unless the control group has answered it. A
// lease under that token would end with the release that is still on its way.
func (l *Lease) confirmRelease(ctx context.Context) error {
	l.mu.Lock()
	token, unconfirmed := l.released, l.releaseUnconfirmed
	l.mu.Unlock()
	if !unconfirmed {
		return nil
	}
	_, err := l.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_ReleaseLease{
		ReleaseLease: &rpc.ReleaseLease{Name: l.options.Name, Fence: uint64(token)},
	}})
	if err != nil {
		return trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released == token {
		l.releaseUnconfirmed = false
	}
	return nil
}
