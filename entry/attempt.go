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
	// cancelPause is the time between two questions whether an attempt has
	// ended.
	cancelPause = 100 * time.Millisecond
	// cancelGrace is how long a caller waits for an endpoint's word on the end
	// of a broken attempt before the next one. A crash shows within it.
	cancelGrace = 200 * time.Millisecond
)

// run takes the attempt to its first token, or to a plain service's whole
// answer, and hands it to the goroutine that serves the caller.
func (a *attempt) run() {
	if !a.permitted() {
		return
	}
	if a.flight.call != nil {
		a.runCall()
		return
	}
	a.runGenerate()
}

func (a *attempt) runGenerate() {
	f := a.flight
	delivered, emitted := f.progress()
	stream, err := f.server.client.Generate(a.ctx, a.dispatch.Endpoint.Address, engine.GenerateRequest{
		Attempt:    a.dispatch.Attempt,
		Model:      f.profile.Model,
		Adapter:    f.profile.Adapter,
		Weights:    a.dispatch.Weights,
		Prompt:     f.prompt,
		MaxTokens:  f.row.MaxTokens,
		Priority:   a.dispatch.Priority,
		Salt:       string(f.row.Organisation),
		ResumeFrom: delivered,
		Emitted:    emitted,
	})
	if err != nil {
		a.fail(err)
		return
	}
	accepted := stream.Accepted()
	if err := a.check(accepted); err != nil {
		a.abandon(stream, err, 0)
		return
	}
	f.server.Observe(router.AttemptStarted{Attempt: accepted.Attempt, Boot: accepted.Boot, Weights: accepted.Weights})
	token, err := stream.Next()
	if err != nil && err != io.EOF {
		a.abandon(stream, err, 0)
		return
	}
	f.server.Observe(router.FirstToken{Attempt: accepted.Attempt, CachedTokens: accepted.CachedTokens})
	f.server.metrics.ObservePrefixHitRatio(f.row.Organisation, f.profile.Priority, accepted.CachedTokens, f.row.PromptTokens)
	a.offer(&opened{attempt: a, stream: stream, first: token, whole: err == io.EOF})
}

func (a *attempt) runCall() {
	f := a.flight
	call := *f.call
	call.Attempt = a.dispatch.Attempt
	answer, err := f.server.client.Call(a.ctx, a.dispatch.Endpoint.Address, call)
	if err != nil {
		a.fail(err)
		return
	}
	if answer.Attempt != a.dispatch.Attempt {
		a.fail(&engine.MismatchError{
			Attempt: a.dispatch.Attempt, Field: "attempt",
			Want: string(a.dispatch.Attempt), Got: string(answer.Attempt),
		})
		return
	}
	f.server.Observe(router.AttemptStarted{Attempt: a.dispatch.Attempt, Boot: answer.Boot})
	f.server.Observe(router.FirstToken{Attempt: a.dispatch.Attempt})
	a.offer(&opened{attempt: a, answer: answer, whole: true})
}

// check compares what the endpoint says of itself with what was asked. Without
// it an answer that crossed another's, or one from older weights, would reach
// the caller.
func (a *attempt) check(got engine.AcceptedEvent) error {
	id := a.dispatch.Attempt
	if got.Attempt != id {
		return &engine.MismatchError{Attempt: id, Field: "attempt", Want: string(id), Got: string(got.Attempt)}
	}
	if want := a.dispatch.Weights; want != "" && got.Weights != want {
		return &engine.MismatchError{Attempt: id, Field: "weights", Want: string(want), Got: string(got.Weights)}
	}
	return nil
}

// offer hands the attempt over, unless another has won or the caller is gone.
func (a *attempt) offer(o *opened) {
	if o.stream == nil {
		a.offerAnswer(o)
		return
	}
	select {
	case a.flight.opened <- o:
	case <-a.ctx.Done():
		if a.flight.won.Load() != nil {
			a.flight.server.metrics.CountDropped(DroppedLate)
		}
		a.abandon(o.stream, context.Cause(a.ctx), 0)
	}
}

// offerAnswer hands over a plain service's answer, which is whole, even if the
// attempt was aborted meanwhile. The router takes the end of the attempt for
// that of the request: were the answer dropped because it crossed an abort, the
// router would give no other, and the caller would wait for ever.
func (a *attempt) offerAnswer(o *opened) {
	f := a.flight
	select {
	case f.opened <- o:
	case <-f.ctx.Done():
		if f.won.Load() != nil {
			f.server.metrics.CountDropped(DroppedLate)
		}
		a.tell(router.AttemptEnded{Result: router.Completed}, nil)
	}
}

// abandon closes a stream, which cancels the attempt at the endpoint, and
// reports its end.
func (a *attempt) abandon(stream engine.Stream, err error, tokens int) {
	a.broken(err, tokens, stream.Close)
}

// fail reports the end of an attempt that gave no stream.
func (a *attempt) fail(err error) {
	proof, ok := outcome.ProofFromError(err)
	if !ok {
		a.broken(err, 0, a.cancelAtEndpoint)
		return
	}
	end := router.NotStarted
	var not *engine.NotStartedError
	if errors.As(err, &not) {
		switch {
		case not.Rejected:
			end = router.Rejected
		case not.Unreachable:
			end = router.Unreachable
		}
	}
	a.tell(router.AttemptEnded{Result: end}, &proof)
}

// broken reports the end of an attempt that may have run, after cancel has
// ended it at the endpoint as far as that can be done in time.
func (a *attempt) broken(err error, tokens int, cancel func() error) {
	s := a.flight.server
	var mismatch *engine.MismatchError
	if errors.As(err, &mismatch) {
		s.metrics.CountDropped(DroppedMismatch)
		events.AnswerMismatch.Log(s.log, a.fields(zap.String("field", mismatch.Field))...)
	}
	crashed, settling := a.crashes(cancel)
	end := router.Interrupted
	switch {
	case a.unwanted():
		end = router.Cancelled
	case crashed:
		end = router.Crashed
	}
	if end != router.Cancelled {
		events.AttemptBroken.Log(s.log, a.fields(zap.Bool("crashed", crashed), zap.Error(err))...)
	}
	a.report(ended{how: router.AttemptEnded{Result: end, GeneratedTokens: tokens}, settling: settling})
}

// crashes cancels the attempt at its endpoint and says whether the endpoint's
// process is gone. An attempt that nobody wants any more waits for the
// endpoint's word, so that its slot stays accounted until then. One whose
// caller waits for another try does not wait long: an endpoint that hangs, or
// is cut off, does not answer a cancel either, and the caller would sit through
// every timeout before the next attempt begins. What is not known by then comes on
// the channel.
func (a *attempt) crashes(cancel func() error) (gone bool, settling <-chan bool) {
	crashed := make(chan bool, 1)
	go func() { crashed <- a.settle(cancel) }()
	if a.unwanted() {
		return <-crashed, nil
	}
	grace := time.NewTimer(cancelGrace)
	defer grace.Stop()
	select {
	case gone := <-crashed:
		return gone, nil
	case <-grace.C:
		return false, crashed
	}
}

// settle cancels until the endpoint confirms or is known to be gone. A port
// that refuses connections is how a crash shows first.
func (a *attempt) settle(cancel func() error) bool {
	err := cancel()
	if err == nil {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || a.confirmCancel()
}

// confirmCancel asks the endpoint again to cancel the attempt until it confirms
// or CancelWait has passed. It says whether the port refuses connections.
func (a *attempt) confirmCancel() bool {
	pause := time.NewTimer(0)
	defer pause.Stop()
	over := time.After(a.flight.server.limits.CancelTimeout)
	for {
		select {
		case <-over:
			return false
		case <-a.flight.server.stopped:
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
		pause.Reset(cancelPause)
	}
}

func (a *attempt) cancelAtEndpoint() error {
	ctx, cancel := context.WithTimeout(context.Background(), a.flight.server.limits.CancelTimeout)
	defer cancel()
	return a.flight.server.client.Cancel(ctx, a.dispatch.Endpoint.Address, a.dispatch.Attempt)
}

// unwanted says whether the attempt was cancelled on this side for a reason
// other than a stall of the endpoint.
func (a *attempt) unwanted() bool {
	if a.ctx.Err() == nil {
		return false
	}
	var stall *stalled
	return !errors.As(context.Cause(a.ctx), &stall)
}

// tell reports the end of the attempt to the loop.
func (a *attempt) tell(how router.AttemptEnded, proof *outcome.NotStartedProof) {
	a.report(ended{how: how, proof: proof})
}

func (a *attempt) report(end ended) {
	a.cancel(nil)
	end.attempt = a
	end.how.Attempt = a.dispatch.Attempt
	end.how.DeliveredTokens, _ = a.flight.progress()
	a.flight.server.tell(end)
}

func (a *attempt) fields(more ...zap.Field) []zap.Field {
	return append(more,
		zap.String("request", string(a.flight.row.ID)),
		zap.String("attempt", string(a.dispatch.Attempt)),
		zap.String("endpoint", string(a.dispatch.Endpoint.ID)))
}
