package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// RateLimit is how many requests a second an endpoint takes from all instances together.
type RateLimit struct {
	PerSecond float64
	// Limited is false if the endpoint names none.
	Limited bool
}

// RateLimitReport is what one instance knows of an endpoint's limit, by an answer of Age ago.
type RateLimitReport struct {
	RateLimit
	Age time.Duration
}

const (
	// defaultLimitBackoff is how long an endpoint whose limit leaves no room gets nothing, where
	// nobody has said when it will. minLimitPause and maxLimitPause bound it.
	defaultLimitBackoff = 200 * time.Millisecond
	minLimitBackoff     = 20 * time.Millisecond
	maxLimitBackoff     = time.Second
)

// rateLimitState is what an endpoint last said of a rateLimitState, and when; known is false if it has never
// named one.
type rateLimitState struct {
	RateLimit
	known bool
	at    tables.Instant
	// exhaustedUntil is until when the limit leaves no room.
	exhaustedUntil tables.Instant
}

// update takes what an endpoint said at that time, and says whether that is news.
func (l *rateLimitState) update(at tables.Instant, named RateLimit) (changed bool) {
	if l.known && at < l.at {
		return false
	}
	changed = l.RateLimit != named
	l.RateLimit, l.known, l.at = named, true, at
	if !named.Limited {
		l.exhaustedUntil = 0
	}
	return changed
}

// report is what others need to know; nil if the endpoint has never named a limit.
func (l *rateLimitState) report(now tables.Instant) *RateLimitReport {
	if !l.known {
		return nil
	}
	return &RateLimitReport{RateLimit: l.RateLimit, Age: now - l.at}
}

// merge takes another instance's report.
func (l *rateLimitState) merge(now tables.Instant, r *RateLimitReport) {
	if r != nil {
		l.update(now-max(0, r.Age), r.RateLimit)
	}
}

// markExhausted notes that the limit leaves no room for a while.
func (l *rateLimitState) markExhausted(now tables.Instant, pause time.Duration) {
	l.exhaustedUntil = now + min(max(pause, minLimitBackoff), maxLimitBackoff)
}

// exhausted says whether the limit leaves no room now.
func (l *rateLimitState) exhausted(now tables.Instant) bool { return now < l.exhaustedUntil }

// RecordRateLimit notes what an endpoint's answer says of a limit, and returns what was known
// before.
func (d *Dispatcher) RecordRateLimit(now tables.Instant, a *Attempt, named RateLimit) (before RateLimit) {
	row := a.row
	before = row.limit.RateLimit
	if !named.Limited && !row.limit.known {
		return before
	}
	if row.limit.update(now, named) {
		d.markDirty(row)
	}
	return before
}

// RateLimit is what is known of an endpoint's limit.
func (d *Dispatcher) RateLimit(id tables.EndpointID) RateLimit {
	if row := d.endpoints[id]; row != nil {
		return row.limit.RateLimit
	}
	return RateLimit{}
}

// RecordRateLimited ends an attempt that was not sent, since its endpoint's limit leaves no room
// for it; pause is when it may.
func (d *Dispatcher) RecordRateLimited(now tables.Instant, a *Attempt, pause time.Duration) {
	d.RecordOutcome(now, a, RateLimited)
	a.row.limit.markExhausted(now, pause)
}
