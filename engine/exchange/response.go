package exchange

import (
	"io"
	"net/http"

	"github.com/carawaystile/carawaystile/engine"
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
	// stopCancellation detaches the connection from the context; false means that the
	// context has already ended.
	stopCancellation func() bool
	// writeResult receives the result of writing a long request; it is nil for a short
	// one.
	writeResult chan error
	finished    bool
}

// ReadAll returns the whole body, or *engine.InterruptedError if the body is truncated or
// exceeds the client's limit.
func (a *Response) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, a.client.maxResponseBytes+1))
	if err == nil && int64(len(body)) > a.client.maxResponseBytes {
		err = &engine.TooLargeError{What: "response", Limit: a.client.maxResponseBytes}
	}
	if err != nil {
		a.Close()
		return nil, &engine.InterruptedError{Attempt: a.attempt, Cause: err}
	}
	a.finish()
	return body, nil
}

// Read reads from the body of a stream. io.EOF means that the response is complete.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		a.finish()
	}
	return n, err
}

// finish ends a complete response and returns the connection to the pool if it can be
// reused. It cannot if further bytes have arrived, which belong to no request, or if the
// endpoint responded before it read the whole request.
func (a *Response) finish() {
	if a.finished {
		return
	}
	a.finished = true
	clean := a.stopCancellation() && !a.resp.Close && a.conn.reader.Buffered() == 0 && a.requestSent()
	if !clean {
		_ = a.conn.Close()
		return
	}
	a.client.pool.put(a.conn, idleTimeout(a.Header))
}

// requestSent reports whether the whole request was written.
func (a *Response) requestSent() bool {
	if a.writeResult == nil {
		return true
	}
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}

// Close ends the attempt by closing the connection, which tells the endpoint to stop.
func (a *Response) Close() {
	if a.finished {
		return
	}
	a.closeConnection()
}

func (a *Response) closeConnection() {
	a.finished = true
	a.stopCancellation()
	_ = a.conn.Close()
}
