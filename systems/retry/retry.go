// Package retry decides whether a failed attempt is followed by another one,
// and bounds how many are. Without a bound every failure of an overloaded or
// broken fleet adds a request to it, and callers see the whole fleet go down
// with the first part of it.
package retry

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// retriesPerRequest is how many retries each request earns, and reserve how many may be
	// made before any was earned.
	retriesPerRequest   = 0.2
	maxBalance = 20
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 4
	// baseDelay is the wait before the first retry; it doubles with each.
	baseDelay = 5 * time.Millisecond
)

// Budget is earned by requests and spent by retries and hedges. It is not safe
// for concurrent use.
type Budget struct{ spent float64 }

// Deposit counts a request.
func (b *Budget) Deposit() { b.spent = max(0, b.spent-retriesPerRequest) }

// TryWithdraw takes one retry if there is budget for it.
func (b *Budget) TryWithdraw() bool {
	if b.spent+1 > maxBalance {
		return false
	}
	b.spent++
	return true
}

// Balance is how many retries could be made at once.
func (b *Budget) Balance() float64 { return maxBalance - b.spent }

// SafeToRetry says whether the request may be tried again, the budget aside. Work
// that must not run twice is only tried again while it is certain that no
// attempt has begun it.
func SafeToRetry(row *tables.RequestRow) bool {
	return row.Profile.Idempotent || !row.MayHaveRun
}

// Backoff is the wait before the retry of the given number, from 1 up. Retries of
// attempts that were declined at once would otherwise spin.
func Backoff(n int) time.Duration { return baseDelay << min(n-1, 8) }
