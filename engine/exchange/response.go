package exchange

import (
	"io"
	"net/http"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// Response is an endpoint's answer whose header has arrived. One goroutine uses
// it and ends it by reading to the end or by Close.
type Response struct {
	Status int
	Header http.Header

	client  *Client
	conn    *connection
	attempt tables.AttemptID
	resp    *http.Response
	// release takes the connection from the context's hands; false means that
	// the context has ended.
	release func() bool
	// written gives the end of a long body's sending, nil for a short one.
	written chan error
	ended   bool
}

// ReadAll gives the whole body, or *engine.Interrupted if it broke off or is
// longer than the client's limit.
func (a *Response) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, a.client.limit+1))
	if err == nil && int64(len(body)) > a.client.limit {
		err = &engine.TooLargeError{What: "answer", Limit: a.client.limit}
	}
	if err != nil {
		a.Close()
		return nil, &engine.InterruptedError{Attempt: a.attempt, Cause: err}
	}
	a.finish()
	return body, nil
}

// Read reads on in the body; it is for streams. io.EOF means that the answer is
// whole.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		a.finish()
	}
	return n, err
}

// finish ends a whole answer and keeps the connection if it is clean. Bytes
// after the answer belong to no request, and a body that was answered before it
// was read leaves the connection in the middle of it.
func (a *Response) finish() {
	if a.ended {
		return
	}
	a.ended = true
	clean := a.release() && !a.resp.Close && a.conn.reader.Buffered() == 0 && a.sent()
	if !clean {
		_ = a.conn.Close()
		return
	}
	a.client.pool.put(a.conn, keepFor(a.Header))
}

// sent says whether the whole request has left.
func (a *Response) sent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Close ends the attempt: the connection is closed, which tells the endpoint to
// stop.
func (a *Response) Close() {
	if a.ended {
		return
	}
	a.drop()
}

func (a *Response) drop() {
	a.ended = true
	a.release()
	_ = a.conn.Close()
}
