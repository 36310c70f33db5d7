package orders

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// maxAttempts is how many answered orders of a load may show no effect before it has failed. The first one
	// may be lost to a restart.
	maxAttempts = 2
	// minFailureBackoff is the time before a failed load is ordered again. It doubles up to maxLoadDuration.
	minFailureBackoff = 30 * time.Second
)

// attempts is the exponential back-off of a load that was ordered and has not been seen done.
type attempts struct {
	// answered counts the orders that the endpoint answered since the load has last failed. unansweredSince is
	// when the first of the latest orders got no answer, 0 if the latest one got one.
	answered        int
	unansweredSince tables.Instant
	// failures counts how often the load has failed, and retryAt is when it may be ordered again.
	failures int
	retryAt  tables.Instant
}

// ordered returns the attempts after an order.
func (a attempts) ordered(now tables.Instant, answered bool) attempts {
	switch {
	case answered:
		a.answered++
		a.unansweredSince = 0
	case a.unansweredSince == 0:
		a.unansweredSince = now
	}
	return a
}

// haveFailed reports whether a load that its endpoint neither executes nor has done is given up. An order
// without an answer may be executed later, until no load takes that long.
func (a attempts) haveFailed(now tables.Instant) bool {
	limit := maxAttempts
	if a.failures > 0 {
		limit = 1
	}
	return a.answered >= limit || a.unansweredSince != 0 && now-a.unansweredSince >= maxLoadDuration
}

// failed returns the attempts after the load has been given up.
func (a attempts) failed(now tables.Instant) attempts {
	backoff := min(minFailureBackoff<<min(a.failures, 8), maxLoadDuration)
	return attempts{failures: a.failures + 1, retryAt: now + backoff}
}

// forgetAttempts drops the attempts of loads that are done or not wanted any more.
func (r *Controller) forgetAttempts(c *tables.Configuration) {
	missing, inUse := map[Load]bool{}, map[tables.EndpointID]bool{}
	for _, endpoint := range c.Endpoints {
		inUse[endpoint.ID] = endpoint.Kind == tables.Engine && !endpoint.Leaving
		for _, load := range missingLoads(c, endpoint, r.observations[endpoint.ID]) {
			missing[load] = true
		}
	}
	maps.DeleteFunc(r.attempts, func(load Load, _ attempts) bool {
		return !inUse[load.Endpoint] || r.observations[load.Endpoint].answers() && !missing[load]
	})
	maps.DeleteFunc(r.unanswered, func(id tables.EndpointID, _ Load) bool { return !inUse[id] })
}

// replacesUnanswered reports whether one of the loads is another one than the endpoint was last ordered without an
// answer. That order may still be executed, after the new one.
func (r *Controller) replacesUnanswered(loads []Load) bool {
	return slices.ContainsFunc(loads, func(load Load) bool {
		late, found := r.unanswered[load.Endpoint]
		return found && late != load
	})
}

// replaceToken acquires the lease under a newer fencing token, so that endpoints that check tokens refuse the orders
// that are still on their way. It returns whether this instance holds the lease.
func (r *Controller) replaceToken(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.lease.Release(bounded)
	if err == nil {
		err = r.lease.AcquireOrRenew(bounded)
	}
	if err != nil {
		events.OrdersLeaseNotRenewed.Log(r.options.Log, zap.Error(err))
		return false
	}
	clear(r.unanswered)
	return true
}

// giveUp frees the slot of a failed load until its back-off has passed.
func (r *Controller) giveUp(ctx context.Context, load Load) {
	r.attempts[load] = r.attempts[load].failed(r.options.Now())
	events.OrderedLoadFailed.Log(r.options.Log, zap.String("endpoint", string(load.Endpoint)), zap.String("model", string(load.Model)),
		zap.String("weights", load.rowWeights()), zap.Int("failures", r.attempts[load].failures))
	r.unregisterLoad(ctx, load.Endpoint)
}

// orderOutcome is what is known of an order after it was sent.
type orderOutcome uint8

// The outcomes.
const (
	notSent orderOutcome = iota
	unanswered
	answered
)

// isAnswer reports whether an order's error shows that it has reached its endpoint and is not on its way any more.
func isAnswer(err error) bool {
	var refused *engine.UnexpectedStatusError
	if errors.As(err, &refused) {
		return refused.Status != http.StatusBadGateway && refused.Status != http.StatusGatewayTimeout
	}
	var pushback *engine.PushbackError
	var fenced *engine.StaleFencingTokenError
	return err == nil || errors.As(err, &pushback) || errors.As(err, &fenced)
}
