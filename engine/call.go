package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/jx"

	"github.com/carawaystile/carawaystile/tables"
)

// Call runs an attempt at a plain service and returns its whole answer. Its
// failures are *NotStarted, *Interrupted and *Mismatch; after the latter two
// the work may have run.
func (c *HTTPClient) Call(ctx context.Context, at netip.AddrPort, req CallRequest) (CallResponse, error) {
	body := newOnceBody(req.Body)
	method := req.Method
	if method == "" {
		method = http.MethodPost
	}
	call := newRequest(ctx, method, endpointURL(at, req.Path), body)
	call.Header.Set(headerType, req.ContentType)
	call.Header.Set(HeaderAttempt, string(req.Attempt))
	if req.IdempotencyKey != "" {
		call.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	resp, err := c.single.RoundTrip(call)
	if err != nil {
		return CallResponse{}, startFailure(req.Attempt, body, causeOf(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readAnswer(req, resp)
}

func (c *HTTPClient) readAnswer(req CallRequest, resp *http.Response) (CallResponse, error) {
	boot := resp.Header.Get(HeaderBoot)
	switch echoed := resp.Header.Get(HeaderAttempt); {
	case echoed == "" || boot == "":
		return CallResponse{}, c.declined(req.Attempt, resp)
	case echoed != string(req.Attempt):
		return CallResponse{}, c.mismatch(req.Attempt, "attempt", string(req.Attempt), echoed)
	}
	if isDeclining(resp.StatusCode) {
		content, err := readBounded(resp.Body, maxErrorBody, "answer")
		if err != nil {
			return CallResponse{}, &InterruptedError{Attempt: req.Attempt, Cause: err}
		}
		resp.Body = io.NopCloser(bytes.NewReader(content))
		failure := c.declined(req.Attempt, resp)
		if _, notStarted := failure.(*NotStartedError); notStarted {
			return CallResponse{}, failure
		}
		return newAnswer(req, resp, content), nil
	}
	content, err := readBounded(resp.Body, c.options.MaxResponseBytes, "answer")
	if err != nil {
		return CallResponse{}, &InterruptedError{Attempt: req.Attempt, Cause: err}
	}
	return newAnswer(req, resp, content), nil
}

func newAnswer(req CallRequest, resp *http.Response, content []byte) CallResponse {
	return CallResponse{
		Attempt:     req.Attempt,
		Boot:        tables.BootID(resp.Header.Get(HeaderBoot)),
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get(headerType),
		Body:        content,
	}
}

// isDeclining reports whether a status may come with a Decline.
func isDeclining(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func readBounded(r io.Reader, limit int64, what string) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, &TooLargeError{What: what, Limit: limit}
	}
	return content, nil
}

// Cancel ends an attempt at an endpoint. Without the endpoint's confirmation
// it returns *CancelUnconfirmed.
func (c *HTTPClient) Cancel(ctx context.Context, at netip.AddrPort, attempt tables.AttemptID) error {
	var answer CancelResponse
	err := c.exchange(ctx, c.options.CancelTimeout, at, PathCancel, CancelRequest{Attempt: attempt}, &answer)
	if err != nil {
		return &CancelUnconfirmedError{Attempt: attempt, Cause: err}
	}
	if answer.Attempt != attempt {
		return &CancelUnconfirmedError{
			Attempt: attempt,
			Cause:   c.mismatch(attempt, "attempt", string(attempt), string(answer.Attempt)),
		}
	}
	return nil
}

// exchange posts one JSON value and reads another.
func (c *HTTPClient) exchange(ctx context.Context, timeout time.Duration, at netip.AddrPort, path string, ask, answer any) error {
	content, err := json.Marshal(ask)
	if err != nil {
		return &ProtocolError{What: "question", Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := newRequest(ctx, http.MethodPost, endpointURL(at, path), newOnceBody(content))
	req.Header.Set(headerType, typeJSON)
	return c.answerJSON(req, answer)
}

// fetch reads one JSON value.
func (c *HTTPClient) fetch(ctx context.Context, timeout time.Duration, to *url.URL, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.answerJSON(newRequest(ctx, http.MethodGet, to, nil), answer)
}

func (c *HTTPClient) answerJSON(req *http.Request, answer any) error {
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := readBounded(resp.Body, c.options.MaxResponseBytes, "answer")
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !isType(resp.Header, typeJSON) {
		unexpected := &UnexpectedStatusError{Status: resp.StatusCode, ContentType: resp.Header.Get(headerType)}
		_ = json.Unmarshal(content, &unexpected.refusal)
		return unexpected
	}
	if err := decodeAnswer(content, answer); err != nil {
		return &ProtocolError{What: "answer", Cause: err}
	}
	return nil
}

// decodeAnswer reads frequent answers by their own decoders. Through
// encoding/json they would be scanned twice.
func decodeAnswer(content []byte, answer any) error {
	if own, ok := answer.(interface{ decode(d *jx.Decoder) error }); ok {
		return own.decode(jx.DecodeBytes(content))
	}
	return json.Unmarshal(content, answer)
}
