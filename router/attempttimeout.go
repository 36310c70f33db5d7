package router

import (
	"github.com/carawaystile/carawaystile/systems/health"
	"github.com/carawaystile/carawaystile/systems/retry"
	"github.com/carawaystile/carawaystile/tables"
)

// AllowTimeout reports whether an attempt whose endpoint has sent nothing for a timeout may end. An
// attempt whose request could not be retried continues to wait: the response may be merely late.
func (r *Router) AllowTimeout(now tables.Instant, id tables.AttemptID) bool {
	a := r.attempts[id]
	if a == nil || a.Aborted || a.Request.State == tables.Finished || !a.Request.Profile.Idempotent || len(a.Request.Attempts) > 1 {
		return true
	}
	if r.reserveRetry(a) {
		return true
	}
	r.countFailure(now, a)
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

// countFailure counts one failure of the endpoint for an attempt without progress.
func (r *Router) countFailure(now tables.Instant, a *tables.AttemptRow) {
	if !a.FailureCounted {
		a.FailureCounted = true
		health.RecordFailure(now, &r.endpoints.Row(a.Endpoint).Health)
	}
}
