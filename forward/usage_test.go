package forward

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/usage"
)

// ledger is a usage limiter that admits while something is left.
type fakeRateLimiter struct {
	mu     sync.Mutex
	budget int64
	costs  []int64
}

func (limiter *fakeRateLimiter) Admit(_ context.Context, _ usage.Subject, _ usage.Limit, cost int64) usage.Decision {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.costs = append(limiter.costs, cost)
	if limiter.budget < cost {
		return usage.Decision{RetryAfter: 2 * time.Second, Basis: usage.ByOwner}
	}
	limiter.budget -= cost
	return usage.Decision{Admitted: true, Basis: usage.ByOwner}
}

func (limiter *fakeRateLimiter) Charge(_ usage.Subject, _ usage.Limit, amount int64) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.budget -= amount
}

func (limiter *fakeRateLimiter) remaining() int64 {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.budget
}

// awaitLeft waits until so much is left: a request settles after its answer.
func (limiter *fakeRateLimiter) awaitRemaining(t *testing.T, want int64) {
	t.Helper()
	for range 500 {
		if limiter.remaining() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d left, not %d", limiter.remaining(), want)
}

// limited gives the rig's organisation a rate limit in tokens.
func (h *harness) setTokenLimit(t *testing.T, budget int64) *fakeRateLimiter {
	t.Helper()
	limiter := &fakeRateLimiter{budget: budget}
	h.server.options.RateLimiter = limiter
	h.configure(t, initialRevision+1, func(c *routes.Configuration) {
		c.Organisations[0].UsageLimit = routes.RateLimit{Rate: 1000, Burst: 1000, Unit: routes.UsageInTokens, DefaultTokens: 200}
	})
	return limiter
}

// Guards against work beyond an organisation's limit running, and against its callers being
// told nothing of when to come back.
func TestRequestBeyondRateLimitIsNotForwarded(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	limiter := h.setTokenLimit(t, 250)
	assert.Equal(t, readBody(t, h.send(t, "GET", "/read/x", "")), "ok")
	rejected := h.send(t, "GET", "/read/x", "")
	assert.Equal(t, rejected.StatusCode, 429)
	retryAfter, err := strconv.ParseFloat(rejected.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, retryAfter >= 2 && retryAfter <= 2*(1+retryAfterJitter), "%v", retryAfter)
	assert.Equal(t, h.deliveredCount(), 1)
	limiter.awaitRemaining(t, 50)
	assert.Equal(t, h.send(t, "GET", "/read/x", "", "Authorization", "Bearer secret").StatusCode, 200)
}

// Guards against generations counting as plain requests.
func TestGenerationCostsDeclaredTokens(t *testing.T) {
	h := newHarness(t, streamEvents(3, 3))
	limiter := h.setTokenLimit(t, 10_000)
	readBody(t, h.send(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "900,50"))
	readBody(t, h.send(t, "POST", "/stream/x", "", "X-Model", "m"))
	assert.DeepEqual(t, limiter.costs, []int64{950, 200})
	limiter.awaitRemaining(t, 10_000-950-200)
}

// Guards against requests that ran nowhere using the limit up.
func TestReservationOfDeclinedRequestIsRefunded(t *testing.T) {
	h := newHarness(t, decline)
	limiter := h.setTokenLimit(t, 1000)
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 503)
	limiter.awaitRemaining(t, 1000)
}

// Guards against runs beyond the first that count nowhere: each is work for the
// organisation.
func TestEachAttemptIsCharged(t *testing.T) {
	h := newHarness(t, abortConnection, abortConnection)
	limiter := h.setTokenLimit(t, 1000)
	readBody(t, h.send(t, "GET", "/read/x", ""))
	assert.Equal(t, h.deliveredCount(), 2)
	limiter.awaitRemaining(t, 600)
}
