package exchange

import (
	"io"
	"net/http"

	"github.com/carawaystile/carawaystile/tables"
)

// Response is an endpoint's response whose header has arrived. One goroutine uses it and
// ends it by reading the whole body or by Close.
type Response struct {
	Status int
	Header http.Header

	client  *Client
	conn    *connection
	attempt tables.AttemptID
	resp    *http.Response
	// evidence is what attributes the response to the request.
	evidence Evidence
	// stopCancellation detaches the connection from the context; false means that the
	// context has already ended.
	stopCancellation func() bool
	// writeResult receives the result of writing a long request; it is nil for a short
	// one.
	writeResult chan error
	finished    bool
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that only the end
// of the connection ends it. It may be truncated then without an error.
func (res *Response) EndsWithConnection() bool { return endsWithConnection(res.resp) }

func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Read reads from the body of a stream. io.EOF means that the response is complete.
func (res *Response) Read(p []byte) (int, error) {
	n, err := res.resp.Body.Read(p)
	if err == io.EOF {
		res.finish()
	}
	return n, err
}

// finish ends a complete response and returns the connection to the pool if it can be
// reused. It cannot if further bytes have arrived, which belong to no request, or if the
// endpoint responded before it read the whole request.
func (res *Response) finish() {
	if res.finished {
		return
	}
	res.finished = true
	clean := res.stopCancellation() && !res.resp.Close && !res.conn.unpooled && res.conn.reader.Buffered() == 0 && res.requestSent()
	if !clean {
		_ = res.conn.Close()
		return
	}
	res.client.pool.put(res.conn, idleTimeout(res.Header))
}

// requestSent reports whether the whole request was written.
func (res *Response) requestSent() bool {
	if res.writeResult == nil {
		return true
	}
	select {
	case err := <-res.writeResult:
		return err == nil
	default:
		return false
	}
}

// Close ends the attempt by closing the connection, which tells the endpoint to stop.
func (res *Response) Close() {
	if res.finished {
		return
	}
	res.closeConnection()
}

func (res *Response) closeConnection() {
	res.finished = true
	res.stopCancellation()
	_ = res.conn.Close()
}
