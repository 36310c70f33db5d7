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

// Generate starts an attempt and returns once the endpoint has accepted it. It fails with
// *NotStartedError, *InterruptedError or *MismatchError; after a *MismatchError the
// endpoint was asked to cancel the attempt. The context covers the whole stream.
func (c *HTTPClient) Generate(ctx context.Context, at netip.AddrPort, req GenerateRequest) (Stream, error) {
	content, err := json.Marshal(req)
	if err != nil {
		return nil, &NotStartedError{Attempt: req.Attempt, Reason: "cannot encode the request", Cause: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &httpStream{client: c, at: at, attempt: req.Attempt, cancel: cancel, ctx: ctx}
	s.position.next, s.position.limit = req.ResumeFrom, req.MaxTokens
	s.readTimer.timeout, s.readTimer.timeoutAllowed = c.options.ResponseTimeout, req.TimeoutAllowed
	s.readTimer.onTimeout = func(after time.Duration) { cancel(&ReadTimeoutError{After: after}) }
	s.readTimer.start()

	body := newTrackedBody(content)
	call := newRequest(ctx, http.MethodPost, endpointURL(at, PathGenerate), body)
	call.Header.Set(headerContentType, typeJSON)
	call.Header.Set("Accept", typeEventStream)
	resp, err := c.transportFor(at).RoundTrip(call)
	if err != nil {
		cause := contextCause(ctx, err)
		c.unresponsive.recordFailure(at, cause)
		s.release()
		return nil, classifySendError(req.Attempt, body, cause)
	}
	if resp.StatusCode != http.StatusOK || !hasContentType(resp.Header, typeEventStream) {
		defer s.release()
		return nil, c.readRejection(req.Attempt, resp)
	}
	s.open(resp.Body)
	if err := s.readAccepted(req); err != nil {
		c.unresponsive.recordFailure(at, err)
		_ = s.Close()
		return nil, err
	}
	c.unresponsive.recordResponse(at)
	return s, nil
}

// classifySendError returns *NotStartedError if the attempt provably did not start,
// because its body was never read, and *InterruptedError if it may have started.
func classifySendError(attempt tables.AttemptID, body *trackedBody, cause error) error {
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

// isUnreachable reports whether the endpoint's address refused the connection or did not
// respond in time.
func isUnreachable(cause error) bool {
	var timeout interface{ Timeout() bool }
	if errors.Is(cause, context.Canceled) {
		return false
	}
	return errors.Is(cause, syscall.ECONNREFUSED) || errors.Is(cause, syscall.EHOSTUNREACH) ||
		errors.Is(cause, syscall.ENETUNREACH) || errors.As(cause, &timeout) && timeout.Timeout()
}

// contextCause returns the cause of the context if the context has ended, since err then
// only follows from that, and err otherwise.
func contextCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func hasContentType(header http.Header, want string) bool {
	got, _, _ := strings.Cut(header.Get(headerContentType), ";")
	return strings.TrimSpace(got) == want
}

// readRejection returns the error for a response that is no stream. It is
// *NotStartedError only if the body states for this very attempt that nothing was
// started. A proxy's 503 or the late response to another attempt proves nothing.
func (c *HTTPClient) readRejection(attempt tables.AttemptID, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	unexpected := &UnexpectedStatusError{Status: resp.StatusCode, ContentType: resp.Header.Get(headerContentType)}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil || !hasContentType(resp.Header, typeJSON) {
		return &InterruptedError{Attempt: attempt, Cause: unexpected}
	}
	var rejection Rejection
	if err := json.Unmarshal(content, &rejection); err != nil || !rejection.NotStarted {
		return &InterruptedError{Attempt: attempt, Cause: unexpected}
	}
	if rejection.Attempt != attempt {
		return &InterruptedError{Attempt: attempt, Cause: c.countMismatch(attempt, "attempt", string(attempt), string(rejection.Attempt))}
	}
	return &NotStartedError{Attempt: attempt, Rejected: true, Reason: rejection.Reason, Cause: unexpected}
}

// countMismatch counts a mismatch and returns the error for it.
func (c *HTTPClient) countMismatch(attempt tables.AttemptID, field, want, got string) *MismatchError {
	c.mismatches.Add(1)
	return &MismatchError{Attempt: attempt, Field: field, Want: want, Got: got}
}
