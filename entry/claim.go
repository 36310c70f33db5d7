package entry

import (
	"context"
	"errors"
	"time"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
	"go.uber.org/zap"
)

const (
	// retryAfterInProgress is the retry delay for a resend while the first run
	// under its key is in progress.
	retryAfterInProgress = time.Second
	// retryAfterNoQuorum is the retry delay while the control state has no
	// quorum.
	retryAfterNoQuorum = 2 * time.Second
)

// claim is the exclusive right to run one request's work under its idempotency
// key, which makes the work run at most once.
type claim struct {
	store   ClaimStore
	timeout time.Duration
	grant   tables.ClaimResult
	// dispatchMarked is set once the work may have been sent to an endpoint.
	// The attempts of one request run one after the other, so it needs no lock.
	dispatchMarked bool
}

// acquire claims the idempotency key. It returns the stored response if the
// work has completed, a failure if the work must not run now, and neither if it
// may run.
func (c *claim) acquire(ctx context.Context, f *inFlight, key tables.IdempotencyKey, body tables.BodyHash) (*tables.StoredResponse, *outcome.Failure) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	grant, err := c.store.Claim(ctx, f.spec.Organisation, key, body)
	if err != nil {
		return nil, claimFailure(f.spec.ID, err)
	}
	c.grant = grant
	switch grant.State {
	case tables.ClaimGranted:
		return nil, nil
	case tables.ClaimCompleted:
		return &grant.Response, nil
	case tables.ClaimInProgress:
		return nil, unknownOutcome(f.spec.ID, tables.CodeKeyInProgress, retryAfterInProgress)
	default:
		return nil, unknownOutcome(f.spec.ID, tables.CodeOutcomeUnknown, 0)
	}
}

// claimFailure returns the failure for a claim that was not granted. The work
// of this request did not run.
func claimFailure(id tables.RequestID, err error) *outcome.Failure {
	var reused *tables.KeyReusedError
	if errors.As(err, &reused) {
		return notRun(id, tables.CodeKeyReused, 0)
	}
	return notRun(id, tables.CodeNoQuorum, retryAfterNoQuorum)
}

// unknownOutcome returns a failure for work that may have run, for example
// under the same idempotency key for an earlier request.
func unknownOutcome(id tables.RequestID, code tables.ErrorCode, retryAfter time.Duration) *outcome.Failure {
	return outcome.NewUndispatched(id).Dispatch("").Fail(code, outcome.MayHaveRun, retryAfter)
}

// prepareDispatch reports whether the attempt may be sent to its endpoint, and
// otherwise ends the attempt. For work that must run at most once, the control
// state must record the dispatch before. Otherwise, if the instance crashed
// after sending the attempt, the claim would look unused, and a resend would
// run the work again.
func (a *attempt) prepareDispatch() bool {
	c := a.request.claim
	if a.ctx.Err() != nil {
		a.discard(nil)
		return false
	}
	if c == nil || c.dispatchMarked {
		return true
	}
	ctx, cancel := context.WithTimeout(a.ctx, c.timeout)
	defer cancel()
	if err := c.store.MarkDispatched(ctx, c.grant); err != nil {
		a.discard(notRun(a.request.spec.ID, tables.CodeNoQuorum, retryAfterNoQuorum))
		return false
	}
	c.dispatchMarked = true
	return true
}

// discard ends an attempt that was never sent. If requestFailure is not nil, it
// also ends the request with this failure.
func (a *attempt) discard(requestFailure *outcome.Failure) {
	a.cancel(nil)
	proof := a.unsent.Discard()
	end := router.AttemptEnded{Attempt: a.dispatch.Attempt, Result: router.NotStarted}
	a.request.server.post(attemptEnded{attempt: a, input: end, proof: &proof, requestFailure: requestFailure})
}

// finish stores the response for resends. The caller gets the response even if
// it could not be stored; a resend is then told that the outcome is unknown.
func (c *claim) finish(f *inFlight, answer tables.StoredResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	if err := c.store.Finish(ctx, c.grant, answer); err != nil {
		events.AnswerNotStored.Log(f.server.log, zap.String("request", string(f.spec.ID)), zap.Error(err))
	}
}

// release gives up the claim if the work did not run, so that a resend can run
// it.
func (c *claim) release(f *inFlight, failure *outcome.Failure) {
	if failure.Outcome() != tables.OutcomeNotRun || c.grant.State != tables.ClaimGranted {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	if err := c.store.Release(ctx, c.grant); err != nil {
		events.ClaimNotReleased.Log(f.server.log, zap.String("request", string(f.spec.ID)), zap.Error(err))
	}
}
