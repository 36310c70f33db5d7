package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"

	"github.com/carawaystile/carawaystile/tables"
)

// streamPosition is the read position in the token sequence of a stream.
type streamPosition struct {
	// next is the index of the next expected token, and limit the requested maximum
	// number of tokens.
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

	// readTimer cancels the stream when the endpoint sends nothing for the read timeout.
	readTimer readTimer

	body     io.ReadCloser
	events   *eventReader
	token    tokenDecoder
	accepted AcceptedEvent
	position streamPosition
	// tokens is the number of tokens that were received in this stream.
	tokens int
	// failure is the error that every further call of Next returns.
	failure error
	// endedByEndpoint is set once the endpoint itself has ended the attempt, so that
	// Close need not cancel it.
	endedByEndpoint bool
	closed          bool
}

func (s *httpStream) open(body io.ReadCloser) {
	s.body = body
	s.token.init()
	s.events = newEventReader(body, s.client.options.MaxEventBytes, s.resetReadTimer)
}

// resetReadTimer restarts the read timeout after a received line, if no further data is
// buffered. Until the attempt is accepted no line does: the timeout is that of the acceptance.
func (s *httpStream) resetReadTimer() {
	if s.accepted.Attempt != "" && s.events.r.Buffered() == 0 {
		s.readTimer.start()
	}
}

// readAccepted reads and checks the first event.
func (s *httpStream) readAccepted(req GenerateRequest) error {
	name, data, err := s.events.next()
	if err != nil {
		return s.fail(err)
	}
	if string(name) == EventError {
		return s.handleErrorEvent(data)
	}
	if string(name) != EventAccepted {
		return s.fail(&ProtocolError{What: "first event", Cause: &TruncatedStreamError{}})
	}
	if err := json.Unmarshal(data, &s.accepted); err != nil {
		return s.fail(&ProtocolError{What: "accepted event", Cause: err})
	}
	got := s.accepted
	switch {
	case got.Attempt != req.Attempt:
		return s.client.countMismatch(req.Attempt, "attempt", string(req.Attempt), string(got.Attempt))
	case got.Boot == "":
		return s.client.countMismatch(req.Attempt, "boot", "a boot identity", "")
	case req.Weights != "" && got.Weights != req.Weights:
		return s.client.countMismatch(req.Attempt, "weights", string(req.Weights), string(got.Weights))
	}
	s.readTimer.setTimeout(s.client.options.ReadIdleTimeout)
	s.readTimer.stop()
	return nil
}

// Accepted returns the accepted event.
func (s *httpStream) Accepted() AcceptedEvent { return s.accepted }

// Next returns the next token in order, or the error that ends the stream.
func (s *httpStream) Next() (Token, error) {
	if s.failure != nil {
		return Token{}, s.failure
	}
	s.readTimer.start()
	defer s.readTimer.stop()
	for {
		name, data, err := s.events.next()
		if err != nil {
			return Token{}, s.fail(err)
		}
		switch string(name) {
		case EventToken:
			token, ok, err := s.validateToken(data)
			if err != nil {
				return Token{}, s.fail(err)
			}
			if ok {
				return token, nil
			}
		case EventDone:
			return Token{}, s.handleDone(data)
		case EventError:
			return Token{}, s.handleErrorEvent(data)
		}
	}
}

// validateToken decodes and checks one token event and advances the position. It returns
// false for a token that must be discarded: one of another attempt, or a duplicate.
func (s *httpStream) validateToken(data []byte) (Token, bool, error) {
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

// handleDone checks the done event against the tokens before it and ends the stream.
func (s *httpStream) handleDone(data []byte) error {
	var done DoneEvent
	if err := json.Unmarshal(data, &done); err != nil {
		return s.fail(&ProtocolError{What: "done event", Cause: err})
	}
	if done.Attempt != s.attempt {
		s.client.mismatches.Add(1)
		return s.fail(&MismatchError{Attempt: s.attempt, Field: "attempt", Want: string(s.attempt), Got: string(done.Attempt)})
	}
	if done.Tokens != s.position.next {
		return s.fail(&TokenGapError{Want: s.position.next, Got: done.Tokens})
	}
	s.endedByEndpoint = true
	s.failure = io.EOF
	s.drainBody()
	return io.EOF
}

// drainBody reads the end of the body after the done event, so that the connection can be
// reused. It reads at most 64 bytes.
func (s *httpStream) drainBody() {
	var rest [64]byte
	_, _ = s.body.Read(rest[:])
}

// handleErrorEvent ends the stream with the failure that the endpoint reported.
func (s *httpStream) handleErrorEvent(data []byte) error {
	var failure ErrorEvent
	if err := json.Unmarshal(data, &failure); err != nil {
		return s.fail(&ProtocolError{What: "error event", Cause: err})
	}
	s.endedByEndpoint = failure.Attempt == s.attempt
	return s.fail(&EndpointError{Reason: failure.Reason})
}

// fail ends the stream with an error that all further calls of Next return.
func (s *httpStream) fail(cause error) error {
	if errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) {
		cause = &TruncatedStreamError{}
	}
	s.failure = &InterruptedError{Attempt: s.attempt, Tokens: s.tokens, Cause: contextCause(s.ctx, cause)}
	return s.failure
}

// Close releases the stream. It cancels the attempt at the endpoint unless the endpoint
// has already ended it; if the endpoint does not confirm that, Close returns
// *CancelUnconfirmedError.
func (s *httpStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.release()
	if s.endedByEndpoint {
		return nil
	}
	if s.failure == nil {
		s.failure = &InterruptedError{Attempt: s.attempt, Tokens: s.tokens, Cause: context.Canceled}
	}
	return s.client.Cancel(context.WithoutCancel(s.ctx), s.at, s.attempt)
}

// release frees the local resources of the stream.
func (s *httpStream) release() {
	s.readTimer.stop()
	if !s.endedByEndpoint {
		s.cancel(context.Canceled)
	}
	if s.body != nil {
		_ = s.body.Close()
		s.events.release()
	}
	s.cancel(context.Canceled)
}
