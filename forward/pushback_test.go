package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// pushBack returns a handler that rejects requests and asks for a time without requests.
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

// Guards against requests to an endpoint that has answered 503 and asked for a time without
// requests.
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
