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

// An endpoint responds that it did not run a request. The proxy must retry it, so that the
// client does not have to.
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

// All endpoints decline a request. The client must be told that the request did not run and
// when to retry, so that it can retry without the risk of a second execution.
func TestDeclinedByAllEndpointsIsReportedAsNotRun(t *testing.T) {
	h := newHarness(t, decline, decline)
	resp := h.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, resp.Header.Get("X-Signature"), "")
}

// An endpoint closes the connection after it has read a request that must not run twice.
// Whether the request ran is unknown. If it were retried, or reported as not run, a licence
// could be issued twice.
func TestNonIdempotentRequestIsNotRetriedAfterBrokenConnection(t *testing.T) {
	h := newHarness(t, abortConnection, abortConnection)
	resp := h.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, resp.Header.Get("Retry-After"), "")
	assert.Equal(t, h.deliveredCount(), 1)
}

// As above, with a GET request. net/http retries GET requests itself when a reused
// connection breaks. Whether a request may be retried depends on its route and not on its
// method.
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

// An endpoint responds with a server error, and the connection breaks in the retry. The
// client must receive the endpoint's response and not an error of the instance.
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

// An endpoint closes the connection in the middle of an event of a resumable stream. The
// client must receive one stream that contains each event once and in order.
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

// As above, for a stream that is not resumable. The response must not end normally, or the
// client would take the truncated stream for a complete one.
func TestBrokenStreamIsNotTerminatedNormally(t *testing.T) {
	h := newHarness(t, streamEvents(2, 5), streamEvents(2, 5))
	resp := h.send(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "100,10")
	body, err := io.ReadAll(resp.Body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Equal(t, string(body), "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n")
	assert.Equal(t, h.deliveredCount(), 1)
}

// An endpoint pauses for longer than the timeout between two events, and the request has no
// attempts left. If the proxy aborted the stream, the client would lose a response that is
// merely slow.
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

// A faulty endpoint responds with a success without the signature header. If it were
// relayed, the client would accept a response that the endpoint's application has not
// produced.
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

// An API key is revoked, and an older configuration that contains it arrives late. The key
// must stay revoked.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	h.configure(t, 5, func(c *routes.Configuration) { c.Organisations[0].Keys = nil })
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 401)
	h.configure(t, 4, nil)
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 401)
}

// Guards against instances that let everybody in once the last organisation is removed, and against a
// rejection of its callers once it is declared again.
func TestRemovedLastOrganisationClosesRoutes(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	h.configure(t, 5, func(c *routes.Configuration) { c.Organisations, c.KeysRequired = nil, true })
	for _, authorization := range []string{"Bearer key", "Bearer other", "Bearer", ""} {
		assert.Equal(t, h.send(t, "POST", "/once/x", "", "Authorization", authorization).StatusCode, 401)
		assert.Equal(t, h.send(t, "POST", "/resume/x", "", "Authorization", authorization, "Last-Event-Id", "1").StatusCode, 401)
		assert.Equal(t, h.send(t, "GET", "/public/x", "", "Authorization", authorization).StatusCode, 200)
	}
	assert.Equal(t, h.deliveredCount(), 4)
	h.configure(t, 6, nil)
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 200)
	h.configure(t, 7, func(c *routes.Configuration) { c.Organisations = nil })
	assert.Equal(t, h.send(t, "GET", "/read/x", "", "Authorization", "").StatusCode, 200)
}

// Guards against an empty key that an organisation declares and every request without a key has.
func TestEmptyKeyLetsNobodyIn(t *testing.T) {
	h := newHarness(t, respond(200, ""))
	h.configure(t, 5, func(c *routes.Configuration) { c.Organisations[0].Keys = []string{""} })
	for _, authorization := range []string{"Bearer", "Bearer ", ""} {
		assert.Equal(t, h.send(t, "GET", "/read/x", "", "Authorization", authorization).StatusCode, 401)
	}
	assert.Equal(t, h.deliveredCount(), 0)
}

// Prompts that were cached for an isolated organisation, or by another version of the
// weights, must not be reused for other requests. A client must not be able to set the
// salt.
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

// A client disconnects before the response. If the endpoint continued, it would use
// capacity for a response that nobody receives.
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

// No endpoint responds before the client's deadline. The proxy must respond at the
// deadline, and say that the request may have run.
func TestDeadlineEndsRequest(t *testing.T) {
	h := newHarness(t, func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	resp := h.send(t, "POST", "/once/x", "", "X-Deadline", "300")
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
}

// An instance has just started and has no configuration. If it responded with 401 or 404,
// the client would not retry.
func TestUninitializedInstanceIsUnavailable(t *testing.T) {
	s := New(Options{Headers: headerNames, Now: func() time.Duration { return 0 }})
	assert.Equal(t, s.Ready(), false)
	w := newRecorder()
	s.ServeHTTP(w, newRequest(t))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
}

// An instance drains while a request is in progress. That request must complete. Later
// requests must be rejected with 503, and their connections closed so that retries reach
// another instance.
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
	for h.server.Ready() || h.server.gate.State().AcceptsRequests() {
		time.Sleep(time.Millisecond)
	}
	late := h.send(t, "POST", "/once/y", "")
	assert.Equal(t, late.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, late.Close)
	close(finish)
	assert.Equal(t, <-body, "done")
	assert.NilError(t, <-drainErr)
}
