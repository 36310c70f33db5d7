package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// retryAfterOverload is the retry delay while a limit of the instance is
	// reached.
	retryAfterOverload = time.Second
	// retryAfterDraining is the retry delay while the instance is not ready.
	// The load balancer sends the retry to another instance.
	retryAfterDraining = 100 * time.Millisecond

	eventStreamType = "text/event-stream"
)

// bufferFullError reports that request bodies use all of
// Limits.MaxBufferedBytes.
type bufferFullError struct{}

// Error returns a constant text.
func (*bufferFullError) Error() string {
	return "request bodies exceed the memory limit of the instance"
}

// middleware wraps the generated server. It adds health checks, admission
// control, limits on request bodies and the flushing of server-sent events.
func (s *Server) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// It also bounds the wait of net/http for the rest of a body that is not needed.
		_ = control.SetReadDeadline(time.Now().Add(s.limits.ReadTimeout))
		switch r.URL.Path {
		case "/healthz":
			w.WriteHeader(http.StatusNoContent)
			return
		case "/readyz":
			s.serveReady(w)
			return
		}
		if failure := s.admit(); failure != nil {
			s.recordFailure("", failure)
			writeFailure(w, failure)
			return
		}
		defer s.gate.Done()
		release, failure := s.admitOrganisation(r)
		if failure != nil {
			s.recordFailure("", failure)
			writeFailure(w, failure)
			return
		}
		defer release()
		if !s.gate.State().Ready() {
			// The load balancer would use an open keep-alive connection for
			// further requests to an instance that is about to stop.
			w.Header().Set("Connection", "close")
		}
		body := &limitedBody{server: s, body: r.Body, remaining: s.limits.MaxBodyBytes, contentLength: r.ContentLength, control: control}
		defer body.release()
		r.Body = body
		next.ServeHTTP(&flushWriter{ResponseWriter: w, control: control, timeout: s.limits.WriteTimeout}, r)
	})
}

// serveReady answers the readiness probe.
func (s *Server) serveReady(w http.ResponseWriter) {
	if s.Ready() {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// limitedBody limits the size of one request body, and counts its bytes towards
// the limit on all request bodies together.
type limitedBody struct {
	server  *Server
	body    io.ReadCloser
	control *http.ResponseController
	// remaining is the number of bytes that the body may still have.
	remaining int64
	// contentLength is the length that the caller declared, -1 if none.
	contentLength int64
	// buffered is the number of bytes read so far.
	buffered     int64
	readFinished bool
}

// Read fails with *http.MaxBytesError or *bufferFullError beyond the limits.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.contentLength > b.server.limits.MaxBodyBytes {
		return 0, &http.MaxBytesError{Limit: b.server.limits.MaxBodyBytes}
	}
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	b.buffered += int64(n)
	if b.remaining < 0 {
		return 0, &http.MaxBytesError{Limit: b.server.limits.MaxBodyBytes}
	}
	if b.server.bufferedBytes.Add(int64(n)) > b.server.limits.MaxBufferedBytes {
		return 0, &bufferFullError{}
	}
	if err == io.EOF && !b.readFinished {
		// A remaining read deadline would end the connection during a long
		// stream, as if the caller had disconnected. After any other error it bounds
		// how long net/http waits for the rest.
		b.readFinished = true
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close closes the body.
func (b *limitedBody) Close() error { return b.body.Close() }

// release returns the bytes of the body to the shared limit.
func (b *limitedBody) release() { b.server.bufferedBytes.Add(-b.buffered) }

// flushWriter flushes each event of a stream. The generated code copies a
// stream one Read, and so one event, at a time. net/http alone would buffer
// events until four kilobytes have accumulated.
type flushWriter struct {
	http.ResponseWriter
	control   *http.ResponseController
	timeout   time.Duration
	streaming bool
}

// WriteHeader records whether the response is an event stream.
func (w *flushWriter) WriteHeader(status int) {
	header := w.Header()
	w.streaming = strings.HasPrefix(header.Get("Content-Type"), eventStreamType)
	if w.streaming {
		header.Set("Cache-Control", "no-cache")
		header.Set("X-Accel-Buffering", "no")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write fails if the caller reads nothing for the timeout, so that a caller
// that does not read cannot occupy an engine's slot forever.
func (w *flushWriter) Write(p []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	n, err := w.ResponseWriter.Write(p)
	if err != nil || !w.streaming {
		return n, err
	}
	return n, w.control.Flush()
}

// eventBufferBytes is the size of the copy buffer for events. Few events are
// longer.
const eventBufferBytes = 2 << 10

// ReadFrom copies events through a small buffer. io.Copy would use one of
// 32 KiB for as long as the stream is open.
func (w *flushWriter) ReadFrom(r io.Reader) (int64, error) {
	to := struct{ io.Writer }{w}
	if !w.streaming {
		return io.Copy(to, r)
	}
	return io.CopyBuffer(to, r, make([]byte, eventBufferBytes))
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeFailure writes the response of a failure outside the generated code.
func writeFailure(w http.ResponseWriter, f *outcome.Failure) {
	r := failureResponse(f)
	header := w.Header()
	header.Set("Content-Type", "application/json; charset=utf-8")
	if seconds, ok := r.RetryAfter.Get(); ok {
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	if f.Code == tables.CodeTooLarge {
		header.Set("Connection", "close")
	}
	w.WriteHeader(r.StatusCode)
	var e jx.Encoder
	r.Response.Encode(&e)
	_, _ = e.WriteTo(w)
}
