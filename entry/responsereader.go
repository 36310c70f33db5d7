package entry

import (
	"fmt"
	"io"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// tokenTimeoutError means that an endpoint paused for too long within a stream.
type tokenTimeoutError struct{ after time.Duration }

// Error says how long it paused.
func (e *tokenTimeoutError) Error() string { return fmt.Sprintf("no token for %v", e.after) }

// tokenGapError means that an endpoint left out tokens.
type tokenGapError struct{ want, got int }

// Error says which token came instead of which.
func (e *tokenGapError) Error() string {
	return fmt.Sprintf("token %d came in place of %d", e.got, e.want)
}

// completionTooLongError means that an endpoint gave more text than an answer may have. The
// text is kept for a resume, so without a bound one endpoint could take all of
// the instance's memory.
type completionTooLongError struct{ limit int }

// Error gives the limit.
func (e *completionTooLongError) Error() string {
	return fmt.Sprintf("answer longer than %d bytes", e.limit)
}

// callerGoneError means that the caller went away; nobody reads the answer.
type callerGoneError struct{ cause error }

// Error gives the cause.
func (e *callerGoneError) Error() string { return fmt.Sprintf("caller is gone: %v", e.cause) }

// Unwrap gives the cause.
func (e *callerGoneError) Unwrap() error { return e.cause }

// responseReader gives a flight's tokens in order and without repeats, going on at
// another endpoint when one fails. One goroutine uses it.
type responseReader struct {
	request *inFlight
	current *startedAttempt
	// firstPending is set while current.first is still to be given.
	firstPending bool
	tokenTimer   *time.Timer
	lastToken    tables.Instant
}

// next gives the text of the next token, and io.EOF once the answer is whole.
// Other errors are *outcome.Failure and *gone.
func (r *responseReader) next() (string, error) {
	for {
		if r.current == nil {
			if err := r.awaitAttempt(); err != nil {
				return "", err
			}
		}
		token, err := r.receiveToken()
		if err == io.EOF {
			r.completeAttempt()
			return "", io.EOF
		}
		if err != nil {
			r.failOver(err)
			continue
		}
		text, isNext := r.acceptToken(token)
		if isNext && r.request.emittedBytes > r.request.server.limits.MaxCompletionBytes {
			r.failOver(&completionTooLongError{limit: r.request.server.limits.MaxCompletionBytes})
			return "", unknownOutcome(r.request.spec.ID, tables.CodeEndpointFailed, 0)
		}
		if isNext {
			return text, nil
		}
	}
}

// awaitAttempt takes the next attempt that has something to give.
func (r *responseReader) awaitAttempt() error {
	f := r.request
	select {
	case failure := <-f.failed:
		return failure
	default:
	}
	overdue := time.NewTimer(f.untilOverdue())
	defer overdue.Stop()
	for {
		select {
		case o := <-f.started:
			r.switchTo(o)
			return nil
		case failure := <-f.failed:
			return failure
		case <-f.ctx.Done():
			return &callerGoneError{cause: f.ctx.Err()}
		case <-overdue.C:
			f.server.post(requestOverdue{request: f})
		}
	}
}

// switchTo makes an attempt the one that the caller is answered from. The others
// are cancelled by the loop as soon as the router hears of the first token.
func (r *responseReader) switchTo(o *startedAttempt) {
	f := r.request
	r.current = o
	r.firstPending = !o.complete
	f.winner.Store(o.attempt)
	if o.attempt.dispatch.ResumeFrom > 0 {
		f.server.metrics.CountResumedStream(f.spec.Organisation)
	}
	a := o.attempt
	limit := f.server.limits.TokenTimeout
	r.tokenTimer = time.AfterFunc(limit, func() { a.cancel(&tokenTimeoutError{after: limit}) })
	r.tokenTimer.Stop()
}

// receiveToken gives the current attempt's next token.
func (r *responseReader) receiveToken() (engine.Token, error) {
	if r.firstPending {
		r.firstPending = false
		return r.current.firstToken, nil
	}
	if r.current.complete {
		return engine.Token{}, io.EOF
	}
	r.tokenTimer.Reset(r.request.server.limits.TokenTimeout)
	token, err := r.current.stream.Next()
	r.tokenTimer.Stop()
	return token, err
}

// acceptToken decides whether a token is the one the caller is waiting for. Tokens
// of another attempt and repeats after a resume are dropped; a token too far
// ahead ends the attempt, because the caller would miss those between.
func (r *responseReader) acceptToken(t engine.Token) (string, bool) {
	f := r.request
	if t.Attempt != "" && t.Attempt != r.current.attempt.dispatch.Attempt {
		f.server.metrics.CountDropped(DroppedMismatch)
		return "", false
	}
	next := f.deliveredTokens
	if t.Index < next {
		f.server.metrics.CountDropped(DroppedDuplicate)
		return "", false
	}
	if t.Index > next {
		r.failOver(&tokenGapError{want: next, got: t.Index})
		return "", false
	}
	f.recordToken(t.Text)
	r.observeLatency(next)
	return t.Text, true
}

func (r *responseReader) observeLatency(index int) {
	f := r.request
	now := f.server.now()
	if index == 0 {
		f.server.metrics.ObserveTTFT(f.spec.Organisation, f.spec.Profile, f.profile.Priority, now-f.spec.Arrived)
	} else {
		f.server.metrics.ObserveTimeBetweenTokens(f.spec.Organisation, f.profile.Priority, now-r.lastToken)
	}
	r.lastToken = now
}

// failOver gives up the current attempt and leaves it to the router to go on.
func (r *responseReader) failOver(err error) {
	failed := r.current
	r.current = nil
	r.request.winner.Store(nil)
	failed.attempt.abortStream(failed.stream, err, r.request.deliveredTokens-failed.attempt.dispatch.ResumeFrom)
}

func (r *responseReader) completeAttempt() {
	done := r.current
	r.current = nil
	if done.stream != nil {
		_ = done.stream.Close()
	}
	tokens := r.request.deliveredTokens - done.attempt.dispatch.ResumeFrom
	done.attempt.reportEnd(router.AttemptEnded{Result: router.Completed, GeneratedTokens: tokens}, nil)
}

// close ends the flight: what still runs for it is cancelled at the endpoints.
func (r *responseReader) close() {
	f := r.request
	f.cancel()
	if r.current != nil {
		r.failOver(&callerGoneError{cause: f.ctx.Err()})
	}
	f.server.post(requestClosed{request: f})
}

// serviceResponse waits for a plain service's answer.
func (r *responseReader) serviceResponse() (tables.StoredResponse, error) {
	if err := r.awaitAttempt(); err != nil {
		return tables.StoredResponse{}, err
	}
	got := r.current.response
	r.completeAttempt()
	return tables.StoredResponse{Status: got.Status, ContentType: got.ContentType, Body: got.Body}, nil
}

// readAll collects the whole answer; it is for callers who do not stream.
func (r *responseReader) readAll() (string, int, error) {
	for {
		_, err := r.next()
		if err == io.EOF {
			tokens, text := r.request.progress()
			return text, tokens, nil
		}
		if err != nil {
			return "", 0, err
		}
	}
}
