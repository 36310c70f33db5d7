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
	// retryAfterInProgress is when a resend should ask again for the answer of a run
	// that has not ended.
	retryAfterInProgress = time.Second
	// retryAfterNoQuorum is when the control state may be reachable again.
	retryAfterNoQuorum = 2 * time.Second
)

// claim is the right to run one flight's work once.
type claim struct {
	store   ClaimStore
	timeout time.Duration
	grant   tables.ClaimResult
	// dispatchMarked is set once the work may have been handed to an endpoint. Attempts
	// of one flight follow each other, so nothing guards it.
	dispatchMarked bool
}

// acquire asks for the claim. It gives the stored answer if the work has run, a
// failure if it must not run now, and neither if it may.
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

// claimFailure is for a claim that was not made: this request did not run.
func claimFailure(id tables.RequestID, err error) *outcome.Failure {
	var reused *tables.KeyReusedError
	if errors.As(err, &reused) {
		return notRun(id, tables.CodeKeyReused, 0)
	}
	return notRun(id, tables.CodeNoQuorum, retryAfterNoQuorum)
}

// unknownOutcome is for work that another request under the same key has begun.
func unknownOutcome(id tables.RequestID, code tables.ErrorCode, retryAfter time.Duration) *outcome.Failure {
	return outcome.NewUndispatched(id).Dispatch("").Fail(code, outcome.MayHaveRun, retryAfter)
}

// mayDispatch says whether the attempt may be handed to the client. Work that
// must run once needs the control state to have recorded the dispatch first: a
// router that died between would otherwise leave a claim that looks unused,
// and a resend would run the work again.
func (a *attempt) mayDispatch() bool {
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

// discard ends an attempt that was never sent.
func (a *attempt) discard(requestFailure *outcome.Failure) {
	a.cancel(nil)
	proof := a.unsent.Discard()
	how := router.AttemptEnded{Attempt: a.dispatch.Attempt, Result: router.NotStarted}
	a.request.server.post(attemptEnded{attempt: a, input: how, proof: &proof, requestFailure: requestFailure})
}

// finish stores the answer for resends. The caller gets it also when it could
// not be stored; a resend is then told that the outcome is unknown.
func (c *claim) finish(f *inFlight, answer tables.StoredResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	if err := c.store.Finish(ctx, c.grant, answer); err != nil {
		events.AnswerNotStored.Log(f.server.log, zap.String("request", string(f.spec.ID)), zap.Error(err))
	}
}

// release gives the claim back if the work did not run.
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
