package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
)

const accepted = "event: accepted\ndata: {\"attempt\":\"a1\",\"boot\":\"b\",\"weights\":\"v1\"}\n\n"

func event(name, format string, args ...any) string {
	return "event: " + name + "\ndata: " + fmt.Sprintf(format, args...) + "\n\n"
}

func token(attempt string, index int, text string) string {
	return event(engine.EventToken, `{"attempt":%q,"index":%d,"text":%q}`, attempt, index, text)
}

// serve starts an endpoint with the given handler.
func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// serveStream starts an endpoint that serves one fixed stream and confirms cancellations.
func serveStream(t *testing.T, text string) netip.AddrPort {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.PathCancel {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"attempt":"a1"}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, text)
	})
}

// Endpoints may be faulty, or their data may belong to another attempt. Each of these
// streams is invalid in one way. The caller may get the tokens that are certainly its own
// and in order, and then an error, but never a regular end of the stream.
func TestInvalidStreamsNeverLookComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		stream string
		tokens string
	}{
		"no done event":                 {accepted + token("a1", 0, "x"), "x"},
		"truncated inside an event":     {accepted + token("a1", 0, "x") + "event: done\ndata: {\"attempt\":\"a1\",\"tokens\":1}\n", "x"},
		"token gap":                     {accepted + token("a1", 0, "x") + token("a1", 2, "z"), "x"},
		"done event too early":          {accepted + token("a1", 0, "x") + event("done", `{"attempt":"a1","tokens":2}`), "x"},
		"done event of another attempt": {accepted + token("a1", 0, "x") + event("done", `{"attempt":"a9","tokens":1}`), "x"},
		"more tokens than requested":    {accepted + token("a1", 0, "x") + token("a1", 1, "y") + token("a1", 2, "z") + token("a1", 3, "!"), "xyz"},
		"no index":                      {accepted + event("token", `{"attempt":"a1","text":"x"}`), ""},
		"malformed JSON":                {accepted + event("token", `{"attempt":`), ""},
		"error event":                   {accepted + token("a1", 0, "x") + event("error", `{"attempt":"a1","reason":"broken"}`), "x"},
		"unterminated event":            {accepted + "event: token\ndata: " + strings.Repeat("x", 1<<20), ""},
		"unterminated line":             {accepted + strings.Repeat("x", 1<<20), ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := engine.NewHTTPClient(engine.Options{})
			s, err := c.Generate(context.Background(), serveStream(t, tc.stream), request("a1", "p", 3))
			assert.NilError(t, err)
			var got strings.Builder
			for {
				var next engine.Token
				if next, err = s.Next(); err != nil {
					break
				}
				got.WriteString(next.Text)
			}
			assert.Equal(t, got.String(), tc.tokens)
			var failure *engine.InterruptedError
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Tokens, len(tc.tokens))
			_, again := s.Next()
			assert.Equal(t, again, err)
			assert.NilError(t, s.Close())
		})
	}
}

// A late token of another attempt and a duplicate token arrive in the middle of a stream.
// Both must be discarded and counted, and the output stays complete.
func TestForeignAndDuplicateTokensAreDiscarded(t *testing.T) {
	at := serveStream(t, accepted+token("a1", 0, "x")+token("a0", 1, "FOREIGN")+token("a1", 0, "x")+
		token("a1", 1, "y")+event("done", `{"attempt":"a1","tokens":2}`))
	c := engine.NewHTTPClient(engine.Options{})
	s, err := c.Generate(context.Background(), at, request("a1", "p", 5))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, s), "xy")
	assert.NilError(t, s.Close())
	assert.Equal(t, c.Counters(), engine.Counters{Mismatches: 1, Duplicates: 1})
}

// The endpoint accepts something other than what was requested. Nothing of its output may
// reach the caller.
func TestMismatchedAcceptedEventIsAnError(t *testing.T) {
	for field, first := range map[string]string{
		"attempt": event("accepted", `{"attempt":"a0","boot":"b","weights":"v1"}`),
		"boot":    event("accepted", `{"attempt":"a1","weights":"v1"}`),
		"weights": event("accepted", `{"attempt":"a1","boot":"b","weights":"v0"}`),
	} {
		c := engine.NewHTTPClient(engine.Options{})
		_, err := c.Generate(context.Background(), serveStream(t, first+token("a1", 0, "x")), request("a1", "p", 1))
		var failure *engine.MismatchError
		assert.Assert(t, errors.As(err, &failure), "%v", err)
		assert.Equal(t, failure.Field, field)
		assert.Equal(t, c.Counters().Mismatches, uint64(1))
	}
}

// A proxy between the instance and the endpoint responds in its place, or a rejection
// belongs to another attempt. Neither proves that nothing ran, so the attempt must count
// as interrupted.
func TestOnlyExplicitRejectionIsNotStarted(t *testing.T) {
	for name, tc := range map[string]struct {
		status     int
		kind, body string
		proven     bool
	}{
		"rejected":          {503, "application/json", `{"attempt":"a1","not_started":true,"reason":"full"}`, true},
		"rejected with 429": {429, "application/json", `{"attempt":"a1","not_started":true}`, true},
		"another attempt":   {503, "application/json", `{"attempt":"a0","not_started":true}`, false},
		"not_started unset": {503, "application/json", `{"attempt":"a1"}`, false},
		"proxy error page":  {503, "text/html", `{"attempt":"a1","not_started":true}`, false},
		"redirect":          {307, "text/plain", "", false},
		"not a stream":      {200, "application/json", `{}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			at := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", tc.kind)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			})
			c := engine.NewHTTPClient(engine.Options{})
			_, err := c.Generate(context.Background(), at, request("a1", "p", 1))
			_, callErr := c.Call(context.Background(), at, engine.CallRequest{Attempt: "a1", Path: "/v1/call/x"})
			for _, err := range []error{err, callErr} {
				var notStarted *engine.NotStartedError
				var interrupted *engine.InterruptedError
				assert.Equal(t, errors.As(err, &notStarted), tc.proven, "%v", err)
				assert.Equal(t, errors.As(err, &interrupted), !tc.proven, "%v", err)
			}
		})
	}
}

// An endpoint accepts connections and then sends nothing. The instance must detect that
// by a timeout and must not report that nothing ran.
func TestHungEndpointTimesOut(t *testing.T) {
	release := make(chan struct{})
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	t.Cleanup(func() { close(release) })
	c := engine.NewHTTPClient(engine.Options{ResponseTimeout: 20 * time.Millisecond})
	_, err := c.Generate(context.Background(), at, request("a1", "p", 1))
	var interrupted *engine.InterruptedError
	var timeout *engine.ReadTimeoutError
	assert.Assert(t, errors.As(err, &interrupted), "%v", err)
	assert.Assert(t, errors.As(err, &timeout), "%v", err)
}

// An endpoint stops in the middle of a stream without closing it. Its heartbeats stop as
// well, which distinguishes it from an endpoint that prefills a long prompt.
func TestStalledStreamTimesOut(t *testing.T) {
	release := make(chan struct{})
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.PathCancel {
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, accepted+token("a1", 0, "x"))
		w.(http.Flusher).Flush()
		<-release
	})
	t.Cleanup(func() { close(release) })
	c := engine.NewHTTPClient(engine.Options{ReadIdleTimeout: 20 * time.Millisecond})
	s, err := c.Generate(context.Background(), at, request("a1", "p", 3))
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	_, err = s.Next()
	var timeout *engine.ReadTimeoutError
	assert.Assert(t, errors.As(err, &timeout), "%v", err)
	var unconfirmed *engine.CancelUnconfirmedError
	assert.Assert(t, errors.As(s.Close(), &unconfirmed))
}

// Guards against a response that is lost because its timer expires while no retry is left.
func TestSilentStreamIsNotGivenUpUnlessAllowed(t *testing.T) {
	asked := make(chan struct{}, 100)
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.PathCancel {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		for range 3 {
			<-asked
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, accepted)
		w.(http.Flusher).Flush()
		for range 3 {
			<-asked
		}
		_, _ = io.WriteString(w, token("a1", 0, "x"))
	})
	c := engine.NewHTTPClient(engine.Options{ResponseTimeout: 5 * time.Millisecond, ReadIdleTimeout: 5 * time.Millisecond})
	r := request("a1", "p", 3)
	r.TimeoutAllowed = func() bool {
		asked <- struct{}{}
		return false
	}
	s, err := c.Generate(context.Background(), at, r)
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	got, err := s.Next()
	assert.NilError(t, err)
	assert.Equal(t, got.Text, "x")
}

// startRawEndpoint starts an endpoint that reads and counts each request and then closes
// the connection without a response. If firstResponse is set it is the response to the
// first request, so that the connection goes into the client's pool.
func startRawEndpoint(t *testing.T, firstResponse string) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var bodies atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, &bodies, firstResponse)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), &bodies
}

func serveRaw(c net.Conn, bodies *atomic.Int64, firstResponse string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if bodies.Add(1) > 1 || firstResponse == "" {
			return
		}
		_, _ = io.WriteString(c, firstResponse)
	}
}

// A service reads a publish call and crashes before it responds. net/http retries
// requests with an idempotency key if the connection was reused, which would publish
// twice without any error.
func TestCallIsNotRetriedAfterLostResponse(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Boot: b\r\nContent-Length: 2\r\n\r\nok"
	at, bodies := startRawEndpoint(t, ok)
	c := engine.NewHTTPClient(engine.Options{})
	req := engine.CallRequest{Attempt: "a1", Path: "/v1/call/publish", IdempotencyKey: "k", Body: []byte("note")}
	first, err := c.Call(context.Background(), at, req)
	assert.NilError(t, err)
	assert.Equal(t, string(first.Body), "ok")

	_, err = c.Call(context.Background(), at, req)
	var interrupted *engine.InterruptedError
	assert.Assert(t, errors.As(err, &interrupted), "%v", err)
	assert.Equal(t, bodies.Load(), int64(2))
}

// The same failure on the pooled connections of streams: the connection is reused and
// breaks after the request was sent.
func TestGenerateIsNotRetriedAfterLostResponse(t *testing.T) {
	body := accepted + event("done", `{"attempt":"a1","tokens":0}`)
	ok := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	at, bodies := startRawEndpoint(t, ok)
	c := engine.NewHTTPClient(engine.Options{})
	s, err := c.Generate(context.Background(), at, request("a1", "p", 1))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, s), "")
	assert.NilError(t, s.Close())

	_, err = c.Generate(context.Background(), at, request("a1", "p", 1))
	var interrupted *engine.InterruptedError
	assert.Assert(t, errors.As(err, &interrupted), "%v", err)
	assert.Equal(t, bodies.Load(), int64(2))
}

// A zone is cut off without TCP resets while several connections into it are idle. The
// first attempt times out on one of them. The next one must not wait on another idle
// connection but open a new one, which fails sooner and proves that nothing ran.
func TestUnresponsiveEndpointGetsNewConnection(t *testing.T) {
	var connections atomic.Int64
	var hanging atomic.Bool
	both := make(chan struct{})
	release := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if hanging.Load() {
			<-release
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, accepted)
		w.(http.Flusher).Flush()
		<-both
		_, _ = io.WriteString(w, event(engine.EventDone, `{"attempt":"a1","tokens":0}`))
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(release) })
	at := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	c := engine.NewHTTPClient(engine.Options{ResponseTimeout: 500 * time.Millisecond})

	var streams []engine.Stream
	for range 2 {
		stream, err := c.Generate(t.Context(), at, request("a1", "p", 1))
		assert.NilError(t, err)
		streams = append(streams, stream)
	}
	close(both)
	for _, stream := range streams {
		assert.Equal(t, readAll(t, stream), "")
		assert.NilError(t, stream.Close())
	}
	assert.Equal(t, connections.Load(), int64(2))

	hanging.Store(true)
	for range 2 {
		_, err := c.Generate(t.Context(), at, request("a1", "p", 1))
		var timeout *engine.ReadTimeoutError
		assert.Assert(t, errors.As(err, &timeout), "%v", err)
	}
	assert.Equal(t, connections.Load(), int64(3))
}

// A service sends an endless response. The client must stop at its limit instead of
// running out of memory.
func TestResponseSizeIsLimited(t *testing.T) {
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderAttempt, "a1")
		w.Header().Set(engine.HeaderBoot, "b")
		chunk := make([]byte, 1<<10)
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	c := engine.NewHTTPClient(engine.Options{MaxResponseBytes: 1 << 16})
	_, err := c.Call(context.Background(), at, engine.CallRequest{Attempt: "a1", Path: "/v1/call/x"})
	var tooLong *engine.TooLargeError
	assert.Assert(t, errors.As(err, &tooLong), "%v", err)
	var interrupted *engine.InterruptedError
	assert.Assert(t, errors.As(err, &interrupted))
}
