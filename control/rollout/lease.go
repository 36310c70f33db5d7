package rollout

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/client"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// renew acquires or extends the lease in the background, so that orders
// continue while the control group decides.
func (r *Controller) renew(ctx context.Context) {
	_, left := r.lease.TokenAndTTL()
	due := left < r.options.LeaseDuration*(renewDivisor-1)/renewDivisor
	if !due || r.renewing || r.options.Now() < r.renewNotBefore || !r.options.IsLeader() {
		return
	}
	r.renewing = true
	go func() {
		bounded, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		r.renewals <- r.lease.AcquireOrRenew(bounded)
	}()
}

func (r *Controller) handleRenewal(err error) {
	r.renewing = false
	var held *client.LeaseHeldError
	switch {
	case errors.As(err, &held):
		r.renewNotBefore, r.lastHolder = r.options.Now()+held.RetryAfter, held.Holder
	case err != nil:
		events.OrdersLeaseNotRenewed.Log(r.options.Log, zap.Error(err))
	}
}

// delayAnnouncedEngines delays orders to the engines that an earlier holder may
// just have sent one. Without the announcements a new holder would have to
// delay its orders to all engines for the duration of a lease.
func (r *Controller) delayAnnouncedEngines() {
	if r.options.EnginesCheckFence {
		return
	}
	for id, at := range r.lease.AnnouncedByOthers() {
		r.planner.DelayOrders(id, at+r.options.HandoverDelay+maxOrderDelay)
	}
}

func (r *Controller) release() {
	if _, left := r.lease.TokenAndTTL(); left <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if err := r.lease.Release(ctx); err != nil {
		events.OrdersLeaseNotRenewed.Log(r.options.Log, zap.Error(err))
	}
}

// handleFenced handles the answer of an engine that has seen a newer fencing token. Further orders to it under the
// same token could undo the changes of a newer holder. The next lease has a higher token, so this one is released,
// at most once in fencedReleaseInterval: meanwhile that engine gets no orders, and the others are not held up.
func (r *Controller) handleFenced(now tables.Instant, id tables.EndpointID, fence tables.FencingToken) {
	events.RolloutFenced.Log(r.options.Log, zap.String("endpoint", string(id)), zap.Uint64("fence", uint64(fence)))
	next := r.fencedAt + fencedReleaseInterval
	if r.fencedAt == 0 || now >= next {
		r.releaseFenced(now)
		return
	}
	r.releaseAt = next
	r.planner.DelayOrders(id, next+fencedReleaseInterval)
}

// releaseFenced releases the lease, so that the next one has a higher fencing token.
func (r *Controller) releaseFenced(now tables.Instant) {
	r.fencedAt, r.releaseAt = now, 0
	r.release()
}
