package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Generate starts an attempt and returns once the endpoint accepted it. Its
// failures are *NotStarted, *Interrupted and *Mismatch; after a Mismatch the
// endpoint was asked to cancel the attempt. The context bounds the whole
// stream.
func (c *HTTPClient) Generate(ctx context.Context, at netip.AddrPort, req GenerateRequest) (Stream, error) {
	content, err := json.Marshal(req)
	if err != nil {
		return nil, &NotStartedError{Attempt: req.Attempt, Reason: "the request cannot be encoded", Cause: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &httpStream{client: c, at: at, attempt: req.Attempt, cancel: cancel, ctx: ctx}
	s.position.next, s.position.limit = req.ResumeFrom, req.MaxTokens
	s.allowed.Store(int64(c.options.ResponseTimeout))
	s.silence = time.AfterFunc(c.options.ResponseTimeout, s.expire)

	body := newOnceBody(content)
	call := newRequest(ctx, http.MethodPost, endpointURL(at, PathGenerate), body)
	call.Header.Set(headerType, typeJSON)
	call.Header.Set("Accept", typeEvents)
	resp, err := c.transportTo(at).RoundTrip(call)
	if err != nil {
		cause := causeOf(ctx, err)
		c.doubts.failed(at, cause)
		s.abandon()
		return nil, startFailure(req.Attempt, body, cause)
	}
	if resp.StatusCode != http.StatusOK || !isType(resp.Header, typeEvents) {
		defer s.abandon()
		return nil, c.declined(req.Attempt, resp)
	}
	s.open(resp.Body)
	if err := s.accept(req); err != nil {
		c.doubts.failed(at, err)
		_ = s.Close()
		return nil, err
	}
	c.doubts.answered(at)
	return s, nil
}

// startFailure tells an attempt that provably did not begin from one that may
// have begun.
func startFailure(attempt tables.AttemptID, body *onceBody, cause error) error {
	if !body.seal() {
		return &InterruptedError{Attempt: attempt, Cause: cause}
	}
	return &NotStartedError{
		Attempt:     attempt,
		Unreachable: isUnreachable(cause),
		Reason:      "no connection to the endpoint",
		Cause:       cause,
	}
}

// isUnreachable reports whether the endpoint's address refused the connection
// or did not answer in time.
func isUnreachable(cause error) bool {
	var timeout interface{ Timeout() bool }
	if errors.Is(cause, context.Canceled) {
		return false
	}
	return errors.Is(cause, syscall.ECONNREFUSED) || errors.Is(cause, syscall.EHOSTUNREACH) ||
		errors.Is(cause, syscall.ENETUNREACH) || errors.As(cause, &timeout) && timeout.Timeout()
}

// causeOf prefers the reason for which this package ended a context over the
// failure that ending it caused.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func isType(header http.Header, want string) bool {
	got, _, _ := strings.Cut(header.Get(headerType), ";")
	return strings.TrimSpace(got) == want
}

// declined reads an answer other than a stream. Only a body that declares for
// this very attempt that nothing was started proves it; a proxy's 503 or the
// late answer to another attempt does not.
func (c *HTTPClient) declined(attempt tables.AttemptID, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	unexpected := &UnexpectedStatusError{Status: resp.StatusCode, ContentType: resp.Header.Get(headerType)}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil || !isType(resp.Header, typeJSON) {
		return &InterruptedError{Attempt: attempt, Cause: unexpected}
	}
	var decline Rejection
	if err := json.Unmarshal(content, &decline); err != nil || !decline.NotStarted {
		return &InterruptedError{Attempt: attempt, Cause: unexpected}
	}
	if decline.Attempt != attempt {
		return &InterruptedError{Attempt: attempt, Cause: c.mismatch(attempt, "attempt", string(attempt), string(decline.Attempt))}
	}
	return &NotStartedError{Attempt: attempt, Rejected: true, Reason: decline.Reason, Cause: unexpected}
}

func (c *HTTPClient) mismatch(attempt tables.AttemptID, field, want, got string) *MismatchError {
	c.mismatches.Add(1)
	return &MismatchError{Attempt: attempt, Field: field, Want: want, Got: got}
}
