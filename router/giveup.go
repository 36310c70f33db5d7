package router

import (
	"github.com/carawaystile/carawaystile/systems/health"
	"github.com/carawaystile/carawaystile/systems/retry"
	"github.com/carawaystile/carawaystile/tables"
)

// GiveUp reports whether an attempt at an endpoint that sends nothing should end. If its request
// could not be retried, it keeps waiting: on a busy machine the response is late and not lost.
func (r *Router) GiveUp(now tables.Instant, id tables.AttemptID) bool {
	a := r.attempts[id]
	if a == nil || a.Aborted || a.Request.State == tables.Finished || !a.Request.Profile.Idempotent || len(a.Request.Attempts) > 1 {
		return true
	}
	if r.reserveRetry(a) {
		return true
	}
	r.recordSilence(now, a)
	return false
}

// reserveRetry takes the retry after an attempt from the retry budget, and reports whether there was
// one.
func (r *Router) reserveRetry(a *tables.AttemptRow) bool {
	if !a.RetryReserved {
		a.RetryReserved = a.Request.Retries+1 < retry.MaxAttempts && r.retryBudget.TryWithdraw()
	}
	return a.RetryReserved
}

// recordSilence counts one failure of the endpoint for an attempt without progress.
func (r *Router) recordSilence(now tables.Instant, a *tables.AttemptRow) {
	if !a.Silent {
		a.Silent = true
		health.RecordFailure(now, &r.endpoints.Row(a.Endpoint).Health)
	}
}
