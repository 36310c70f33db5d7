package fairness

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// burstDuration sets the size of the token bucket: the number of requests that
// arrive in this time at the limit rate.
const burstDuration = 2 * time.Second

// Limiter enforces the rate and concurrency limits of one organisation at one
// instance, with a token bucket and a counting semaphore. The limits apply to
// the sum over all instances. Each instance enforces the fraction that equals
// its share of the traffic, so the sum is right while the shares are. Shares
// that are wrong by a factor f make the sum wrong by the same factor. An
// instance that is partitioned without noticing keeps its old share, so the sum
// never exceeds the limit by more than the error of the shares. The concurrency
// limit of an instance is rounded up to a whole request, so the sum can exceed
// it by less than one request per instance.
type Limiter struct {
	// rate, in requests per second, and maxConcurrent are the limits over all
	// instances; 0 means no limit.
	rate          float64
	maxConcurrent int
	// tokens is the content of the token bucket as of refilledAt.
	tokens     float64
	refilledAt tables.Instant
	// running is the number of occupied concurrency slots.
	running int
}

// Configure sets the limits over all instances: requests per second and
// concurrent requests. 0 means no limit.
func (l *Limiter) Configure(requestsPerSecond float64, concurrent int) {
	if l.rate == 0 && requestsPerSecond > 0 {
		l.tokens = math.Inf(1)
	}
	l.rate = requestsPerSecond
	l.maxConcurrent = concurrent
}

// Admit takes one token from the bucket of an instance with the given share of
// the traffic. It returns 0 on success, and otherwise the time until the next
// token is available.
func (l *Limiter) Admit(now tables.Instant, share float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	rate := l.rate * share
	burst := max(1, rate*burstDuration.Seconds())
	l.tokens = min(burst, l.tokens+rate*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens >= 1 {
		l.tokens--
		return 0
	}
	return time.Duration((1 - l.tokens) / rate * float64(time.Second))
}

// Acquire records that a request was dispatched and occupies a concurrency
// slot. It does not check the limit.
func (l *Limiter) Acquire() { l.running++ }

// Release records that a dispatched request has ended.
func (l *Limiter) Release() { l.running-- }

// AtConcurrencyLimit reports whether an instance with the given share of the
// traffic has no free concurrency slot.
func (l *Limiter) AtConcurrencyLimit(share float64) bool {
	if l.maxConcurrent <= 0 {
		return false
	}
	return l.running >= int(math.Ceil(float64(l.maxConcurrent)*share))
}

// Running returns the number of occupied concurrency slots.
func (l *Limiter) Running() int { return l.running }
