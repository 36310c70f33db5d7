package router

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// maxRetries bounds the attempts of one request after its first.
	maxRetries = 3
	// retryDelay is how long a request waits after a failed attempt.
	retryDelay = 5 * time.Millisecond
	// retryAfter is the time to try again named when nothing better is known.
	retryAfter = 2 * time.Second
)

// attemptEnded frees the endpoint and decides what becomes of the request.
func (r *Router) attemptEnded(now tables.Instant, in AttemptEnded) {
	a, ok := r.attempts[in.Attempt]
	if !ok {
		return
	}
	r.release(a)
	row := a.Request
	if in.End != NeverStarted && in.End != Refused {
		row.MayHaveRun = true
	}
	if in.Delivered > row.Delivered {
		row.Delivered = in.Delivered
		row.Weights = a.Weights
	}
	if row.State == tables.Final {
		r.forget(row)
		return
	}
	if in.End == Completed {
		r.abortAll(now, row)
		r.finish(row)
		return
	}
	if len(row.Attempts) > 0 {
		return
	}
	r.afterFailure(now, a, in)
}

// release removes an attempt from its endpoint, request and table.
func (r *Router) release(a *tables.AttemptRow) {
	delete(r.attempts, a.ID)
	r.endpoints.Row(a.Endpoint).Load.Own--
	if a.FirstToken == 0 {
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
	row.Tried = append(row.Tried, a.Endpoint)
	if in.End == Cancelled && !a.Aborted {
		r.finish(row)
		return
	}
	if row.MayHaveRun && !row.Profile.Idempotent {
		r.fail(row, tables.CodeOutcomeUnknown, 0)
		return
	}
	if row.Retries >= maxRetries {
		r.fail(row, failureCode(row), retryAfter)
		return
	}
	row.Retries++
	row.NotBefore = now + retryDelay
	r.enqueue(row)
}

// failureCode is the code of a request whose attempts have all failed.
func failureCode(row *tables.RequestRow) tables.Code {
	switch {
	case row.Delivered > 0:
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
		return tables.Unknown
	}
	return tables.NotRun
}

func (r *Router) fail(row *tables.RequestRow, code tables.Code, after time.Duration) {
	r.actions = append(r.actions, Fail{
		Request:    row.Request.ID,
		Code:       code,
		Outcome:    outcome(row),
		RetryAfter: after,
	})
	r.finish(row)
}

func (r *Router) refuse(_ tables.Instant, request *tables.Request, refusal tables.Refusal) {
	r.actions = append(r.actions, Refuse{Request: request.ID, Refusal: refusal})
}

// timeout ends a request whose deadline has passed.
func (r *Router) timeout(now tables.Instant, row *tables.RequestRow) {
	if !row.Dispatched {
		r.refuse(now, row.Request, tables.Refusal{Code: tables.CodeTimeout, RetryAfter: retryAfter})
		r.finish(row)
		return
	}
	r.abortAll(now, row)
	r.fail(row, tables.CodeTimeout, retryAfter)
}

// finish marks the request as answered. Its row stays until the last attempt
// has ended.
func (r *Router) finish(row *tables.RequestRow) {
	row.State = tables.Final
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
