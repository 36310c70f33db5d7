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

// serve starts an endpoint that does what the handler says.
func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// stream serves one fixed stream and confirms cancels.
func stream(t *testing.T, text string) netip.AddrPort {
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

// Endpoints may be faulty or answer for somebody else. Each of these streams
// is wrong in one way; the caller may get the tokens that are surely its own
// and in order, and then a failure, but never an end that looks whole.
func TestWrongStreamsNeverLookWhole(t *testing.T) {
	for name, tc := range map[string]struct {
		stream string
		tokens string
	}{
		"no end mark":         {accepted + token("a1", 0, "x"), "x"},
		"cut inside an event": {accepted + token("a1", 0, "x") + "event: done\ndata: {\"attempt\":\"a1\",\"tokens\":1}\n", "x"},
		"jump":                {accepted + token("a1", 0, "x") + token("a1", 2, "z"), "x"},
		"end mark too early":  {accepted + token("a1", 0, "x") + event("done", `{"attempt":"a1","tokens":2}`), "x"},
		"another's end mark":  {accepted + token("a1", 0, "x") + event("done", `{"attempt":"a9","tokens":1}`), "x"},
		"more than asked for": {accepted + token("a1", 0, "x") + token("a1", 1, "y") + token("a1", 2, "z") + token("a1", 3, "!"), "xyz"},
		"no index":            {accepted + event("token", `{"attempt":"a1","text":"x"}`), ""},
		"not JSON":            {accepted + event("token", `{"attempt":`), ""},
		"error event":         {accepted + token("a1", 0, "x") + event("error", `{"attempt":"a1","reason":"broken"}`), "x"},
		"event without end":   {accepted + "event: token\ndata: " + strings.Repeat("x", 1<<20), ""},
		"line without end":    {accepted + strings.Repeat("x", 1<<20), ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := engine.NewHTTPClient(engine.Options{})
			s, err := c.Generate(context.Background(), stream(t, tc.stream), request("a1", "p", 3))
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

// A late answer of another attempt and a repeated token arrive in the middle
// of a stream. They are dropped and counted, and the answer stays whole.
func TestForeignAndRepeatedTokensAreDropped(t *testing.T) {
	at := stream(t, accepted+token("a1", 0, "x")+token("a0", 1, "FOREIGN")+token("a1", 0, "x")+
		token("a1", 1, "y")+event("done", `{"attempt":"a1","tokens":2}`))
	c := engine.NewHTTPClient(engine.Options{})
	s, err := c.Generate(context.Background(), at, request("a1", "p", 5))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, s), "xy")
	assert.NilError(t, s.Close())
	assert.Equal(t, c.Counters(), engine.Counters{Mismatches: 1, Duplicates: 1})
}

// The endpoint accepts something other than what was asked. Nothing of such an
// answer may reach the caller.
func TestWrongAcceptanceIsAMismatch(t *testing.T) {
	for field, first := range map[string]string{
		"attempt": event("accepted", `{"attempt":"a0","boot":"b","weights":"v1"}`),
		"boot":    event("accepted", `{"attempt":"a1","weights":"v1"}`),
		"weights": event("accepted", `{"attempt":"a1","boot":"b","weights":"v0"}`),
	} {
		c := engine.NewHTTPClient(engine.Options{})
		_, err := c.Generate(context.Background(), stream(t, first+token("a1", 0, "x")), request("a1", "p", 1))
		var failure *engine.MismatchError
		assert.Assert(t, errors.As(err, &failure), "%v", err)
		assert.Equal(t, failure.Field, field)
		assert.Equal(t, c.Counters().Mismatches, uint64(1))
	}
}

// Something between the instance and the endpoint answers in its place, or
// the refusal belongs to another attempt. Neither proves that nothing ran, so
// the caller must not be told so.
func TestOnlyADeclarationProvesNotStarted(t *testing.T) {
	for name, tc := range map[string]struct {
		status     int
		kind, body string
		proven     bool
	}{
		"declared":         {503, "application/json", `{"attempt":"a1","not_started":true,"reason":"full"}`, true},
		"declared for 429": {429, "application/json", `{"attempt":"a1","not_started":true}`, true},
		"another attempt":  {503, "application/json", `{"attempt":"a0","not_started":true}`, false},
		"not declared":     {503, "application/json", `{"attempt":"a1"}`, false},
		"proxy's page":     {503, "text/html", `{"attempt":"a1","not_started":true}`, false},
		"redirect":         {307, "text/plain", "", false},
		"no stream":        {200, "application/json", `{}`, false},
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
				var proven *engine.NotStartedError
				var open *engine.InterruptedError
				assert.Equal(t, errors.As(err, &proven), tc.proven, "%v", err)
				assert.Equal(t, errors.As(err, &open), !tc.proven, "%v", err)
			}
		})
	}
}

// An endpoint accepts connections and then says nothing. The instance must
// notice by itself and must not claim that nothing ran.
func TestHangingEndpointIsNoticed(t *testing.T) {
	release := make(chan struct{})
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	t.Cleanup(func() { close(release) })
	c := engine.NewHTTPClient(engine.Options{ResponseTimeout: 20 * time.Millisecond})
	_, err := c.Generate(context.Background(), at, request("a1", "p", 1))
	var open *engine.InterruptedError
	var silent *engine.ReadTimeoutError
	assert.Assert(t, errors.As(err, &open), "%v", err)
	assert.Assert(t, errors.As(err, &silent), "%v", err)
}

// An endpoint stops in the middle of a stream without closing it. Its
// heartbeats stop too, which tells it from one that computes a long prompt.
func TestStreamThatFallsSilentIsNoticed(t *testing.T) {
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
	var silent *engine.ReadTimeoutError
	assert.Assert(t, errors.As(err, &silent), "%v", err)
	var unconfirmed *engine.CancelUnconfirmedError
	assert.Assert(t, errors.As(s.Close(), &unconfirmed))
}

// rawEndpoint reads each request to its end, counts it, and then closes the
// connection without an answer. The first one is answered when asked, so that
// its connection goes into a pool.
func rawEndpoint(t *testing.T, firstAnswer string) (netip.AddrPort, *atomic.Int64) {
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
			go serveRaw(c, &bodies, firstAnswer)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), &bodies
}

func serveRaw(c net.Conn, bodies *atomic.Int64, firstAnswer string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if bodies.Add(1) > 1 || firstAnswer == "" {
			return
		}
		_, _ = io.WriteString(c, firstAnswer)
	}
}

// A publish call is read by the service, which dies before it answers. net/http
// repeats requests that carry an idempotency key when the connection was
// reused, which would publish twice without anybody noticing.
func TestLostAnswerIsNotRepeatedSilently(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Boot: b\r\nContent-Length: 2\r\n\r\nok"
	at, bodies := rawEndpoint(t, ok)
	c := engine.NewHTTPClient(engine.Options{})
	req := engine.CallRequest{Attempt: "a1", Path: "/v1/call/publish", IdempotencyKey: "k", Body: []byte("note")}
	first, err := c.Call(context.Background(), at, req)
	assert.NilError(t, err)
	assert.Equal(t, string(first.Body), "ok")

	_, err = c.Call(context.Background(), at, req)
	var open *engine.InterruptedError
	assert.Assert(t, errors.As(err, &open), "%v", err)
	assert.Equal(t, bodies.Load(), int64(2))
}

// The same on the pooled connections of streams: the connection is reused and
// breaks after the request left.
func TestLostStreamIsNotRepeatedSilently(t *testing.T) {
	body := accepted + event("done", `{"attempt":"a1","tokens":0}`)
	ok := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	at, bodies := rawEndpoint(t, ok)
	c := engine.NewHTTPClient(engine.Options{})
	s, err := c.Generate(context.Background(), at, request("a1", "p", 1))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, s), "")
	assert.NilError(t, s.Close())

	_, err = c.Generate(context.Background(), at, request("a1", "p", 1))
	var open *engine.InterruptedError
	assert.Assert(t, errors.As(err, &open), "%v", err)
	assert.Equal(t, bodies.Load(), int64(2))
}

// A zone is cut off without resets while several connections into it are idle.
// The first attempt waits in vain on one of them. The next one must not wait on
// another, but open a connection, which fails sooner and proves that nothing
// ran.
func TestSilentEndpointGetsAFreshConnection(t *testing.T) {
	var opened atomic.Int64
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
			opened.Add(1)
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
	assert.Equal(t, opened.Load(), int64(2))

	hanging.Store(true)
	for range 2 {
		_, err := c.Generate(t.Context(), at, request("a1", "p", 1))
		var silent *engine.ReadTimeoutError
		assert.Assert(t, errors.As(err, &silent), "%v", err)
	}
	assert.Equal(t, opened.Load(), int64(3))
}

// A service sends an answer without end. The instance gives up at its limit
// instead of running out of memory.
func TestEndlessAnswerIsBounded(t *testing.T) {
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
	var open *engine.InterruptedError
	assert.Assert(t, errors.As(err, &open))
}
