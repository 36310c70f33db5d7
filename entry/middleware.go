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
	// retryAfterOverload is when an instance that holds too much may have room again.
	retryAfterOverload = time.Second
	// retryAfterDraining is when another instance will get the request.
	retryAfterDraining = 100 * time.Millisecond

	eventStreamType = "text/event-stream"
)

// bufferFullError means that the instance holds too many request bodies.
type bufferFullError struct{}

// Error says so.
func (*bufferFullError) Error() string { return "too many request bodies are held" }

// middleware is the handler around the generated server: health, admission, bounds
// on what a request may hold, and flushing of events.
func (s *Server) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
			// Connections that the balancer keeps open would bring further
			// requests to an instance that is about to end.
			w.Header().Set("Connection", "close")
		}
		control := http.NewResponseController(w)
		body := &limitedBody{server: s, body: r.Body, remaining: s.limits.MaxBodyBytes, contentLength: r.ContentLength, control: control}
		defer body.release()
		_ = control.SetReadDeadline(time.Now().Add(s.limits.ReadTimeout))
		r.Body = body
		next.ServeHTTP(&flushWriter{ResponseWriter: w, control: control, timeout: s.limits.WriteTimeout}, r)
	})
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if s.Ready() {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// limitedBody bounds one request's body and accounts it against what all
// requests may hold together.
type limitedBody struct {
	server    *Server
	body      io.ReadCloser
	control   *http.ResponseController
	remaining int64
	// contentLength is the length that the caller announced, -1 if none.
	contentLength int64
	buffered      int64
	readFinished  bool
}

// Read fails with *http.MaxBytesError or *heldFull beyond the bounds.
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
	if err != nil && !b.readFinished {
		// A deadline left in place would end the connection under a long
		// stream and look like a caller who has gone.
		b.readFinished = true
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close closes the body.
func (b *limitedBody) Close() error { return b.body.Close() }

func (b *limitedBody) release() { b.server.bufferedBytes.Add(-b.buffered) }

// flushWriter sends each event of a stream at once. Generated code copies a
// stream to it one Read, and so one event, at a time; net/http alone would hold
// events back until four kilobytes have come together.
type flushWriter struct {
	http.ResponseWriter
	control   *http.ResponseController
	timeout   time.Duration
	streaming bool
}

// WriteHeader notes whether events follow.
func (w *flushWriter) WriteHeader(status int) {
	header := w.Header()
	w.streaming = strings.HasPrefix(header.Get("Content-Type"), eventStreamType)
	if w.streaming {
		header.Set("Cache-Control", "no-cache")
		header.Set("X-Accel-Buffering", "no")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write fails once the caller has taken nothing for the stall time, so that a
// caller who does not read cannot hold an engine's slot for ever.
func (w *flushWriter) Write(p []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	n, err := w.ResponseWriter.Write(p)
	if err != nil || !w.streaming {
		return n, err
	}
	return n, w.control.Flush()
}

// eventBufferBytes holds one event of a stream, which is seldom longer.
const eventBufferBytes = 2 << 10

// ReadFrom copies events through a small buffer. io.Copy would take one of
// 32 KiB for as long as the stream is open.
func (w *flushWriter) ReadFrom(r io.Reader) (int64, error) {
	to := struct{ io.Writer }{w}
	if !w.streaming {
		return io.Copy(to, r)
	}
	return io.CopyBuffer(to, r, make([]byte, eventBufferBytes))
}

// Unwrap lets net/http find the writer below.
func (w *flushWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// writeFailure answers with a failure outside the generated code.
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
