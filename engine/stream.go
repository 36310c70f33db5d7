package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// position is where a stream stands.
type position struct {
	// next is the index of the token that is due, limit the number of tokens
	// of the longest answer that was asked for.
	next  int
	limit int
}

// httpStream is a Stream over server-sent events.
type httpStream struct {
	client  *HTTPClient
	at      netip.AddrPort
	attempt tables.AttemptID
	ctx     context.Context
	cancel  context.CancelCauseFunc

	// silence ends the stream when the endpoint says nothing for the time
	// allowed. It runs only while Next waits, so that a slow caller does not
	// look like a hanging endpoint.
	silence *time.Timer
	allowed atomic.Int64

	body     io.ReadCloser
	events   *eventReader
	token    tokenDecoder
	accepted AcceptedEvent
	position position
	tokens   int
	// failure is what Next returns from now on.
	failure error
	// settled is set once the endpoint itself ended the attempt.
	settled bool
	closed  bool
}

func (s *httpStream) open(body io.ReadCloser) {
	s.body = body
	s.token.init()
	s.events = newEventReader(body, s.client.options.MaxEventBytes, s.alive)
}

func (s *httpStream) expire() { s.cancel(&ReadTimeoutError{After: s.patience()}) }

func (s *httpStream) patience() time.Duration { return time.Duration(s.allowed.Load()) }

// alive notes that the endpoint said something.
func (s *httpStream) alive() {
	if s.events.r.Buffered() == 0 {
		s.silence.Reset(s.patience())
	}
}

// accept reads the first event.
func (s *httpStream) accept(req GenerateRequest) error {
	name, data, err := s.events.next()
	if err != nil {
		return s.interrupt(err)
	}
	if string(name) == EventError {
		return s.endpointFailure(data)
	}
	if string(name) != EventAccepted {
		return s.interrupt(&ProtocolError{What: "first event", Cause: &TruncatedStreamError{}})
	}
	if err := json.Unmarshal(data, &s.accepted); err != nil {
		return s.interrupt(&ProtocolError{What: "accepted event", Cause: err})
	}
	got := s.accepted
	switch {
	case got.Attempt != req.Attempt:
		return s.client.mismatch(req.Attempt, "attempt", string(req.Attempt), string(got.Attempt))
	case got.Boot == "":
		return s.client.mismatch(req.Attempt, "boot", "a boot identity", "")
	case req.Weights != "" && got.Weights != req.Weights:
		return s.client.mismatch(req.Attempt, "weights", string(req.Weights), string(got.Weights))
	}
	s.allowed.Store(int64(s.client.options.ReadIdleTimeout))
	s.silence.Stop()
	return nil
}

// Accepted returns the endpoint's first word on the attempt.
func (s *httpStream) Accepted() AcceptedEvent { return s.accepted }

// Next returns the next token in order, or the end of the stream.
func (s *httpStream) Next() (Token, error) {
	if s.failure != nil {
		return Token{}, s.failure
	}
	s.silence.Reset(s.patience())
	defer s.silence.Stop()
	for {
		name, data, err := s.events.next()
		if err != nil {
			return Token{}, s.interrupt(err)
		}
		switch string(name) {
		case EventToken:
			token, ok, err := s.take(data)
			if err != nil {
				return Token{}, s.interrupt(err)
			}
			if ok {
				return token, nil
			}
		case EventDone:
			return Token{}, s.finish(data)
		case EventError:
			return Token{}, s.endpointFailure(data)
		}
	}
}

// take checks one token. It reports false for a token that must be dropped.
func (s *httpStream) take(data []byte) (Token, bool, error) {
	if err := s.token.decode(data); err != nil {
		return Token{}, false, &ProtocolError{What: "token event", Cause: err}
	}
	if string(s.token.attempt) != string(s.attempt) {
		s.client.mismatches.Add(1)
		return Token{}, false, nil
	}
	index := s.token.index
	if index < s.position.next {
		s.client.duplicates.Add(1)
		return Token{}, false, nil
	}
	if index > s.position.next || index >= s.position.limit {
		return Token{}, false, &TokenGapError{Want: s.position.next, Got: index}
	}
	s.position.next++
	s.tokens++
	return Token{Attempt: s.attempt, Index: index, Text: string(s.token.text)}, true, nil
}

// finish checks the end mark against what came before it.
func (s *httpStream) finish(data []byte) error {
	var done DoneEvent
	if err := json.Unmarshal(data, &done); err != nil {
		return s.interrupt(&ProtocolError{What: "done event", Cause: err})
	}
	if done.Attempt != s.attempt {
		s.client.mismatches.Add(1)
		return s.interrupt(&MismatchError{Attempt: s.attempt, Field: "attempt", Want: string(s.attempt), Got: string(done.Attempt)})
	}
	if done.Tokens != s.position.next {
		return s.interrupt(&TokenGapError{Want: s.position.next, Got: done.Tokens})
	}
	s.settled = true
	s.failure = io.EOF
	s.drain()
	return io.EOF
}

// drain reads to the end of the body, so that the connection can be reused.
func (s *httpStream) drain() {
	var rest [64]byte
	_, _ = s.body.Read(rest[:])
}

func (s *httpStream) endpointFailure(data []byte) error {
	var failure ErrorEvent
	if err := json.Unmarshal(data, &failure); err != nil {
		return s.interrupt(&ProtocolError{What: "error event", Cause: err})
	}
	s.settled = failure.Attempt == s.attempt
	return s.interrupt(&EndpointError{Reason: failure.Reason})
}

// interrupt ends the stream for good.
func (s *httpStream) interrupt(cause error) error {
	if errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) {
		cause = &TruncatedStreamError{}
	}
	s.failure = &InterruptedError{Attempt: s.attempt, Tokens: s.tokens, Cause: causeOf(s.ctx, cause)}
	return s.failure
}

// Close frees the stream. Unless the endpoint already ended the attempt it is
// cancelled there; without the endpoint's confirmation Close returns
// *CancelUnconfirmed.
func (s *httpStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.abandon()
	if s.settled {
		return nil
	}
	if s.failure == nil {
		s.failure = &InterruptedError{Attempt: s.attempt, Tokens: s.tokens, Cause: context.Canceled}
	}
	return s.client.Cancel(context.WithoutCancel(s.ctx), s.at, s.attempt)
}

// abandon frees what the stream holds on this side.
func (s *httpStream) abandon() {
	s.silence.Stop()
	if !s.settled {
		s.cancel(context.Canceled)
	}
	if s.body != nil {
		_ = s.body.Close()
		s.events.release()
	}
	s.cancel(context.Canceled)
}
