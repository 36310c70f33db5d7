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

// fakeRateLimiter is a RateLimiter with a fixed budget that is not refilled.
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

// awaitRemaining waits until the budget has the given value, since a request is refunded
// only after its response.
func (limiter *fakeRateLimiter) awaitRemaining(t *testing.T, want int64) {
	t.Helper()
	for range 500 {
		if limiter.remaining() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("remaining budget is %d, want %d", limiter.remaining(), want)
}

// setTokenLimit gives the harness's organisation a rate limit in tokens, with the given
// budget.
func (h *harness) setTokenLimit(t *testing.T, budget int64) *fakeRateLimiter {
	t.Helper()
	limiter := &fakeRateLimiter{budget: budget}
	h.server.options.RateLimiter = limiter
	h.configure(t, initialRevision+1, func(c *routes.Configuration) {
		c.Organisations[0].UsageLimit = routes.RateLimit{Rate: 1000, Burst: 1000, Unit: routes.UsageInTokens, DefaultTokens: 200}
	})
	return limiter
}

// Guards against requests beyond an organisation's rate limit that reach endpoints, and
// against rejections without the time until a retry.
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

// Guards against generations that are charged the fixed cost of plain requests instead of
// the tokens that they declare.
func TestGenerationCostsDeclaredTokens(t *testing.T) {
	h := newHarness(t, streamEvents(3, 3))
	limiter := h.setTokenLimit(t, 10_000)
	readBody(t, h.send(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "900,50"))
	readBody(t, h.send(t, "POST", "/stream/x", "", "X-Model", "m"))
	assert.DeepEqual(t, limiter.costs, []int64{950, 200})
	limiter.awaitRemaining(t, 10_000-950-200)
}

// Guards against requests that did not run at any endpoint but use up the rate limit.
func TestReservationOfDeclinedRequestIsRefunded(t *testing.T) {
	h := newHarness(t, decline)
	limiter := h.setTokenLimit(t, 1000)
	assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 503)
	limiter.awaitRemaining(t, 1000)
}

// Guards against retries that are not charged, although each attempt is work done for the
// organisation.
func TestEachAttemptIsCharged(t *testing.T) {
	h := newHarness(t, abortConnection, abortConnection)
	limiter := h.setTokenLimit(t, 1000)
	readBody(t, h.send(t, "GET", "/read/x", ""))
	assert.Equal(t, h.deliveredCount(), 2)
	limiter.awaitRemaining(t, 600)
}
