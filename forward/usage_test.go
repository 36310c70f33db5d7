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
type ledger struct {
	mu    sync.Mutex
	left  int64
	asked []int64
}

func (l *ledger) Admit(_ context.Context, _ usage.Subject, _ usage.Limit, cost int64) usage.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, cost)
	if l.left < cost {
		return usage.Decision{RetryAfter: 2 * time.Second, Basis: usage.ByOwner}
	}
	l.left -= cost
	return usage.Decision{Admitted: true, Basis: usage.ByOwner}
}

func (l *ledger) Charge(_ usage.Subject, _ usage.Limit, amount int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left -= amount
}

func (l *ledger) remaining() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// awaitLeft waits until so much is left: a request settles after its answer.
func (l *ledger) awaitLeft(t *testing.T, want int64) {
	t.Helper()
	for range 500 {
		if l.remaining() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d left, not %d", l.remaining(), want)
}

// limited gives the rig's organisation a rate limit in tokens.
func (r *rig) limited(t *testing.T, left int64) *ledger {
	t.Helper()
	l := &ledger{left: left}
	r.server.options.RateLimiter = l
	r.configure(t, configured+1, func(c *routes.Configuration) {
		c.Organisations[0].UsageLimit = routes.RateLimit{Rate: 1000, Burst: 1000, Unit: routes.UsageInTokens, DefaultTokens: 200}
	})
	return l
}

// Guards against work beyond an organisation's limit running, and against its callers being
// told nothing of when to come back.
func TestBeyondTheRateLimitNothingRuns(t *testing.T) {
	r := newRig(t, says(200, "ok"))
	l := r.limited(t, 250)
	assert.Equal(t, text(t, r.ask(t, "GET", "/read/x", "")), "ok")
	refused := r.ask(t, "GET", "/read/x", "")
	assert.Equal(t, refused.StatusCode, 429)
	after, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after >= 2 && after <= 2*(1+retrySpread), "%v", after)
	assert.Equal(t, r.sent(), 1)
	l.awaitLeft(t, 50)
	assert.Equal(t, r.ask(t, "GET", "/read/x", "", "Authorization", "Bearer secret").StatusCode, 200)
}

// Guards against generations counting as plain requests.
func TestGenerationsCostTheTokensThatTheyName(t *testing.T) {
	r := newRig(t, streams(3, 3))
	l := r.limited(t, 10_000)
	text(t, r.ask(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "900,50"))
	text(t, r.ask(t, "POST", "/stream/x", "", "X-Model", "m"))
	assert.DeepEqual(t, l.asked, []int64{950, 200})
	l.awaitLeft(t, 10_000-950-200)
}

// Guards against requests that ran nowhere using the limit up.
func TestWhatRanNowhereIsGivenBack(t *testing.T) {
	r := newRig(t, declines)
	l := r.limited(t, 1000)
	assert.Equal(t, r.ask(t, "GET", "/read/x", "").StatusCode, 503)
	l.awaitLeft(t, 1000)
}

// Guards against runs beyond the first that count nowhere: each is work for the
// organisation.
func TestEachRunCosts(t *testing.T) {
	r := newRig(t, breaks, breaks)
	l := r.limited(t, 1000)
	text(t, r.ask(t, "GET", "/read/x", ""))
	assert.Equal(t, r.sent(), 2)
	l.awaitLeft(t, 600)
}
