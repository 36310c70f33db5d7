package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// pushBack returns a handler that rejects requests and requests a back-off.
func pushBack(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", retryAfter)
		decline(w, r)
	}
}

// whileSet returns a handler that responds with a success until the flag is set, and then as
// handler does.
func whileSet(flag *atomic.Bool, handler http.HandlerFunc) http.HandlerFunc {
	ok := respond(200, "ok")
	return func(w http.ResponseWriter, r *http.Request) {
		if flag.Load() {
			handler(w, r)
			return
		}
		ok(w, r)
	}
}

// announceDraining returns a handler that responds with a success and announces that the
// endpoint is draining.
func announceDraining() http.HandlerFunc {
	ok := respond(200, "ok")
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Draining", "1")
		ok(w, r)
	}
}

// arrivalTimes sends requests through all instances in turn, one each step, and returns when
// they arrived at an endpoint, for each instance.
func (c *cluster) arrivalTimes(t *testing.T, endpoint *fakeEndpoint, d, step time.Duration) [][]tables.Instant {
	t.Helper()
	arrivals := make([][]tables.Instant, len(c.instances))
	for start := c.now(); c.now() < start+d; c.advance(step) {
		for i := range c.instances {
			before := len(endpoint.requests())
			assert.Equal(t, c.send(t), 200)
			for range len(endpoint.requests()) - before {
				arrivals[i] = append(arrivals[i], c.now())
			}
		}
	}
	return arrivals
}

// sendUntilDelivered sends requests, all of which must succeed, until the endpoint gets one.
func (c *cluster) sendUntilDelivered(t *testing.T, endpoint *fakeEndpoint) {
	t.Helper()
	before := len(endpoint.requests())
	for range 50 {
		assert.Equal(t, c.send(t), 200)
		if len(endpoint.requests()) > before {
			return
		}
	}
	t.Fatalf("no request has reached %s", endpoint.id)
}

// countBetween returns how many times lie after from and before to.
func countBetween(times []tables.Instant, from, to tables.Instant) int {
	count := 0
	for _, at := range times {
		if at > from && at < to {
			count++
		}
	}
	return count
}

// Guards against requests to an endpoint that has answered 503 and requested a back-off.
func TestEndpointThatPushesBackGetsNoRequestsMeanwhile(t *testing.T) {
	const (
		pause   = 3 * time.Second
		transit = 500 * time.Millisecond
		allowed = 2
	)
	var overloaded atomic.Bool
	c := newCluster(t, 3, whileSet(&overloaded, pushBack("3")), respond(200, "ok"))
	c.arrivalTimes(t, c.endpoints.all[0], time.Second, 50*time.Millisecond)
	overloaded.Store(true)
	for i, times := range c.arrivalTimes(t, c.endpoints.all[0], 9*time.Second, 50*time.Millisecond) {
		for _, at := range times {
			count := countBetween(times, at+transit, at+pause)
			assert.Assert(t, count <= allowed, "instance %d sent %d requests in the pause that begins at %v", i, count, at)
		}
	}
}

// Guards against requests that wait, or that go to endpoints, while every endpoint has
// requested a back-off, and against clients that retry too early because of a wrong
// Retry-After.
func TestRequestIsRejectedAtOnceWhileAllEndpointsPushBack(t *testing.T) {
	var overloaded atomic.Bool
	overloaded.Store(true)
	c := newCluster(t, 1, whileSet(&overloaded, pushBack("3")), whileSet(&overloaded, pushBack("2.5")))
	for left := 2500 * time.Millisecond; left > 0; left -= 500 * time.Millisecond {
		resp := c.instances[0].send(t, "POST", "/once/x", "")
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= left.Seconds() && seconds < left.Seconds()+1, "%v s to go, Retry-After %v", left, seconds)
		c.advance(500 * time.Millisecond)
	}
	assert.Equal(t, c.instances[0].deliveredCount(), 2)
	overloaded.Store(false)
	c.advance(time.Second)
	assert.Equal(t, c.send(t), 200)
}

// Guards against a pushback of less than a second that is rounded away.
func TestPushbackMayHaveAFraction(t *testing.T) {
	c := newCluster(t, 1, pushBack("0.4"))
	for range 4 {
		assert.Equal(t, c.send(t), http.StatusServiceUnavailable)
		c.advance(100 * time.Millisecond)
	}
	assert.Equal(t, c.instances[0].deliveredCount(), 1)
	c.advance(100 * time.Millisecond)
	c.send(t)
	assert.Equal(t, c.instances[0].deliveredCount(), 2)
}

// Guards against a malformed or absurd Retry-After that takes an endpoint out of service,
// or that is not logged.
func TestUnusableRetryAfterIsLogged(t *testing.T) {
	for _, value := range []string{"-1", "soon", "NaN", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT", strings.Repeat("9", 1000) + "x", "1e12"} {
		var overloaded atomic.Bool
		c := newCluster(t, 1, whileSet(&overloaded, pushBack(value)), respond(200, "ok"))
		c.arrivalTimes(t, c.endpoints.all[0], time.Second, 50*time.Millisecond)
		overloaded.Store(true)
		core, logged := observer.New(zapcore.WarnLevel)
		c.instances[0].server.log = zap.New(core)
		c.sendUntilDelivered(t, c.endpoints.all[0])
		lines := logged.FilterField(zap.Uint16("event", uint16(events.HeaderUnusable.Number))).All()
		assert.Equal(t, len(lines), 1, value)
		overloaded.Store(false)
		c.advance(time.Hour)
		c.sendUntilDelivered(t, c.endpoints.all[0])
	}
}

// Guards against a stream that is resumed at an endpoint which has requested a back-off.
func TestStreamIsNotResumedWhereItWasPushedBack(t *testing.T) {
	pushed, breaking := atomic.Int32{}, atomic.Int32{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch {
		case pushed.Add(1) == 1:
			pushBack("60")(w, r)
		case breaking.Add(1) == 1:
			streamEvents(2, 5)(w, r)
		default:
			streamEvents(5, 5)(w, r)
		}
	}
	h := newHarness(t, handler, handler, handler)
	resp := h.send(t, "POST", "/resume/x", "", "X-Model", "m", "X-Tokens", "100,10", "X-Prefix", "a:50,b:50")
	assert.Assert(t, strings.HasSuffix(readBody(t, resp), "id: 5\ndata: t5\n\n"))
	for _, endpoint := range h.endpoints {
		assert.Equal(t, len(endpoint.requests()), 1, endpoint.id)
	}
}

// Guards against requests to an endpoint that has announced in a response that it is
// draining, while the platform's list does not show it yet.
func TestEndpointThatAnnouncesDrainingGetsNoRequests(t *testing.T) {
	const drainTime = 3 * time.Second
	c := newCluster(t, 3, announceDraining(), respond(200, "ok"))
	for i, times := range c.arrivalTimes(t, c.endpoints.all[0], 8*time.Second, 100*time.Millisecond) {
		if len(times) == 0 {
			continue
		}
		count := countBetween(times, times[0]+drainTime, c.now())
		assert.Equal(t, count, 0, "instance %d", i)
	}
}

// pushBackWhileDeciding is a rate limiter that admits everything. The subject's endpoint pushes
// the instance back while the limiter decides.
type pushBackWhileDeciding struct{ server *Server }

func (l pushBackWhileDeciding) Admit(_ context.Context, subject usage.Subject, _ usage.Limit, _ int64) usage.Decision {
	for id := range l.server.Endpoints() {
		if usage.EndpointSubject(id) == subject {
			l.server.RecordCallPushback(id, time.Minute)
		}
	}
	return usage.Decision{Admitted: true}
}

func (pushBackWhileDeciding) Charge(usage.Subject, usage.Limit, int64) {}

// Guards against a request to an endpoint that pushes back while the request waits for the
// endpoint's rate limit.
func TestAttemptThatWaitedForARateLimitIsNotSentAfterAPushback(t *testing.T) {
	limited := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Rate-Limit", "100")
		respond(200, "ok")(w, r)
	}
	c := newCluster(t, 1, limited, respond(200, "ok"))
	c.sendUntilDelivered(t, c.endpoints.all[0])
	server := c.instances[0].server
	server.options.RateLimiter = pushBackWhileDeciding{server: server}
	before := len(c.endpoints.all[0].requests())
	for range 20 {
		c.advance(50 * time.Millisecond)
		assert.Equal(t, c.send(t), 200)
	}
	assert.Equal(t, len(c.endpoints.all[0].requests()), before)
}
