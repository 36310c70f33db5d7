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

// Call runs an attempt at a plain service and returns its whole response. It fails with
// *NotStartedError, *InterruptedError or *MismatchError; after the latter two the work
// may have run.
func (c *HTTPClient) Call(ctx context.Context, at netip.AddrPort, req CallRequest) (CallResponse, error) {
	body := newTrackedBody(req.Body)
	method := req.Method
	if method == "" {
		method = http.MethodPost
	}
	call := newRequest(ctx, method, endpointURL(at, req.Path), body)
	call.Header.Set(headerContentType, req.ContentType)
	call.Header.Set(HeaderAttempt, string(req.Attempt))
	if req.IdempotencyKey != "" {
		call.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	resp, err := c.unpooled.RoundTrip(call)
	if err != nil {
		return CallResponse{}, classifySendError(req.Attempt, body, contextCause(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readCallResponse(req, resp)
}

// readCallResponse reads the response to a call. A response without the attempt or boot
// header does not come from the service itself; it proves nothing unless it is a
// Rejection.
func (c *HTTPClient) readCallResponse(req CallRequest, resp *http.Response) (CallResponse, error) {
	boot := resp.Header.Get(HeaderBoot)
	switch echoed := resp.Header.Get(HeaderAttempt); {
	case echoed == "" || boot == "":
		return CallResponse{}, c.readRejection(req.Attempt, resp)
	case echoed != string(req.Attempt):
		return CallResponse{}, c.countMismatch(req.Attempt, "attempt", string(req.Attempt), echoed)
	}
	if mayCarryRejection(resp.StatusCode) {
		content, err := readLimited(resp.Body, maxErrorBodyBytes, "response")
		if err != nil {
			return CallResponse{}, &InterruptedError{Attempt: req.Attempt, Cause: err}
		}
		resp.Body = io.NopCloser(bytes.NewReader(content))
		failure := c.readRejection(req.Attempt, resp)
		if _, notStarted := failure.(*NotStartedError); notStarted {
			return CallResponse{}, failure
		}
		return newCallResponse(req, resp, content), nil
	}
	content, err := readLimited(resp.Body, c.options.MaxResponseBytes, "response")
	if err != nil {
		return CallResponse{}, &InterruptedError{Attempt: req.Attempt, Cause: err}
	}
	return newCallResponse(req, resp, content), nil
}

func newCallResponse(req CallRequest, resp *http.Response, content []byte) CallResponse {
	return CallResponse{
		Attempt:     req.Attempt,
		Boot:        tables.BootID(resp.Header.Get(HeaderBoot)),
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get(headerContentType),
		Body:        content,
	}
}

// mayCarryRejection reports whether a response with this status may have a Rejection as
// its body.
func mayCarryRejection(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readLimited reads r to its end, or fails with *TooLargeError if it holds more than
// limit bytes.
func readLimited(r io.Reader, limit int64, what string) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, &TooLargeError{What: what, Limit: limit}
	}
	return content, nil
}

// Cancel ends an attempt at an endpoint. If the endpoint does not confirm it, Cancel
// returns *CancelUnconfirmedError.
func (c *HTTPClient) Cancel(ctx context.Context, at netip.AddrPort, attempt tables.AttemptID) error {
	var response CancelResponse
	err := c.postJSON(ctx, c.options.CancelTimeout, at, PathCancel, CancelRequest{Attempt: attempt}, &response)
	if err != nil {
		return &CancelUnconfirmedError{Attempt: attempt, Cause: err}
	}
	if response.Attempt != attempt {
		return &CancelUnconfirmedError{
			Attempt: attempt,
			Cause:   c.countMismatch(attempt, "attempt", string(attempt), string(response.Attempt)),
		}
	}
	return nil
}

// postJSON sends a POST request with a JSON body and decodes the JSON response.
func (c *HTTPClient) postJSON(ctx context.Context, timeout time.Duration, at netip.AddrPort, path string, request, response any) error {
	content, err := json.Marshal(request)
	if err != nil {
		return &ProtocolError{What: "request", Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := newRequest(ctx, http.MethodPost, endpointURL(at, path), newTrackedBody(content))
	req.Header.Set(headerContentType, typeJSON)
	return c.roundTripJSON(req, response)
}

// getJSON sends a GET request and decodes the JSON response.
func (c *HTTPClient) getJSON(ctx context.Context, timeout time.Duration, to *url.URL, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.roundTripJSON(newRequest(ctx, http.MethodGet, to, nil), response)
}

func (c *HTTPClient) roundTripJSON(req *http.Request, out any) error {
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := readLimited(resp.Body, c.options.MaxResponseBytes, "response")
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !hasContentType(resp.Header, typeJSON) {
		unexpected := &UnexpectedStatusError{Status: resp.StatusCode, ContentType: resp.Header.Get(headerContentType)}
		_ = json.Unmarshal(content, &unexpected.orderRefusal)
		return unexpected
	}
	if err := decodeJSON(content, out); err != nil {
		return &ProtocolError{What: "response", Cause: err}
	}
	return nil
}

// decodeJSON decodes a response, with the type's own decoder if it has one. Frequent
// messages have one, because encoding/json scans a message twice when it calls
// UnmarshalJSON.
func decodeJSON(content []byte, out any) error {
	if own, ok := out.(interface{ decode(d *jx.Decoder) error }); ok {
		return own.decode(jx.DecodeBytes(content))
	}
	return json.Unmarshal(content, out)
}
