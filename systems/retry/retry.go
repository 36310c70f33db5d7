// Package retry decides whether a failed attempt may be retried, and limits retries
// with a retry budget. The budget prevents retry storms: without a limit, each
// failure of an overloaded or broken fleet adds a request to it, and the failure of
// one part spreads to the whole fleet.
package retry

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// retriesPerRequest is the number of retries that each request adds to the
	// budget. maxBalance is the size of the budget, which is full at the start.
	retriesPerRequest = 0.2
	maxBalance        = 20
	// MaxAttempts is the maximum number of attempts for one request.
	MaxAttempts = 4
	// baseDelay is the delay before the first retry. It doubles with each further
	// retry.
	baseDelay = 5 * time.Millisecond
)

// Budget is a retry budget: a token bucket that starts full, is refilled by
// requests and is drained by retries and hedges. The zero value is ready for use.
// It is not safe for concurrent use.
type Budget struct{ spent float64 }

// Deposit adds the share of one request, retriesPerRequest, to the budget.
func (b *Budget) Deposit() { b.spent = max(0, b.spent-retriesPerRequest) }

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.spent+1 > maxBalance {
		return false
	}
	b.spent++
	return true
}

// Balance returns the number of retries left in the budget.
func (b *Budget) Balance() float64 { return maxBalance - b.spent }

// SafeToRetry reports whether a request may be retried, regardless of the budget. A
// request that is not idempotent may be retried only if it is certain that no
// attempt has begun to execute it.
func SafeToRetry(row *tables.RequestRow) bool {
	return row.Profile.Idempotent || !row.MayHaveRun
}

// Backoff returns the exponential backoff before retry n, counted from 1. It stops
// growing at the ninth retry. Without a delay, retries of attempts that endpoints
// decline at once would spin.
func Backoff(n int) time.Duration { return baseDelay << min(n-1, 8) }
