package entry

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// cancelRetryInterval is the time between two cancel requests for the same
	// attempt.
	cancelRetryInterval = 100 * time.Millisecond
	// crashCheckGrace is how long a retry waits until the endpoint confirms the
	// end of the interrupted attempt. A crash is detected within this time.
	crashCheckGrace = 200 * time.Millisecond
)

// run runs the attempt up to its first token, or up to a plain service's
// complete response, and delivers that to the goroutine that serves the caller.
func (a *attempt) run() {
	if !a.prepareDispatch() {
		return
	}
	if a.request.call != nil {
		a.runServiceCall()
		return
	}
	a.runCompletion()
}

// runCompletion opens a token stream at the endpoint. It resumes after the
// tokens that the caller already has.
func (a *attempt) runCompletion() {
	f := a.request
	delivered, emitted := f.progress()
	stream, err := f.server.client.Generate(a.ctx, a.dispatch.Endpoint.Address, engine.GenerateRequest{
		Attempt:        a.dispatch.Attempt,
		Model:          f.profile.Model,
		Adapter:        f.profile.Adapter,
		Weights:        a.dispatch.Weights,
		Prompt:         f.prompt,
		MaxTokens:      f.spec.MaxTokens,
		Priority:       a.dispatch.Priority,
		Salt:           string(f.spec.Organisation),
		ResumeFrom:     delivered,
		Emitted:        emitted,
		TimeoutAllowed: a.timeoutAllowed,
	})
	if err != nil {
		a.failWithoutStream(err)
		return
	}
	accepted := stream.Accepted()
	if err := a.verifyAccepted(accepted); err != nil {
		a.abortStream(stream, err, 0)
		return
	}
	f.server.Observe(router.AttemptStarted{Attempt: accepted.Attempt, Boot: accepted.Boot, Weights: accepted.Weights})
	token, err := stream.Next()
	if err != nil && err != io.EOF {
		a.abortStream(stream, err, 0)
		return
	}
	f.server.Observe(router.FirstToken{Attempt: accepted.Attempt, CachedTokens: accepted.CachedTokens})
	f.server.metrics.ObservePrefixHitRatio(f.spec.Organisation, f.profile.Priority, accepted.CachedTokens, f.spec.PromptTokens)
	a.deliver(&startedAttempt{attempt: a, stream: stream, firstToken: token, complete: err == io.EOF})
}

// runServiceCall sends a call to a plain service and reads the complete
// response.
func (a *attempt) runServiceCall() {
	f := a.request
	call := *f.call
	call.Attempt = a.dispatch.Attempt
	answer, err := f.server.client.Call(a.ctx, a.dispatch.Endpoint.Address, call)
	if err != nil {
		a.failWithoutStream(err)
		return
	}
	if answer.Attempt != a.dispatch.Attempt {
		a.failWithoutStream(&engine.MismatchError{
			Attempt: a.dispatch.Attempt, Field: "attempt",
			Want: string(a.dispatch.Attempt), Got: string(answer.Attempt),
		})
		return
	}
	f.server.Observe(router.AttemptStarted{Attempt: a.dispatch.Attempt, Boot: answer.Boot})
	f.server.Observe(router.FirstToken{Attempt: a.dispatch.Attempt})
	a.deliver(&startedAttempt{attempt: a, response: answer, complete: true})
}

// verifyAccepted compares the attempt ID and the weights version that the
// endpoint reports with the requested ones. Without this check, the response to
// another attempt, or one from older weights, would reach the caller.
func (a *attempt) verifyAccepted(got engine.AcceptedEvent) error {
	id := a.dispatch.Attempt
	if got.Attempt != id {
		return &engine.MismatchError{Attempt: id, Field: "attempt", Want: string(id), Got: string(got.Attempt)}
	}
	if want := a.dispatch.Weights; want != "" && got.Weights != want {
		return &engine.MismatchError{Attempt: id, Field: "weights", Want: string(want), Got: string(got.Weights)}
	}
	return nil
}

// deliver passes the attempt's output to the caller's goroutine, unless another
// attempt has won or the caller has disconnected.
func (a *attempt) deliver(started *startedAttempt) {
	if started.stream == nil {
		a.deliverServiceResponse(started)
		return
	}
	select {
	case a.request.started <- started:
	case <-a.ctx.Done():
		if a.request.winner.Load() != nil {
			a.request.server.metrics.CountDropped(DroppedLate)
		}
		a.abortStream(started.stream, context.Cause(a.ctx), 0)
	}
}

// deliverServiceResponse passes on a plain service's complete response even if
// the attempt has been aborted in the meantime. The router treats the
// completion of the attempt as that of the request. If a response that races
// with an abort were dropped, the router would start no other attempt, and the
// caller would wait forever.
func (a *attempt) deliverServiceResponse(started *startedAttempt) {
	f := a.request
	select {
	case f.started <- started:
	case <-f.ctx.Done():
		if f.winner.Load() != nil {
			f.server.metrics.CountDropped(DroppedLate)
		}
		a.reportEnd(router.AttemptEnded{Result: router.Completed}, nil)
	}
}

// abortStream closes a stream, which cancels the attempt at the endpoint, and
// reports the attempt's end.
func (a *attempt) abortStream(stream engine.Stream, err error, tokens int) {
	a.reportInterrupted(err, tokens, stream.Close)
}

// failWithoutStream reports the end of an attempt that returned neither a
// stream nor a response.
func (a *attempt) failWithoutStream(err error) {
	proof, ok := outcome.ProofFromError(err)
	if !ok {
		a.reportInterrupted(err, 0, a.cancelAtEndpoint)
		return
	}
	end := router.NotStarted
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		switch {
		case notStarted.Rejected:
			end = router.Rejected
		case notStarted.Unreachable:
			end = router.Unreachable
		}
	}
	a.reportEnd(router.AttemptEnded{Result: end}, &proof)
}

// reportInterrupted reports the end of an attempt that may have run. It first
// calls cancel to end the attempt at the endpoint, as far as that is possible
// in time.
func (a *attempt) reportInterrupted(err error, tokens int, cancel func() error) {
	s := a.request.server
	var mismatch *engine.MismatchError
	if errors.As(err, &mismatch) {
		s.metrics.CountDropped(DroppedMismatch)
		events.AnswerMismatch.Log(s.log, a.logFields(zap.String("field", mismatch.Field))...)
	}
	crashed, crashCheck := a.detectCrash(cancel)
	end := router.Interrupted
	switch {
	case a.cancelledLocally():
		end = router.Cancelled
	case crashed:
		end = router.Crashed
	}
	if end != router.Cancelled {
		events.AttemptBroken.Log(s.log, a.logFields(zap.Bool("crashed", crashed), zap.Error(err))...)
	}
	a.postEnd(attemptEnded{input: router.AttemptEnded{Result: end, GeneratedTokens: tokens}, crashCheck: crashCheck})
}

// detectCrash cancels the attempt at its endpoint and reports whether the
// endpoint's process has crashed. If this process has cancelled the attempt,
// detectCrash waits for the endpoint's confirmation, so that the attempt's slot
// counts as used until then. Otherwise the caller waits for the next attempt,
// and detectCrash waits at most crashCheckGrace. An endpoint that hangs or is
// behind a network partition does not respond to a cancel either, and the
// caller would wait for all of these timeouts before the next attempt starts. A
// result that is not known by then is sent on the returned channel.
func (a *attempt) detectCrash(cancel func() error) (crashed bool, pendingResult <-chan bool) {
	result := make(chan bool, 1)
	go func() { result <- a.cancelAndCheckCrash(cancel) }()
	if a.cancelledLocally() {
		return <-result, nil
	}
	grace := time.NewTimer(crashCheckGrace)
	defer grace.Stop()
	select {
	case crashed := <-result:
		return crashed, nil
	case <-grace.C:
		return false, result
	}
}

// cancelAndCheckCrash cancels the attempt until the endpoint confirms or is
// known to have crashed, and reports whether it has crashed. A refused
// connection is the first sign of a crash.
func (a *attempt) cancelAndCheckCrash(cancel func() error) bool {
	err := cancel()
	if err == nil {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || a.retryCancel()
}

// retryCancel repeats the cancel request until the endpoint confirms it or
// Limits.CancelTimeout has passed. It reports whether the endpoint refuses
// connections.
func (a *attempt) retryCancel() bool {
	pause := time.NewTimer(0)
	defer pause.Stop()
	over := time.After(a.request.server.limits.CancelTimeout)
	for {
		select {
		case <-over:
			return false
		case <-a.request.server.stopped:
			return false
		case <-pause.C:
		}
		err := a.cancelAtEndpoint()
		if err == nil {
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		pause.Reset(cancelRetryInterval)
	}
}

// cancelAtEndpoint sends one cancel request and waits for its confirmation.
func (a *attempt) cancelAtEndpoint() error {
	ctx, cancel := context.WithTimeout(context.Background(), a.request.server.limits.CancelTimeout)
	defer cancel()
	return a.request.server.client.Cancel(ctx, a.dispatch.Endpoint.Address, a.dispatch.Attempt)
}

// attemptRouter is a Router that decides which attempts may time out; *router.Router
// implements it.
type attemptRouter interface {
	AllowTimeout(now tables.Instant, id tables.AttemptID) bool
}

// timeoutAllowed reports whether the attempt may end with a read timeout.
func (a *attempt) timeoutAllowed() bool {
	s, allowed := a.request.server, true
	if s.allowTimeout != nil {
		s.RunInEventLoop(func() { allowed = s.allowTimeout(s.now(), a.dispatch.Attempt) })
	}
	return allowed
}

// cancelledLocally reports whether this process has cancelled the attempt for a
// reason other than a token timeout.
func (a *attempt) cancelledLocally() bool {
	if a.ctx.Err() == nil {
		return false
	}
	var timeout *tokenTimeoutError
	return !errors.As(context.Cause(a.ctx), &timeout)
}

// reportEnd posts the end of the attempt to the event loop. The proof is nil
// unless the attempt provably did not start.
func (a *attempt) reportEnd(end router.AttemptEnded, proof *outcome.NotStartedProof) {
	a.postEnd(attemptEnded{input: end, proof: proof})
}

// postEnd fills in the attempt's ID and the number of delivered tokens, and
// posts the message to the event loop.
func (a *attempt) postEnd(end attemptEnded) {
	a.cancel(nil)
	end.attempt = a
	end.input.Attempt = a.dispatch.Attempt
	end.input.DeliveredTokens, _ = a.request.progress()
	a.request.server.post(end)
}

// logFields returns the given log fields and those that identify the attempt.
func (a *attempt) logFields(more ...zap.Field) []zap.Field {
	return append(more,
		zap.String("request", string(a.request.spec.ID)),
		zap.String("attempt", string(a.dispatch.Attempt)),
		zap.String("endpoint", string(a.dispatch.Endpoint.ID)))
}
