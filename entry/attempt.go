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
)

const (
	// cancelRetryInterval is the time between two questions whether an attempt has
	// ended.
	cancelRetryInterval = 100 * time.Millisecond
	// crashCheckGrace is how long a caller waits for an endpoint's word on the end
	// of a broken attempt before the next one. A crash shows within it.
	crashCheckGrace = 200 * time.Millisecond
)

// run takes the attempt to its first token, or to a plain service's whole
// answer, and hands it to the goroutine that serves the caller.
func (a *attempt) run() {
	if !a.mayDispatch() {
		return
	}
	if a.request.call != nil {
		a.runServiceCall()
		return
	}
	a.runCompletion()
}

func (a *attempt) runCompletion() {
	f := a.request
	delivered, emitted := f.progress()
	stream, err := f.server.client.Generate(a.ctx, a.dispatch.Endpoint.Address, engine.GenerateRequest{
		Attempt:    a.dispatch.Attempt,
		Model:      f.profile.Model,
		Adapter:    f.profile.Adapter,
		Weights:    a.dispatch.Weights,
		Prompt:     f.prompt,
		MaxTokens:  f.spec.MaxTokens,
		Priority:   a.dispatch.Priority,
		Salt:       string(f.spec.Organisation),
		ResumeFrom: delivered,
		Emitted:    emitted,
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

// verifyAccepted compares what the endpoint says of itself with what was asked. Without
// it an answer that crossed another's, or one from older weights, would reach
// the caller.
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

// deliver hands the attempt over, unless another has won or the caller is gone.
func (a *attempt) deliver(o *startedAttempt) {
	if o.stream == nil {
		a.deliverServiceResponse(o)
		return
	}
	select {
	case a.request.started <- o:
	case <-a.ctx.Done():
		if a.request.winner.Load() != nil {
			a.request.server.metrics.CountDropped(DroppedLate)
		}
		a.abortStream(o.stream, context.Cause(a.ctx), 0)
	}
}

// deliverServiceResponse hands over a plain service's answer, which is whole, even if the
// attempt was aborted meanwhile. The router takes the end of the attempt for
// that of the request: were the answer dropped because it crossed an abort, the
// router would give no other, and the caller would wait for ever.
func (a *attempt) deliverServiceResponse(o *startedAttempt) {
	f := a.request
	select {
	case f.started <- o:
	case <-f.ctx.Done():
		if f.winner.Load() != nil {
			f.server.metrics.CountDropped(DroppedLate)
		}
		a.reportEnd(router.AttemptEnded{Result: router.Completed}, nil)
	}
}

// abortStream closes a stream, which cancels the attempt at the endpoint, and
// reports its end.
func (a *attempt) abortStream(stream engine.Stream, err error, tokens int) {
	a.reportInterrupted(err, tokens, stream.Close)
}

// failWithoutStream reports the end of an attempt that gave no stream.
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

// reportInterrupted reports the end of an attempt that may have run, after cancel has
// ended it at the endpoint as far as that can be done in time.
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

// detectCrash cancels the attempt at its endpoint and says whether the endpoint's
// process is gone. An attempt that nobody wants any more waits for the
// endpoint's word, so that its slot stays accounted until then. One whose
// caller waits for another try does not wait long: an endpoint that hangs, or
// is cut off, does not answer a cancel either, and the caller would sit through
// every timeout before the next attempt begins. What is not known by then comes on
// the channel.
func (a *attempt) detectCrash(cancel func() error) (crashed bool, pendingResult <-chan bool) {
	result := make(chan bool, 1)
	go func() { result <- a.cancelAndCheckCrash(cancel) }()
	if a.cancelledLocally() {
		return <-result, nil
	}
	grace := time.NewTimer(crashCheckGrace)
	defer grace.Stop()
	select {
	case gone := <-result:
		return gone, nil
	case <-grace.C:
		return false, result
	}
}

// cancelAndCheckCrash cancels until the endpoint confirms or is known to be gone. A port
// that refuses connections is how a crash shows first.
func (a *attempt) cancelAndCheckCrash(cancel func() error) bool {
	err := cancel()
	if err == nil {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || a.retryCancel()
}

// retryCancel asks the endpoint again to cancel the attempt until it confirms
// or CancelWait has passed. It says whether the port refuses connections.
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

func (a *attempt) cancelAtEndpoint() error {
	ctx, cancel := context.WithTimeout(context.Background(), a.request.server.limits.CancelTimeout)
	defer cancel()
	return a.request.server.client.Cancel(ctx, a.dispatch.Endpoint.Address, a.dispatch.Attempt)
}

// cancelledLocally says whether the attempt was cancelled on this side for a reason
// other than a stall of the endpoint.
func (a *attempt) cancelledLocally() bool {
	if a.ctx.Err() == nil {
		return false
	}
	var stall *tokenTimeoutError
	return !errors.As(context.Cause(a.ctx), &stall)
}

// reportEnd reports the end of the attempt to the loop.
func (a *attempt) reportEnd(how router.AttemptEnded, proof *outcome.NotStartedProof) {
	a.postEnd(attemptEnded{input: how, proof: proof})
}

func (a *attempt) postEnd(end attemptEnded) {
	a.cancel(nil)
	end.attempt = a
	end.input.Attempt = a.dispatch.Attempt
	end.input.DeliveredTokens, _ = a.request.progress()
	a.request.server.post(end)
}

func (a *attempt) logFields(more ...zap.Field) []zap.Field {
	return append(more,
		zap.String("request", string(a.request.spec.ID)),
		zap.String("attempt", string(a.dispatch.Attempt)),
		zap.String("endpoint", string(a.dispatch.Endpoint.ID)))
}
