package router

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/systems/health"
	"github.com/carawaystile/carawaystile/systems/retry"
	"github.com/carawaystile/carawaystile/tables"
)

// defaultRetryAfter is the retry delay that a caller receives when no better
// estimate exists.
const defaultRetryAfter = 2 * time.Second

// observeAttemptEnded releases the attempt's resources and then completes,
// retries or fails the request.
func (r *Router) observeAttemptEnded(now tables.Instant, in AttemptEnded) {
	a, ok := r.attempts[in.Attempt]
	if !ok {
		return
	}
	r.releaseAttempt(a)
	r.recordAttemptEnd(now, a, in)
	r.updateHealth(now, a, in.Result)
	r.updateQuarantine(now, a, in)
	row := a.Request
	if !in.Result.provesNotRun() {
		row.MayHaveRun = true
	}
	if in.DeliveredTokens > row.DeliveredTokens {
		row.DeliveredTokens = in.DeliveredTokens
		row.Weights = a.Weights
	}
	if row.State == tables.Finished {
		r.removeIfDone(row)
		return
	}
	if in.Result == Completed {
		r.abortAll(now, row)
		r.finish(row)
		return
	}
	row.FailedEndpoints = append(row.FailedEndpoints, a.Endpoint)
	if len(row.Attempts) == 0 {
		r.retryOrFail(now, a, in)
	}
}

// updateHealth applies the result of an attempt to the health of its endpoint.
func (r *Router) updateHealth(now tables.Instant, a *tables.AttemptRow, result AttemptResult) {
	row := r.endpoints.Row(a.Endpoint)
	switch result {
	case Completed:
		row.LastProgress = now
		health.RecordSuccess(&row.Health)
	case Interrupted:
		if !a.FailureCounted {
			health.RecordFailure(now, &row.Health)
		}
	case NotStarted:
		// Work that runs at most once also ends as NotStarted when its claim is
		// not granted. That is no evidence against the endpoint.
		if a.Request.Profile.Idempotent {
			health.RecordFailure(now, &row.Health)
		}
	case Unreachable:
		health.Eject(now, &row.Health)
	case Crashed:
		r.handleCrash(now, row, a.Boot)
	}
}

// provesNotRun reports whether the result proves that the work did not run.
func (e AttemptResult) provesNotRun() bool {
	return e == NotStarted || e == Rejected || e == Unreachable
}

// handleCrash ends a boot of an endpoint: its cache is lost.
func (r *Router) handleCrash(now tables.Instant, row *tables.EndpointRow, boot tables.BootID) {
	if boot != row.Boot {
		return
	}
	row.EndBoot()
	r.cacheIndex.Reset(row.Index)
	health.Eject(now, &row.Health)
}

// releaseAttempt removes an attempt from its endpoint, its request and the
// table of attempts.
func (r *Router) releaseAttempt(a *tables.AttemptRow) {
	delete(r.attempts, a.ID)
	r.endpoints.Row(a.Endpoint).Load.LocalAttempts--
	if a.FirstTokenAt == 0 {
		r.releasePrefill(a)
	}
	remaining := a.Request.Attempts[:0]
	for _, other := range a.Request.Attempts {
		if other != a {
			remaining = append(remaining, other)
		}
	}
	a.Request.Attempts = remaining
}

// retryOrFail retries a request whose last attempt failed, or fails it.
func (r *Router) retryOrFail(now tables.Instant, a *tables.AttemptRow, in AttemptEnded) {
	row := a.Request
	quarantineCode := r.quarantineCode(now, row.Request)
	switch {
	case in.Result == Cancelled && !a.Aborted:
		// The caller of Tick cancelled the attempt itself and answers the
		// request.
		r.finish(row)
	case quarantineCode != 0:
		r.fail(row, quarantineCode, 0)
	case !retry.SafeToRetry(row):
		r.fail(row, tables.CodeOutcomeUnknown, 0)
	case in.Result == Unreachable && len(row.FailedEndpoints) < maxUnreachableAttempts:
		// No work reached an endpoint, so a further attempt adds no load to the
		// fleet and counts neither as a retry nor against the retry budget.
		// When a zone is cut off, two thirds of the endpoints become
		// unreachable at once. Counted as retries, these attempts would exhaust
		// the request's attempts and the shared budget, and requests would be
		// refused although endpoints in the local zone are idle.
		r.requeue(now, row)
	case row.Retries+1 >= retry.MaxAttempts && canRestartRetries(now, row):
		row.FailedEndpoints = row.FailedEndpoints[:0]
		r.requeue(now, row)
		row.NotBefore = now + deferredRetryDelay
	case row.Retries+1 >= retry.MaxAttempts:
		r.fail(row, failureCode(row), defaultRetryAfter)
	case !a.RetryReserved && !r.retryBudget.TryWithdraw():
		r.fail(row, r.exhaustedBudgetCode(row), defaultRetryAfter)
	default:
		row.Retries++
		r.requeue(now, row)
	}
}

// deferredRetryDelay is the delay before deferrable work starts a new series of
// attempts. It is about as long as a crashed endpoint is unavailable.
const deferredRetryDelay = 2 * time.Second

// canRestartRetries reports whether a request that used up its attempts may
// start a new series: it is deferrable, certainly has not run, and has waited
// less than promoteAfterFraction of its limit. One series of attempts takes
// less than a tenth of a second. Without this rule, the crash of a few
// endpoints would refuse work that can wait an hour for them.
func canRestartRetries(now tables.Instant, row *tables.RequestRow) bool {
	return !row.MayHaveRun && float64(now-row.SubmittedAt) < promoteAfterFraction*float64(row.Profile.MaxWait)
}

// requeue queues a request for its next attempt.
func (r *Router) requeue(now tables.Instant, row *tables.RequestRow) {
	row.NotBefore = now + retry.Backoff(max(row.Retries, 1))
	row.StartBy = now + admission.DefaultMaxWait(row.Profile)
	if row.Request.Deadline > 0 {
		row.StartBy = min(row.StartBy, row.Request.Deadline)
	}
	r.enqueue(now, row, privateGroup(row))
}

// maxUnreachableAttempts limits the unreachable endpoints that one request
// tries.
const maxUnreachableAttempts = 16

// exhaustedBudgetCode returns the error code of a request that is not retried
// because the retry budget is exhausted. A request whose stream broke always
// reports the broken stream.
func (r *Router) exhaustedBudgetCode(row *tables.RequestRow) tables.ErrorCode {
	if row.DeliveredTokens > 0 {
		return tables.CodeStreamBroken
	}
	return tables.CodeRetryBudget
}

// failureCode returns the error code of a request whose attempts have all
// failed.
func failureCode(row *tables.RequestRow) tables.ErrorCode {
	switch {
	case row.DeliveredTokens > 0:
		return tables.CodeStreamBroken
	case row.MayHaveRun:
		return tables.CodeEndpointFailed
	default:
		return tables.CodeNoEndpoint
	}
}

// outcome returns what is certain about the work of a request that is given up.
func outcome(row *tables.RequestRow) tables.Outcome {
	if row.MayHaveRun || len(row.Attempts) > 0 {
		return tables.OutcomeUnknown
	}
	return tables.OutcomeNotRun
}

func (r *Router) fail(row *tables.RequestRow, code tables.ErrorCode, after time.Duration) {
	r.actions = append(r.actions, Fail{
		Request:    row.Request.ID,
		Code:       code,
		Outcome:    outcome(row),
		RetryAfter: after,
	})
	r.finish(row)
}

func (r *Router) refuse(request *tables.Request, refusal tables.Refusal) {
	r.actions = append(r.actions, Refuse{Request: request.ID, Refusal: refusal})
}

// expireDeadline ends a request whose deadline has passed.
func (r *Router) expireDeadline(now tables.Instant, row *tables.RequestRow) {
	if !row.Dispatched {
		r.refuse(row.Request, tables.Refusal{Code: tables.CodeTimeout, RetryAfter: defaultRetryAfter})
		r.finish(row)
		return
	}
	r.abortAll(now, row)
	r.fail(row, tables.CodeTimeout, defaultRetryAfter)
}

// expireQueued ends a request that has reached its maximum wait. A request that
// was dispatched before can no longer be refused, so it fails.
func (r *Router) expireQueued(now tables.Instant, row *tables.RequestRow) {
	if row.Dispatched {
		r.fail(row, failureCode(row), defaultRetryAfter)
		return
	}
	c := &r.classes[row.Priority]
	refusal := tables.Refusal{Code: tables.CodeOverloaded, RetryAfter: c.backlog[row.Organisation].RetryAfter(now, row.StartBy-row.SubmittedAt)}
	switch {
	case r.organisations.rows[row.Organisation].limiter.AtConcurrencyLimit(r.trafficShare):
		refusal.Code = tables.CodeOrganisationLimit
	case !r.hasEligibleEndpoint(now, row):
		refusal.Code = tables.CodeNoEndpoint
	}
	if refusal.Code == tables.CodeOverloaded {
		r.recordShed(now, row)
	}
	r.refuse(row.Request, refusal)
	r.finish(row)
}

// finish marks the request as answered. Its row stays until the last attempt
// has ended.
func (r *Router) finish(row *tables.RequestRow) {
	row.State = tables.Finished
	r.dequeue(row)
	if row.HoldsConcurrencySlot {
		row.HoldsConcurrencySlot = false
		r.organisations.rows[row.Organisation].limiter.Release()
	}
	r.removeIfDone(row)
}

func (r *Router) removeIfDone(row *tables.RequestRow) {
	if len(row.Attempts) == 0 {
		delete(r.requests, row.Request.ID)
	}
}

func (r *Router) abortAll(now tables.Instant, row *tables.RequestRow) {
	for _, a := range row.Attempts {
		r.abort(now, a)
	}
}

func (r *Router) abortOthers(now tables.Instant, winner *tables.AttemptRow) {
	for _, a := range winner.Request.Attempts {
		if a != winner {
			r.abort(now, a)
		}
	}
}

func (r *Router) abort(now tables.Instant, a *tables.AttemptRow) {
	if a.Aborted {
		return
	}
	a.Aborted = true
	a.AbortedAt = now
	r.actions = append(r.actions, Abort{Attempt: a.ID, Endpoint: r.endpoints.Row(a.Endpoint).Endpoint})
}
