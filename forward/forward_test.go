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

func TestARequestPassesUnchanged(t *testing.T) {
	r := newRig(t, says(200, "done"))
	resp := r.ask(t, "POST", "/once/x?y=1", "body", "X-Other", "kept", "X-Organisation", "forged", "X-Hold", "forged")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Header.Get("X-Signature"), "s")
	assert.Equal(t, text(t, resp), "done")
	got := r.standins[0].requests()[0]
	assert.Equal(t, got.RequestURI, "/once/x?y=1")
	assert.Equal(t, got.Header.Get("X-Other"), "kept")
	assert.Equal(t, got.Header.Get("X-Organisation"), "org")
	assert.Equal(t, got.Header.Get("X-Hold"), "")
	assert.Equal(t, got.Header.Get("Authorization"), "")
	assert.Equal(t, got.Header.Get("X-Endpoint"), "e0desk")
	assert.Assert(t, got.Header.Get("X-Deadline") != "")
}

// An endpoint answers that it did not run a request. The caller must not have
// to send it again: another endpoint is a moment away.
func TestADeclinedRequestGoesElsewhere(t *testing.T) {
	served := 0
	first := func(w http.ResponseWriter, r *http.Request) {
		served++
		if served == 1 {
			declines(w, r)
			return
		}
		says(200, "done")(w, r)
	}
	r := newRig(t, first, first)
	resp := r.ask(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, r.sent(), 2)
}

// Every endpoint declines. The caller is told that the work did not run, and
// when to come back; it may then send it again without fear of a second run.
func TestARefusalThatSaysNotRunIsTrue(t *testing.T) {
	r := newRig(t, declines, declines)
	resp := r.ask(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, resp.Header.Get("X-Signature"), "")
}

// An endpoint breaks the connection after it has read work that must run once.
// Whether it ran is unknown. Sent elsewhere, or reported as not run, a licence
// would be issued twice.
func TestWorkThatMayHaveRunIsNotRepeated(t *testing.T) {
	r := newRig(t, breaks, breaks)
	resp := r.ask(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, resp.Header.Get("Retry-After"), "")
	assert.Equal(t, r.sent(), 1)
}

// The same with a GET: net/http repeats those on its own when a kept connection
// breaks. What may be repeated follows from the route and not from the method.
func TestTheRouteDecidesAndNotTheMethod(t *testing.T) {
	calls := 0
	script := func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			says(200, "warm")(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	}
	r := newRig(t, script)
	assert.Equal(t, r.ask(t, "GET", "/once/x", "").StatusCode, 200)
	assert.Equal(t, r.ask(t, "GET", "/once/y", "").StatusCode, http.StatusBadGateway)
	assert.Equal(t, r.sent(), 2)
}

func TestIdempotentWorkIsRepeatedWithinItsAttempts(t *testing.T) {
	r := newRig(t, breaks, breaks, breaks)
	resp := r.ask(t, "GET", "/read/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, r.sent(), 2)
}

// An endpoint answers that its work failed, and the next one breaks. The caller
// gets the answer that there is, not a failure of the instance in its place.
func TestAnEndpointsFailureIsDeliveredIfNobodyDoesBetter(t *testing.T) {
	calls := 0
	script := func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			says(500, "failed")(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	}
	r := newRig(t, script, script)
	resp := r.ask(t, "GET", "/read/x", "")
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, resp.Header.Get("X-Signature"), "s")
	assert.Equal(t, text(t, resp), "failed")
	assert.Equal(t, r.sent(), 2)
}

// An endpoint breaks off in the middle of an event of a stream that may be
// resumed. The caller reads one stream, with each event once and in order.
func TestAStreamGoesOnElsewhere(t *testing.T) {
	calls := 0
	script := func(w http.ResponseWriter, r *http.Request) {
		calls++
		if calls == 1 {
			streams(2, 5)(w, r)
			return
		}
		streams(5, 5)(w, r)
	}
	r := newRig(t, script, script)
	resp := r.ask(t, "POST", "/resume/x", "", "X-Model", "m", "X-Tokens", "100,10", "X-Prefix", "a:50,b:50")
	want := ""
	for i := range 5 {
		want += fmt.Sprintf("id: %d\ndata: t%d\n\n", i+1, i+1)
	}
	assert.Equal(t, text(t, resp), want)
	assert.Equal(t, resp.Header.Get("X-Signature"), "s0")
}

// The same where a stream must not be resumed. What the caller has got must not
// look complete, or it takes half an answer for a whole one.
func TestACutStreamDoesNotLookComplete(t *testing.T) {
	r := newRig(t, streams(2, 5), streams(2, 5))
	resp := r.ask(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "100,10")
	body, err := io.ReadAll(resp.Body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Equal(t, string(body), "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n")
	assert.Equal(t, r.sent(), 1)
}

// An endpoint is silent for longer than callers are content with, and the stream
// has no attempt left. Cut off, the caller would lose an answer that still comes.
func TestSilenceAloneEndsNoStream(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("X-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(150 * time.Millisecond)
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	})
	r.configure(t, configured+1, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].MaxAttempts = 1
			c.Routes[i].TargetEventGap = 10 * time.Millisecond
		}
	})
	resp := r.ask(t, "POST", "/resume/x", "", "X-Model", "m", "X-Tokens", "100,10")
	assert.Equal(t, text(t, resp), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// A faulty endpoint answers with a success that lacks the signature. Passed on, the
// caller would take for an answer what no work has made.
func TestASuccessWithoutASignatureIsNoAnswer(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "junk") })
	resp := r.ask(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Assert(t, !strings.Contains(text(t, resp), "junk"))
}

func TestKeysAndRoutes(t *testing.T) {
	r := newRig(t, says(200, ""))
	assert.Equal(t, r.ask(t, "GET", "/read/x", "", "Authorization", "Bearer other").StatusCode, 401)
	assert.Equal(t, r.ask(t, "GET", "/nowhere/x", "").StatusCode, 404)
	assert.Equal(t, r.ask(t, "POST", "/once/x", strings.Repeat("x", 1001)).StatusCode, 413)
	assert.Equal(t, r.sent(), 0)
	assert.Equal(t, r.ask(t, "GET", "/public/x", "", "Authorization", "").StatusCode, 200)
}

// A key is taken away while its caller is connected, and an older configuration
// arrives late. The key must not work again.
func TestAnOlderConfigurationChangesNothing(t *testing.T) {
	r := newRig(t, says(200, ""))
	r.configure(t, 5, func(c *routes.Configuration) { c.Organisations[0].Keys = nil })
	assert.Equal(t, r.ask(t, "GET", "/read/x", "").StatusCode, 401)
	r.configure(t, 4, nil)
	assert.Equal(t, r.ask(t, "GET", "/read/x", "").StatusCode, 401)
}

// Prompts made under one organisation's wall or one weights version must not be
// found by another's requests.
func TestCachesAreKeptApart(t *testing.T) {
	r := newRig(t, streams(1, 1))
	generation := []string{"X-Model", "m", "X-Tokens", "100,10", "X-Prefix", "a:50,b:50", "X-Salt", "forged"}
	salts := map[string]bool{}
	for _, key := range []string{"key", "secret"} {
		resp := r.ask(t, "POST", "/stream/x", "", append(generation, "Authorization", "Bearer "+key)...)
		_ = text(t, resp)
	}
	for _, request := range r.standins[0].requests() {
		salts[request.Header.Get("X-Salt")] = true
		assert.Equal(t, request.Header.Get("X-Expect-Weights"), "3")
	}
	assert.Equal(t, len(salts), 2)
	assert.Assert(t, !salts["forged"])
}

// A caller leaves before its answer. An endpoint that goes on works for nobody
// while others wait.
func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(_ http.ResponseWriter, request *http.Request) {
		close(began)
		<-request.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", r.url+"/read/x", nil)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer key")
	go func() {
		<-began
		leave()
	}()
	_, err = http.DefaultClient.Do(request)
	assert.Assert(t, err != nil)
	<-ended
}

// No endpoint answers before the caller's time is over. The answer comes then
// and says that the work may have run.
func TestTheDeadlineEndsARequest(t *testing.T) {
	r := newRig(t, func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	resp := r.ask(t, "POST", "/once/x", "", "X-Deadline", "300")
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
}

// An instance has just started and knows nothing. Told that its key is wrong or
// its path does not exist, a caller would not come back.
func TestAnInstanceThatKnowsNothingSaysSo(t *testing.T) {
	s := New(Options{Headers: names, Now: func() time.Duration { return 0 }})
	assert.Equal(t, s.Ready(), false)
	w := newRecorder()
	s.ServeHTTP(w, mustRequest(t))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
}

// An instance is stopped while a request runs. The caller gets its answer, later
// ones are told to go elsewhere, and the connection is not used again.
func TestDrainCutsNothing(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, request *http.Request) {
		close(began)
		<-finish
		says(200, "done")(w, request)
	})
	answered := make(chan string, 1)
	go func() {
		resp := r.ask(t, "POST", "/once/x", "")
		answered <- text(t, resp)
	}()
	<-began
	drained := make(chan error, 1)
	go func() { drained <- r.server.Drain(t.Context()) }()
	for r.server.Ready() || r.server.gate.State().Admits() {
		time.Sleep(time.Millisecond)
	}
	late := r.ask(t, "POST", "/once/y", "")
	assert.Equal(t, late.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, late.Close)
	close(finish)
	assert.Equal(t, <-answered, "done")
	assert.NilError(t, <-drained)
}
