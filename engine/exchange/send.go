package exchange

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/engine"
)

// maxSyncWriteBytes is the size of the longest request that is written before the
// response is read. Writing a longer one could block on a full send buffer when the
// endpoint has responded early and no longer reads.
const maxSyncWriteBytes = 16 << 10

// maxStaleResponses is the number of responses to earlier requests that are skipped on a
// connection.
const maxStaleResponses = 2

// Send sends a request and returns the response once its header has arrived. It fails
// with *engine.NotStartedError if the request provably did not run, and with
// *engine.InterruptedError if it may have run. When the context ends, the connection is
// closed, which ends the work at the endpoint.
func (c *Client) Send(ctx context.Context, to netip.AddrPort, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &engine.NotStartedError{Attempt: r.Attempt, Reason: "the request has ended", Cause: err}
	}
	conn, err := c.connect(ctx, to, r)
	if err != nil {
		return nil, err
	}
	response, err := c.sendOn(ctx, conn, r)
	if _, gone := err.(*nothingWrittenError); !gone {
		return response, err
	}
	// The pooled connection was closed before a byte of the request was written.
	if r.OnResend != nil {
		r.OnResend(err)
	}
	if conn, err = c.openConnection(ctx, to, r); err != nil {
		return nil, err
	}
	return c.sendOn(ctx, conn, r)
}

// nothingWrittenError means that no byte of a request was written, so that it can be sent
// again on another connection.
type nothingWrittenError struct{ cause error }

func (e *nothingWrittenError) Error() string { return "nothing was written: " + e.cause.Error() }

// sendOn sends a request on a connection and reads the header of its response.
func (c *Client) sendOn(ctx context.Context, conn *connection, r *Request) (*Response, error) {
	if r.OnSend != nil {
		r.OnSend()
	}
	conn.source.reserve, conn.source.reserved = r.ReserveHeader, 0
	res := &Response{client: c, conn: conn, attempt: r.Attempt, evidence: newEvidence(conn)}
	res.stopCancellation = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := res.write(r); err != nil {
		res.closeConnection()
		return nil, err
	}
	if err := res.readHeader(r); err != nil {
		res.closeConnection()
		return nil, &engine.InterruptedError{Attempt: r.Attempt, Cause: err}
	}
	if rejected := c.rejection(res, r); rejected != nil {
		return nil, rejected
	}
	return res, nil
}

// write writes the request. It writes a long request in the background while the response
// is read.
func (res *Response) write(r *Request) error {
	header := encodeHeader(r)
	if len(header)+len(r.Body) > maxSyncWriteBytes {
		res.writeInBackground(header, r.Body)
		return nil
	}
	n, err := res.conn.Write(append(header, r.Body...))
	switch {
	case err == nil:
		return nil
	case n == 0 && res.conn.reused:
		return &nothingWrittenError{cause: err}
	}
	return &engine.InterruptedError{Attempt: r.Attempt, Cause: err}
}

// writeInBackground writes a long request. It does not copy the body, so that attempts at an
// endpoint that reads slowly take no memory beside it.
func (res *Response) writeInBackground(header, body []byte) {
	message := net.Buffers{header, body}
	res.writeResult = make(chan error, 1)
	go func() {
		_, err := message.WriteTo(res.conn.Conn)
		res.writeResult <- err
	}()
}

// encodeHeader returns the request without its body in HTTP/1.1 wire format, with a
// Content-Length.
func encodeHeader(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // writes to a bytes.Buffer do not fail
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads the header of the response to this request. It skips responses that are
// not the request's own: an endpoint may respond twice to an earlier request of the
// connection, and the second copy must not be taken for the response to this one.
func (res *Response) readHeader(r *Request) error {
	request := &http.Request{Method: r.Method, URL: &url.URL{}}
	start := res.conn.consumed()
	for stale := 0; ; {
		res.evidence.BytesBefore = res.conn.consumed() - start
		resp, err := res.conn.readHeader(request)
		if err != nil {
			return err
		}
		echoed := resp.Header.Get(res.client.headers.RequestID)
		res.evidence.EchoedID = echoed
		if res.isOwn(resp, r) {
			res.resp = resp
			res.Status, res.Header = resp.StatusCode, resp.Header
			return nil
		}
		if r.OnForeign != nil {
			r.OnForeign(resp.StatusCode, res.evidence)
		}
		stale++
		if stale > maxStaleResponses || endsWithConnection(resp) {
			return &engine.MismatchError{Attempt: r.Attempt, Field: "request", Want: r.ID, Got: echoed}
		}
		if err := discardUpTo(resp.Body, res.client.maxResponseBytes, "stale response"); err != nil {
			return err
		}
	}
}

// isOwn reports whether a response is that to the request. Only the echoed request ID proves it. A
// response without an ID is accepted as the first of its connection, unless it denies execution: that
// must not be believed of the wrong request, which would be sent again while it runs.
func (res *Response) isOwn(resp *http.Response, r *Request) bool {
	if echoed := resp.Header.Get(res.client.headers.RequestID); echoed != "" || r.ID == "" {
		return echoed == r.ID
	}
	return !res.conn.reused && !res.deniesExecution(resp)
}

// deniesExecution reports whether a response states, or promises to the client by its status, that the
// request did not run.
func (res *Response) deniesExecution(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return resp.Header.Get(res.client.headers.NotExecuted) != ""
}

// rejection returns *RejectedError if the endpoint states that it did not run the
// request, and nil otherwise. It does not wait for the body of the rejection.
func (c *Client) rejection(res *Response, r *Request) error {
	misdirected := res.Status == http.StatusMisdirectedRequest
	if !misdirected && res.Header.Get(c.headers.NotExecuted) == "" {
		return nil
	}
	failure := &RejectedError{
		NotStartedError: engine.NotStartedError{Attempt: r.Attempt, Rejected: true, Reason: http.StatusText(res.Status)},
		Status:          res.Status,
		Header:          res.Header,
		Evidence:        res.evidence,
	}
	res.Discard()
	return failure
}

// RejectedError means that the endpoint stated that it did not run the request. It
// unwraps to *engine.NotStartedError.
type RejectedError struct {
	engine.NotStartedError
	Status int
	Header http.Header
	// Evidence is what attributes the rejection to the request.
	Evidence Evidence
}

// Evidence is what is known of a response and its connection.
type Evidence struct {
	// EchoedID is the request ID in the response.
	EchoedID string
	// Reused is set if the connection has carried a request before, and Idle is how long it was idle
	// since.
	Reused bool
	Idle   time.Duration
	// BytesBefore is how many bytes arrived between the sending of the request and the response: those
	// of other responses.
	BytesBefore int64
}

func newEvidence(conn *connection) Evidence {
	if !conn.reused {
		return Evidence{}
	}
	return Evidence{Reused: true, Idle: time.Since(conn.idleSince)}
}

// Unwrap returns the *engine.NotStartedError.
func (e *RejectedError) Unwrap() error { return &e.NotStartedError }
