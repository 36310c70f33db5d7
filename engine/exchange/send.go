package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/engine"
)

// syncBody is the longest body that is written before the answer is read. A
// longer one may fill the connection while the endpoint, which has answered
// already, reads no more.
const syncBody = 16 << 10

// maxStray is how many answers to earlier requests are skipped on a connection.
const maxStray = 2

// Send gives the endpoint's answer once its header is there. Its failures are
// *engine.NotStarted, with proof that the request did not run, and
// *engine.Interrupted, after which it may have run. When the context ends the
// connection is closed, which ends the work at the endpoint.
func (c *Client) Send(ctx context.Context, to netip.AddrPort, r *Request) (*Response, error) {
	conn, err := c.connect(ctx, to, r)
	if err != nil {
		return nil, err
	}
	answer, err := c.sendOn(ctx, conn, r)
	if _, gone := err.(*nothingWritten); !gone {
		return answer, err
	}
	// The kept connection was gone before a byte of the request left.
	if conn, err = c.fresh(ctx, to, r); err != nil {
		return nil, err
	}
	return c.sendOn(ctx, conn, r)
}

// nothingWritten means that no byte of a request left.
type nothingWritten struct{ cause error }

func (e *nothingWritten) Error() string { return "nothing was written: " + e.cause.Error() }

// sendOn runs one request on a connection.
func (c *Client) sendOn(ctx context.Context, conn *connection, r *Request) (*Response, error) {
	a := &Response{client: c, conn: conn, attempt: r.Attempt}
	a.release = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := a.write(r); err != nil {
		a.drop()
		return nil, err
	}
	if err := a.readHeader(r); err != nil {
		a.drop()
		return nil, &engine.InterruptedError{Attempt: r.Attempt, Cause: err}
	}
	if declined := c.declined(a, r); declined != nil {
		return nil, declined
	}
	return a, nil
}

// write sends the request. A long body is sent beside the reading of the answer.
func (a *Response) write(r *Request) error {
	message := encodeRequest(r)
	if len(message) <= syncBody {
		n, err := a.conn.Write(message)
		switch {
		case err == nil:
			return nil
		case n == 0 && a.conn.reused:
			return &nothingWritten{cause: err}
		}
		return &engine.InterruptedError{Attempt: r.Attempt, Cause: err}
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(message)
		a.written <- err
	}()
	return nil
}

// encodeRequest gives the bytes of a request, its body with a length.
func encodeRequest(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	_ = r.Header.Write(&b) // a buffer takes everything
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readHeader reads the header of the answer to this request. Answers that name
// another request are skipped: an endpoint may answer an earlier request of the
// connection twice, and its caller must not get this one's place.
func (a *Response) readHeader(r *Request) error {
	asked := &http.Request{Method: r.Method, URL: &url.URL{}}
	for stray := 0; ; {
		resp, err := http.ReadResponse(a.conn.reader, asked)
		if err != nil {
			return err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		named := resp.Header.Get(a.client.headers.RequestID)
		if named == r.ID || named == "" && (!a.conn.reused || a.unrun(resp)) {
			a.resp = resp
			a.Status, a.Header = resp.StatusCode, resp.Header
			return nil
		}
		stray++
		if stray > maxStray {
			return &engine.MismatchError{Attempt: r.Attempt, Field: "request", Want: r.ID, Got: named}
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, a.client.limit)); err != nil {
			return err
		}
	}
}

func (a *Response) unrun(resp *http.Response) bool {
	return resp.Header.Get(a.client.headers.NotExecuted) != ""
}

// declined returns the endpoint's word that it did not run the request, nil if
// it did not say so. The connection stays usable.
func (c *Client) declined(a *Response, r *Request) error {
	misdirected := a.Status == http.StatusMisdirectedRequest
	if !misdirected && a.Header.Get(c.headers.NotExecuted) == "" {
		return nil
	}
	failure := &RejectedError{
		NotStartedError: engine.NotStartedError{Attempt: r.Attempt, Rejected: true, Reason: http.StatusText(a.Status)},
		Status:          a.Status,
		Header:          a.Header,
	}
	if _, err := a.ReadAll(); err != nil {
		a.Close()
	}
	return failure
}

// RejectedError is an endpoint's word that it did not run the request. It unwraps to
// *engine.NotStarted.
type RejectedError struct {
	engine.NotStartedError
	Status int
	Header http.Header
}

// Unwrap gives the proof.
func (e *RejectedError) Unwrap() error { return &e.NotStartedError }
