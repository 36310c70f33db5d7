package readlimit

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// Bodies bounds the request bodies that a handler reads. The zero value of a field means no bound.
type Bodies struct {
	// Bytes bounds one body, and TotalBytes those of all requests in progress together, apart from
	// the first freeBodyBytes of each.
	Bytes, TotalBytes int64
	// Timeout bounds the time to read one body.
	Timeout time.Duration
	// Exceeded is called for a request whose body exceeds a bound; nil for nothing. The error is a
	// *TooLargeError or a *TooSlowError.
	Exceeded func(r *http.Request, err error)

	// used is the number of bytes that count towards TotalBytes.
	used atomic.Int64
}

// TooSlowError means that a peer has not sent the part of a message that What names within Limit.
type TooSlowError struct {
	What  string
	Limit time.Duration
}

// Error returns the part and its limit.
func (e *TooSlowError) Error() string { return fmt.Sprintf("%s takes longer than %v", e.What, e.Limit) }

// freeBodyBytes is the part of each body that does not count towards Bodies.TotalBytes, in bytes, so that
// short messages pass while long bodies use that up.
const freeBodyBytes = 64 << 10

const (
	requestBody   = "request body"
	requestBodies = "request bodies together"
)

// Handler returns a handler that calls next with bounded bodies. Of a body that is declared to be too
// large nothing is read.
func (b *Bodies) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &boundedBody{ReadCloser: r.Body, bodies: b, request: r, header: w.Header(), control: http.NewResponseController(w)}
		defer body.release()
		if b.Bytes > 0 && r.ContentLength > b.Bytes {
			err := body.fail(&TooLargeError{What: requestBody, Limit: b.Bytes})
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if b.Timeout > 0 {
			_ = body.control.SetReadDeadline(time.Now().Add(b.Timeout))
		}
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// boundedBody is a request body of Bodies.
type boundedBody struct {
	io.ReadCloser
	bodies  *Bodies
	request *http.Request
	header  http.Header
	control *http.ResponseController
	read    int64
	// counted is the part of read that counts towards Bodies.TotalBytes.
	counted int64
	// err is set once a bound was exceeded.
	err error
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	l := b.bodies
	if l.Bytes > 0 {
		p = p[:min(int64(len(p)), l.Bytes-b.read+1)]
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	counted := max(b.read-freeBodyBytes, 0)
	used := l.used.Add(counted - b.counted)
	b.counted = counted
	switch {
	case l.Bytes > 0 && b.read > l.Bytes:
		return n - 1, b.fail(&TooLargeError{What: requestBody, Limit: l.Bytes})
	case l.TotalBytes > 0 && counted > 0 && used > l.TotalBytes:
		return n, b.fail(&TooLargeError{What: requestBodies, Limit: l.TotalBytes})
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, b.fail(&TooSlowError{What: requestBody, Limit: l.Timeout})
	case err == io.EOF && l.Timeout > 0:
		// A deadline that remained would end a response that takes longer. After any other error it
		// bounds how long net/http waits for the rest.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// fail reports an exceeded bound. The connection ends with the response, since the server would read
// on for the next request otherwise.
func (b *boundedBody) fail(err error) error {
	b.err = err
	b.header.Set("Connection", "close")
	if b.bodies.Exceeded != nil {
		b.bodies.Exceeded(b.request, err)
	}
	return err
}

// release gives the bytes of the body back.
func (b *boundedBody) release() { b.bodies.used.Add(-b.counted) }
