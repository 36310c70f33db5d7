package entry

import (
	"fmt"
	"io"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// tokenTimeoutError reports that an endpoint sent no token within the timeout of a
// stream.
type tokenTimeoutError struct{ after time.Duration }

// Error names the timeout.
func (e *tokenTimeoutError) Error() string { return fmt.Sprintf("no token for %v", e.after) }

// tokenGapError reports that an endpoint skipped at least one token.
type tokenGapError struct{ want, got int }

// Error names both token indexes.
func (e *tokenGapError) Error() string {
	return fmt.Sprintf("received token %d, expected token %d", e.got, e.want)
}

// completionTooLongError reports that an endpoint produced more text than
// Limits.MaxCompletionBytes. The text is kept in memory for a resume, so
// without a bound one endpoint could use up all memory of the instance.
type completionTooLongError struct{ limit int }

// Error names the limit.
func (e *completionTooLongError) Error() string {
	return fmt.Sprintf("completion is longer than %d bytes", e.limit)
}

// callerGoneError reports that the caller has disconnected, so that nobody
// reads the response.
type callerGoneError struct{ cause error }

// Error includes the cause.
func (e *callerGoneError) Error() string { return fmt.Sprintf("caller disconnected: %v", e.cause) }

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.cause }

// responseReader reads the response to one request, with failover: it returns
// tokens in order and without duplicates, and when an attempt fails it
// continues with the next attempt. It is used by one goroutine.
type responseReader struct {
	request *inFlight
	current *startedAttempt
	// firstPending is set while current.firstToken has not been returned.
	firstPending bool
	// tokenTimer cancels the current attempt if its next token is late.
	tokenTimer *time.Timer
	// lastToken is when the previous token was returned.
	lastToken tables.Instant
	// progressReportedAt is when the current attempt's progress was last reported to the router.
	progressReportedAt tables.Instant
}

// progressInterval is the time between two reports of an attempt's progress to the router.
const progressInterval = 500 * time.Millisecond

// next returns the text of the next token, and io.EOF after the last one. Other
// errors are *outcome.Failure and *callerGoneError.
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

// awaitAttempt waits for the next attempt that has output and switches to it.
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
		case started := <-f.started:
			r.switchTo(started)
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

// switchTo makes an attempt the one that the caller is answered from. The event
// loop cancels the others as soon as the router observes the first token.
func (r *responseReader) switchTo(started *startedAttempt) {
	f := r.request
	r.current = started
	r.firstPending = !started.complete
	r.progressReportedAt = f.server.now()
	f.winner.Store(started.attempt)
	if started.attempt.dispatch.ResumeFrom > 0 {
		f.server.metrics.CountResumedStream(f.spec.Organisation)
	}
	a := started.attempt
	limit := f.server.limits.TokenTimeout
	r.tokenTimer = time.AfterFunc(limit, func() { a.cancel(&tokenTimeoutError{after: limit}) })
	r.tokenTimer.Stop()
}

// receiveToken returns the current attempt's next token, or io.EOF after the
// last one.
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

// acceptToken returns the text of a token and reports whether it is the next
// one for the caller. It drops tokens of another attempt and duplicates after a
// resume. A token beyond the next one fails the attempt, because the caller
// would miss the tokens in between.
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
	r.reportProgress()
	return t.Text, true
}

// reportProgress tells the router, from time to time, how far the current attempt is.
func (r *responseReader) reportProgress() {
	if r.lastToken-r.progressReportedAt < progressInterval {
		return
	}
	r.progressReportedAt = r.lastToken
	d := r.current.attempt.dispatch
	r.request.server.Observe(router.AttemptProgressed{Attempt: d.Attempt, Tokens: r.request.deliveredTokens - d.ResumeFrom})
}

// observeLatency records the time to first token, or the time between two
// tokens.
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

// failOver ends the current attempt with an error. The router decides whether
// another attempt follows.
func (r *responseReader) failOver(err error) {
	failed := r.current
	r.current = nil
	r.request.winner.Store(nil)
	failed.attempt.abortStream(failed.stream, err, r.request.deliveredTokens-failed.attempt.dispatch.ResumeFrom)
}

// completeAttempt reports to the router that the current attempt has completed.
func (r *responseReader) completeAttempt() {
	completed := r.current
	r.current = nil
	if completed.stream != nil {
		_ = completed.stream.Close()
	}
	tokens := r.request.deliveredTokens - completed.attempt.dispatch.ResumeFrom
	completed.attempt.reportEnd(router.AttemptEnded{Result: router.Completed, GeneratedTokens: tokens}, nil)
}

// close ends the request and cancels its remaining attempts at their endpoints.
func (r *responseReader) close() {
	f := r.request
	f.cancel()
	if r.current != nil {
		r.failOver(&callerGoneError{cause: f.ctx.Err()})
	}
	f.server.post(requestClosed{request: f})
}

// serviceResponse waits for a plain service's complete response.
func (r *responseReader) serviceResponse() (tables.StoredResponse, error) {
	if err := r.awaitAttempt(); err != nil {
		return tables.StoredResponse{}, err
	}
	got := r.current.response
	r.completeAttempt()
	return tables.StoredResponse{Status: got.Status, ContentType: got.ContentType, Body: got.Body}, nil
}

// readAll returns the complete text and its number of tokens, for a caller that
// does not stream.
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
