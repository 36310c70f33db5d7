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
	// ratio is how many retries each request earns, and reserve how many may be
	// made before any was earned.
	ratio   = 0.2
	reserve = 20
	// MaxCost bounds the retries of one request by their cost. An attempt that
	// may have run costs costRan; one that never started cost its endpoint
	// nothing and counts for less, so that a request outlasts the moments in
	// which several endpoints have become unreachable at once.
	MaxCost          = 12
	costRan          = 4
	costNeverStarted = 1
	// firstDelay is the wait before the first retry; it doubles with each.
	firstDelay = 5 * time.Millisecond
)

// Budget is earned by requests and spent by retries and hedges. It is not safe
// for concurrent use.
type Budget struct{ spent float64 }

// Earn counts a request.
func (b *Budget) Earn() { b.spent = max(0, b.spent-ratio) }

// Cost is what a retry after an attempt costs its request.
func Cost(mayHaveRun bool) int {
	if mayHaveRun {
		return costRan
	}
	return costNeverStarted
}

// Spend takes one retry of the given cost if there is budget for it.
func (b *Budget) Spend(cost int) bool {
	part := float64(cost) / costRan
	if b.spent+part > reserve {
		return false
	}
	b.spent += part
	return true
}

// Left is how many retries could be made at once.
func (b *Budget) Left() float64 { return reserve - b.spent }

// Allowed says whether the request may be tried again, the budget aside. Work
// that must not run twice is only tried again while it is certain that no
// attempt has begun it.
func Allowed(row *tables.RequestRow) bool {
	return row.Profile.Idempotent || !row.MayHaveRun
}

// Delay is the wait before the retry of the given number, from 1 up. Retries of
// attempts that were declined at once would otherwise spin.
func Delay(n int) time.Duration { return firstDelay << min(n-1, 8) }
