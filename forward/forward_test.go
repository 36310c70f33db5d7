package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t, respond(200, "done"))
	resp := h.send(t, "POST", "/once/x?y=1", "body", "X-Other", "kept", "X-Organisation", "forged", "X-Hold", "forged")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Header.Get("X-Signature"), "s")
	assert.Equal(t, readBody(t, resp), "done")
	received := h.endpoints[0].requests()[0]
	assert.Equal(t, received.RequestURI, "/once/x?y=1")
	assert.Equal(t, received.Header.Get("X-Other"), "kept")
	assert.Equal(t, received.Header.Get("X-Organisation"), "org")
	assert.Equal(t, received.Header.Get("X-Hold"), "")
	assert.Equal(t, received.Header.Get("Authorization"), "")
	assert.Equal(t, received.Header.Get("X-Endpoint"), "e0desk")
	assert.Assert(t, received.Header.Get("X-Deadline") != "")
}

// An endpoint answers that it did not run a request. The caller must not have
// to send it again: another endpoint is a moment away.
func TestDeclinedRequestIsRetried(t *testing.T) {
	served := 0
	first := func(w http.ResponseWriter, r *http.Request) {
		served++
		if served == 1 {
			decline(w, r)
			return
		}
		respond(200, "done")(w, r)
	}
	h := newHarness(t, first, first)
	resp := h.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, h.deliveredCount(), 2)
}

// Every endpoint declines. The caller is told that the work did not run, and
// when to come back; it may then send it again without fear of a second run.
func TestDeclinedByAllEndpointsIsReportedAsNotRun(t *testing.T) {
	h := newHarness(t, decline, decline)
	resp := h.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, resp.Header.Get("X-Signature"), "")
}

// An endpoint breaks the connection after it has read work that must run once.
// Whether it ran is unknown. Sent elsewhere, or reported as not run, a licence
// would be issued twice.
func TestNonIdempotentRequestIsNotRetriedAfterBrokenConnection(t *testing.T) {
	h := newHarness(t, abortConnection, abortConnection)
	resp := h.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, resp.Header.Get("Retry-After"), "")
	assert.Equal(t, h.deliveredCount(), 1)
}

// The same with a GET: net/http repeats those on its own when a kept connection
// breaks. What may be repeated follows from the route and not from the method.
func TestRetryDependsOnRouteNotMethod(t *testing.T) {
	calls := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			respond(200, "warm")(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	}
	h := newHarness(t, handler)
	assert.Equal(t, h.send(t, "GET", "/once/x", "").StatusCode, 200)
	assert.Equal(t, h.send(t, "GET", "/once/y", "").StatusCode, http.StatusBadGateway)
	assert.Equal(t, h.deliveredCount(), 2)
}

func TestIdempotentRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	h := newHarness(t, abortConnection, abortConnection, abortConnection)
	resp := h.send(t, "GET", "/read/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, h.deliveredCount(), 2)
}

// An endpoint answers that its work failed, and the next one breaks. The caller
// gets the answer that there is, not a failure of the instance in its place.
func TestServerErrorIsReturnedIfRetryFails(t *testing.T) {
	calls := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			respond(500, "failed")(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	}
	h := newHarness(t, handler, handler)
	resp := h.send(t, "GET", "/read/x", "")
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, resp.Header.Get("X-Signature"), "s")
	assert.Equal(t, readBody(t, resp), "failed")
	assert.Equal(t, h.deliveredCount(), 2)
}

// An endpoint breaks off in the middle of an event of a stream that may be
// resumed. The caller reads one stream, with each event once and in order.
func TestStreamIsResumedAtAnotherEndpoint(t *testing.T) {
	calls := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			streamEvents(2, 5)(w, r)
			return
		}
		streamEvents(5, 5)(w, r)
	}
	h := newHarness(t, handler, handler)
	resp := h.send(t, "POST", "/resume/x", "", "X-Model", "m", "X-Tokens", "100,10", "X-Prefix", "a:50,b:50")
	want := ""
	for i := range 5 {
		want += fmt.Sprintf("id: %d\ndata: t%d\n\n", i+1, i+1)
	}
	assert.Equal(t, readBody(t, resp), want)
	assert.Equal(t, resp.Header.Get("X-Signature"), "s0")
}

// The same where a stream must not be resumed. What the caller has got must not
// look complete, or it takes half an answer for a whole one.
func TestBrokenStreamIsNotTerminatedNormally(t *testing.T) {
	h := newHarness(t, streamEvents(2, 5), streamEvents(2, 5))
	resp := h.send(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "100,10")
	body, err := io.ReadAll(resp.Body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Equal(t, string(body), "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n")
	assert.Equal(t, h.deliveredCount(), 1)
}

// An endpoint is silent for longer than callers are content with, and the stream
// has no attempt left. Cut off, the caller would lose an answer that still comes.
func TestSlowStreamWithoutAttemptsLeftIsNotAborted(t *testing.T) {
	h := newHarness(t, func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("X-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(150 * time.Millisecond)
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	})
	h.configure(t, initialRevision+1, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].MaxAttempts = 1
			c.Routes[i].TargetEventGap = 10 * time.Millisecond
		}
	})
	resp := h.send(t, "POST", "/resume/x", "", "X-Model", "m", "X-Tokens", "100,10")
	assert.Equal(t, readBody(t, resp), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// A faulty endpoint answers with a success that lacks the signature. Passed on, the
// caller would take for an answer what no work has made.
func TestSuccessWithoutSignatureIsRejected(t *testing.T) {
	h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "junk") })
	resp := h.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(readBody(t, resp), "junk"))
}

func TestAuthenticationRoutingAndBodyLimit(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	assert.Equal(t, h.send(t, "GET", "/read/x", "", "Authorization", "Bearer other").StatusCode, 401)
	assert.Equal(t, h.send(t, "GET", "/nowhere/x", "").StatusCode, 404)
	assert.Equal(t, h.send(t, "POST", "/once/x", strings.Repeat("x", 1001)).StatusCode, 413)
	assert.Equal(t, h.deliveredCount(), 0)
	assert.Equal(t, h.send(t, "GET", "/public/x", "", "Authorization", "").StatusCode, 200)
}

// A key is taken away while its caller is connected, and an older configuration
// arrives late. The key must not work again.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	h.configure(t, 5, func(c *routes.Configuration) { c.Organisations[0].Keys = nil })
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 401)
	h.configure(t, 4, nil)
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 401)
}

// Prompts made under one organisation's wall or one weights version must not be
// found by another's requests.
func TestCacheSaltsIsolateOrganisations(t *testing.T) {
	h := newHarness(t, streamEvents(1, 1))
	generation := []string{"X-Model", "m", "X-Tokens", "100,10", "X-Prefix", "a:50,b:50", "X-Salt", "forged"}
	salts := map[string]bool{}
	for _, key := range []string{"key", "secret"} {
		resp := h.send(t, "POST", "/stream/x", "", append(generation, "Authorization", "Bearer "+key)...)
		_ = readBody(t, resp)
	}
	for _, request := range h.endpoints[0].requests() {
		salts[request.Header.Get("X-Salt")] = true
		assert.Equal(t, request.Header.Get("X-Expect-Weights"), "3")
	}
	assert.Equal(t, len(salts), 2)
	assert.Assert(t, !salts["forged"])
}

// A caller leaves before its answer. An endpoint that goes on works for nobody
// while others wait.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, request *http.Request) {
		close(started)
		<-request.Context().Done()
		close(cancelled)
	})
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", h.url+"/read/x", nil)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer key")
	go func() {
		<-started
		disconnect()
	}()
	_, err = http.DefaultClient.Do(request)
	assert.Assert(t, err != nil)
	<-cancelled
}

// No endpoint answers before the caller's time is over. The answer comes then
// and says that the work may have run.
func TestDeadlineEndsRequest(t *testing.T) {
	h := newHarness(t, func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	resp := h.send(t, "POST", "/once/x", "", "X-Deadline", "300")
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
}

// An instance has just started and knows nothing. Told that its key is wrong or
// its path does not exist, a caller would not come back.
func TestUninitializedInstanceIsUnavailable(t *testing.T) {
	s := New(Options{Headers: headerNames, Now: func() time.Duration { return 0 }})
	assert.Equal(t, s.Ready(), false)
	w := newRecorder()
	s.ServeHTTP(w, newRequest(t))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
}

// An instance is stopped while a request runs. The caller gets its answer, later
// ones are told to go elsewhere, and the connection is not used again.
func TestDrainCompletesOpenRequests(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	h := newHarness(t, func(w http.ResponseWriter, request *http.Request) {
		close(started)
		<-finish
		respond(200, "done")(w, request)
	})
	body := make(chan string, 1)
	go func() {
		resp := h.send(t, "POST", "/once/x", "")
		body <- readBody(t, resp)
	}()
	<-started
	drainErr := make(chan error, 1)
	go func() { drainErr <- h.server.Drain(t.Context()) }()
	for h.server.Ready() || h.server.gate.State().Admits() {
		time.Sleep(time.Millisecond)
	}
	late := h.send(t, "POST", "/once/y", "")
	assert.Equal(t, late.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, late.Close)
	close(finish)
	assert.Equal(t, <-body, "done")
	assert.NilError(t, <-drainErr)
}
