package entry

import (
	"fmt"
	"io"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// stalled means that an endpoint paused for too long within a stream.
type stalled struct{ after time.Duration }

// Error says how long it paused.
func (e *stalled) Error() string { return fmt.Sprintf("no token for %v", e.after) }

// gap means that an endpoint left out tokens.
type gap struct{ want, got int }

// Error says which token came instead of which.
func (e *gap) Error() string { return fmt.Sprintf("token %d came in place of %d", e.got, e.want) }

// tooLong means that an endpoint gave more text than an answer may have. The
// text is kept for a resume, so without a bound one endpoint could take all of
// the instance's memory.
type tooLong struct{ limit int }

// Error gives the limit.
func (e *tooLong) Error() string { return fmt.Sprintf("answer longer than %d bytes", e.limit) }

// gone means that the caller went away; nobody reads the answer.
type gone struct{ cause error }

// Error gives the cause.
func (e *gone) Error() string { return fmt.Sprintf("caller is gone: %v", e.cause) }

// Unwrap gives the cause.
func (e *gone) Unwrap() error { return e.cause }

// reader gives a flight's tokens in order and without repeats, going on at
// another endpoint when one fails. One goroutine uses it.
type reader struct {
	flight  *flight
	current *opened
	// pending is set while current.first is still to be given.
	pending bool
	stall   *time.Timer
	last    tables.Instant
}

// next gives the text of the next token, and io.EOF once the answer is whole.
// Other errors are *outcome.Failure and *gone.
func (r *reader) next() (string, error) {
	for {
		if r.current == nil {
			if err := r.await(); err != nil {
				return "", err
			}
		}
		token, err := r.pull()
		if err == io.EOF {
			r.complete()
			return "", io.EOF
		}
		if err != nil {
			r.lose(err)
			continue
		}
		text, fresh := r.accept(token)
		if fresh && r.flight.size > r.flight.server.limits.MaxCompletionBytes {
			r.lose(&tooLong{limit: r.flight.server.limits.MaxCompletionBytes})
			return "", elsewhere(r.flight.row.ID, tables.CodeEndpointFailed, 0)
		}
		if fresh {
			return text, nil
		}
	}
}

// await takes the next attempt that has something to give.
func (r *reader) await() error {
	f := r.flight
	select {
	case failure := <-f.failed:
		return failure
	default:
	}
	lost := time.NewTimer(f.lostAfter())
	defer lost.Stop()
	for {
		select {
		case o := <-f.opened:
			r.take(o)
			return nil
		case failure := <-f.failed:
			return failure
		case <-f.ctx.Done():
			return &gone{cause: f.ctx.Err()}
		case <-lost.C:
			f.server.tell(overdue{flight: f})
		}
	}
}

// take makes an attempt the one that the caller is answered from. The others
// are cancelled by the loop as soon as the router hears of the first token.
func (r *reader) take(o *opened) {
	f := r.flight
	r.current = o
	r.pending = !o.whole
	f.won.Store(o.attempt)
	if o.attempt.dispatch.ResumeFrom > 0 {
		f.server.metrics.CountResumedStream(f.row.Organisation)
	}
	a := o.attempt
	limit := f.server.limits.TokenTimeout
	r.stall = time.AfterFunc(limit, func() { a.cancel(&stalled{after: limit}) })
	r.stall.Stop()
}

// pull gives the current attempt's next token.
func (r *reader) pull() (engine.Token, error) {
	if r.pending {
		r.pending = false
		return r.current.first, nil
	}
	if r.current.whole {
		return engine.Token{}, io.EOF
	}
	r.stall.Reset(r.flight.server.limits.TokenTimeout)
	token, err := r.current.stream.Next()
	r.stall.Stop()
	return token, err
}

// accept decides whether a token is the one the caller is waiting for. Tokens
// of another attempt and repeats after a resume are dropped; a token too far
// ahead ends the attempt, because the caller would miss those between.
func (r *reader) accept(t engine.Token) (string, bool) {
	f := r.flight
	if t.Attempt != "" && t.Attempt != r.current.attempt.dispatch.Attempt {
		f.server.metrics.CountDropped(DroppedMismatch)
		return "", false
	}
	have := f.delivered
	if t.Index < have {
		f.server.metrics.CountDropped(DroppedDuplicate)
		return "", false
	}
	if t.Index > have {
		r.lose(&gap{want: have, got: t.Index})
		return "", false
	}
	f.advance(t.Text)
	r.measure(have)
	return t.Text, true
}

func (r *reader) measure(index int) {
	f := r.flight
	now := f.server.now()
	if index == 0 {
		f.server.metrics.ObserveTTFT(f.row.Organisation, f.row.Profile, f.profile.Priority, now-f.row.Arrived)
	} else {
		f.server.metrics.ObserveTimeBetweenTokens(f.row.Organisation, f.profile.Priority, now-r.last)
	}
	r.last = now
}

// lose gives up the current attempt and leaves it to the router to go on.
func (r *reader) lose(err error) {
	lost := r.current
	r.current = nil
	r.flight.won.Store(nil)
	lost.attempt.abandon(lost.stream, err, r.flight.delivered-lost.attempt.dispatch.ResumeFrom)
}

func (r *reader) complete() {
	done := r.current
	r.current = nil
	if done.stream != nil {
		_ = done.stream.Close()
	}
	tokens := r.flight.delivered - done.attempt.dispatch.ResumeFrom
	done.attempt.tell(router.AttemptEnded{Result: router.Completed, GeneratedTokens: tokens}, nil)
}

// close ends the flight: what still runs for it is cancelled at the endpoints.
func (r *reader) close() {
	f := r.flight
	f.cancel()
	if r.current != nil {
		r.lose(&gone{cause: f.ctx.Err()})
	}
	f.server.tell(closed{flight: f})
}

// whole waits for a plain service's answer.
func (r *reader) whole() (tables.StoredResponse, error) {
	if err := r.await(); err != nil {
		return tables.StoredResponse{}, err
	}
	got := r.current.answer
	r.complete()
	return tables.StoredResponse{Status: got.Status, ContentType: got.ContentType, Body: got.Body}, nil
}

// text collects the whole answer; it is for callers who do not stream.
func (r *reader) text() (string, int, error) {
	for {
		_, err := r.next()
		if err == io.EOF {
			tokens, text := r.flight.progress()
			return text, tokens, nil
		}
		if err != nil {
			return "", 0, err
		}
	}
}
