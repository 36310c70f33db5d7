package fairness

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// rateBurst is how much of its rate an organisation may use at once.
const rateBurst = 2 * time.Second

// Limiter holds one organisation to its limits at one instance. The limits are
// meant over all instances; each enforces its part, by the share of the traffic
// that it is told it carries. The sum is right while shares are. When shares
// are wrong by a factor f the sum is wrong by the same factor; an instance that
// is cut off and does not know it keeps its old share, so that the sum never
// exceeds the limit by more than the shares' error. The concurrency allowance
// is rounded up to a whole request, so that it can be exceeded by less than one
// for each instance.
type Limiter struct {
	rate       float64
	concurrent int
	tokens     float64
	filled     tables.Instant
	running    int
}

// Configure sets the limits over all instances; 0 means none.
func (l *Limiter) Configure(requestsPerSecond float64, concurrent int) {
	if l.rate == 0 && requestsPerSecond > 0 {
		l.tokens = math.Inf(1)
	}
	l.rate = requestsPerSecond
	l.concurrent = concurrent
}

// Admit takes one request from the rate. When it is exceeded it returns how
// long until there is room for one again, else 0.
func (l *Limiter) Admit(now tables.Instant, share float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	rate := l.rate * share
	burst := max(1, rate*rateBurst.Seconds())
	l.tokens = min(burst, l.tokens+rate*(now-l.filled).Seconds())
	l.filled = now
	if l.tokens >= 1 {
		l.tokens--
		return 0
	}
	return time.Duration((1 - l.tokens) / rate * float64(time.Second))
}

// Acquire counts a request that is dispatched, Stop one that is over.
func (l *Limiter) Acquire() { l.running++ }

// Release counts a request that is over.
func (l *Limiter) Release() { l.running-- }

// AtConcurrencyLimit says whether as many requests run as may.
func (l *Limiter) AtConcurrencyLimit(share float64) bool {
	if l.concurrent <= 0 {
		return false
	}
	return l.running >= int(math.Ceil(float64(l.concurrent)*share))
}

// Running is the number of dispatched requests that are not over.
func (l *Limiter) Running() int { return l.running }
