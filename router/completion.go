package router

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/systems/health"
	"github.com/carawaystile/carawaystile/systems/retry"
	"github.com/carawaystile/carawaystile/tables"
)

// retryAfter is the time to try again named when nothing better is known.
const retryAfter = 2 * time.Second

// attemptEnded frees the endpoint and decides what becomes of the request.
func (r *Router) attemptEnded(now tables.Instant, in AttemptEnded) {
	a, ok := r.attempts[in.Attempt]
	if !ok {
		return
	}
	r.release(a)
	r.learnEnd(now, a, in)
	r.judge(now, a, in.Result)
	r.suspectEnd(now, a, in)
	row := a.Request
	if !in.Result.provesNotRun() {
		row.MayHaveRun = true
	}
	if in.DeliveredTokens > row.DeliveredTokens {
		row.DeliveredTokens = in.DeliveredTokens
		row.Weights = a.Weights
	}
	if row.State == tables.Finished {
		r.forget(row)
		return
	}
	if in.Result == Completed {
		r.abortAll(now, row)
		r.finish(row)
		return
	}
	row.FailedEndpoints = append(row.FailedEndpoints, a.Endpoint)
	if len(row.Attempts) == 0 {
		r.afterFailure(now, a, in)
	}
}

// judge takes an attempt's end into the health of its endpoint.
func (r *Router) judge(now tables.Instant, a *tables.AttemptRow, end AttemptResult) {
	row := r.endpoints.Row(a.Endpoint)
	switch end {
	case Completed:
		row.LastProgress = now
		health.Succeeded(&row.Health)
	case Interrupted:
		health.Failed(now, &row.Health)
	case NotStarted:
		// Work that runs at most once also ends like this when its claim is not
		// granted, which says nothing of the endpoint.
		if a.Request.Profile.Idempotent {
			health.Failed(now, &row.Health)
		}
	case Unreachable:
		health.Eject(now, &row.Health)
	case Crashed:
		r.crashed(now, row, a.Boot)
	}
}

// provesNotRun says whether the attempt cannot have run.
func (e AttemptResult) provesNotRun() bool {
	return e == NotStarted || e == Rejected || e == Unreachable
}

// crashed ends a life of an endpoint: its cache is gone.
func (r *Router) crashed(now tables.Instant, row *tables.EndpointRow, boot tables.BootID) {
	if boot != row.Boot {
		return
	}
	row.EndBoot()
	r.view.Reset(row.Index)
	health.Eject(now, &row.Health)
}

// release removes an attempt from its endpoint, request and table.
func (r *Router) release(a *tables.AttemptRow) {
	delete(r.attempts, a.ID)
	r.endpoints.Row(a.Endpoint).Load.LocalAttempts--
	if a.FirstTokenAt == 0 {
		r.prefillOver(a)
	}
	kept := a.Request.Attempts[:0]
	for _, other := range a.Request.Attempts {
		if other != a {
			kept = append(kept, other)
		}
	}
	a.Request.Attempts = kept
}

// afterFailure retries a request whose last attempt failed, or fails it.
func (r *Router) afterFailure(now tables.Instant, a *tables.AttemptRow, in AttemptEnded) {
	row := a.Request
	switch {
	case in.Result == Cancelled && !a.Aborted:
		// The shell gave the request up itself and tells its caller.
		r.finish(row)
	case r.convicted(now, row.Request.Fingerprint):
		r.fail(row, tables.CodeQuarantined, 0)
	case !retry.SafeToRetry(row):
		r.fail(row, tables.CodeOutcomeUnknown, 0)
	case in.Result == Unreachable && len(row.FailedEndpoints) < maxUnreachable:
		// Nothing reached an endpoint, so trying another adds no load to the
		// fleet. When a zone is cut off, two thirds of the endpoints are gone at
		// once: counted like other retries, these would use up the request's
		// tries and the budget of all, and requests would be refused though the
		// own zone's endpoints are idle.
		r.again(now, row)
	case row.Retries+1 >= retry.MaxAttempts && holdable(now, row):
		row.FailedEndpoints = row.FailedEndpoints[:0]
		r.again(now, row)
		row.NotBefore = now + heldRetryPause
	case row.Retries+1 >= retry.MaxAttempts:
		r.fail(row, failureCode(row), retryAfter)
	case !r.budget.TryWithdraw():
		r.fail(row, r.budgetCode(row), retryAfter)
	default:
		row.Retries++
		r.again(now, row)
	}
}

// heldRetryPause is the wait of work that can be held before it is tried again
// after all its tries. It is about as long as an endpoint that crashed is away.
const heldRetryPause = 2 * time.Second

// holdable says whether a request that proved unable to start can be held
// longer. Its tries are over within a tenth of a second. Were it refused then, a
// crash of a few endpoints would refuse work that had an hour to wait for them.
func holdable(now tables.Instant, row *tables.RequestRow) bool {
	return !row.MayHaveRun && float64(now-row.SubmittedAt) < promoteAfter*float64(row.Profile.MaxWait)
}

// again lets a request wait for its next attempt.
func (r *Router) again(now tables.Instant, row *tables.RequestRow) {
	row.NotBefore = now + retry.Backoff(max(row.Retries, 1))
	row.StartBy = now + admission.Patience(row.Profile)
	if row.Request.Deadline > 0 {
		row.StartBy = min(row.StartBy, row.Request.Deadline)
	}
	r.enqueue(now, row, ownGroup(row))
}

// maxUnreachable bounds the endpoints that one request finds unreachable.
const maxUnreachable = 16

// budgetCode is the code of a request that was not tried again for want of
// budget. A stream that broke is called that, whatever the reason.
func (r *Router) budgetCode(row *tables.RequestRow) tables.ErrorCode {
	if row.DeliveredTokens > 0 {
		return tables.CodeStreamBroken
	}
	return tables.CodeRetryBudget
}

// failureCode is the code of a request whose attempts have all failed.
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

// outcome is what is certain about the work of a request that is given up.
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

// timeout ends a request whose deadline has passed.
func (r *Router) timeout(now tables.Instant, row *tables.RequestRow) {
	if !row.Dispatched {
		r.refuse(row.Request, tables.Refusal{Code: tables.CodeTimeout, RetryAfter: retryAfter})
		r.finish(row)
		return
	}
	r.abortAll(now, row)
	r.fail(row, tables.CodeTimeout, retryAfter)
}

// giveUp ends a request that waited for as long as it may. One that was
// dispatched before cannot be refused any more; it fails.
func (r *Router) giveUp(now tables.Instant, row *tables.RequestRow) {
	if row.Dispatched {
		r.fail(row, failureCode(row), retryAfter)
		return
	}
	c := &r.classes[row.Priority]
	refusal := tables.Refusal{Code: tables.CodeOverloaded, RetryAfter: c.backlog[row.Organisation].RetryAfter(now, row.StartBy-row.SubmittedAt)}
	switch {
	case r.organisations.rows[row.Organisation].limiter.Full(r.share):
		refusal.Code = tables.CodeOrganisationLimit
	case !r.anyServes(now, row):
		refusal.Code = tables.CodeNoEndpoint
	}
	if refusal.Code == tables.CodeOverloaded {
		r.notePressure(now, row)
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
		r.organisations.rows[row.Organisation].limiter.Stop()
	}
	r.forget(row)
}

func (r *Router) forget(row *tables.RequestRow) {
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
