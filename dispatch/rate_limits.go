package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// RateLimit is the number of requests a second that an endpoint accepts from all
// instances together.
type RateLimit struct {
	PerSecond float64
	// Limited is false if the endpoint has no limit.
	Limited bool
}

// RateLimitReport is one instance's knowledge of an endpoint's rate limit, by an answer
// that is Age old.
type RateLimitReport struct {
	RateLimit
	Age time.Duration
}

const (
	// defaultLimitBackoff is how long an endpoint with an exhausted rate limit receives
	// no requests if the time at which it admits the next one is not known.
	// minLimitBackoff and maxLimitBackoff bound the backoff in any case.
	defaultLimitBackoff = 200 * time.Millisecond
	minLimitBackoff     = 20 * time.Millisecond
	maxLimitBackoff     = time.Second
)

// rateLimitState is the rate limit that an endpoint named last, and when: a
// last-writer-wins register that instances exchange. known is false if the endpoint has
// never named a limit.
type rateLimitState struct {
	RateLimit
	known bool
	at    tables.Instant
	// fromReport is set if another instance has reported it.
	fromReport bool
	// exhaustedUntil is the time until which the limit admits no request.
	exhaustedUntil tables.Instant
}

// update sets the limit that an endpoint named at the given time unless a more recent one
// is known, and reports whether the limit changed.
func (l *rateLimitState) update(at tables.Instant, limit RateLimit, fromReport bool) (changed bool) {
	if l.known && at < l.at {
		return false
	}
	changed = l.RateLimit != limit
	l.RateLimit, l.known, l.at, l.fromReport = limit, true, at, fromReport
	if !limit.Limited {
		l.exhaustedUntil = 0
	}
	return changed
}

// report returns what other instances need to know; nil if the endpoint has never named a
// limit.
func (l *rateLimitState) report(now tables.Instant) *RateLimitReport {
	if !l.known {
		return nil
	}
	return &RateLimitReport{RateLimit: l.RateLimit, Age: ageOf(now, l.at, l.fromReport)}
}

// merge applies another instance's report.
func (l *rateLimitState) merge(now tables.Instant, r *RateLimitReport) {
	if r != nil {
		l.update(now-max(0, r.Age), r.RateLimit, true)
	}
}

// markExhausted records that the limit admits no request for the given pause.
func (l *rateLimitState) markExhausted(now tables.Instant, pause time.Duration) {
	l.exhaustedUntil = now + min(max(pause, minLimitBackoff), maxLimitBackoff)
}

// exhausted reports whether the limit admits no request now.
func (l *rateLimitState) exhausted(now tables.Instant) bool { return now < l.exhaustedUntil }

// RecordRateLimit records the limit in an endpoint's answer, and returns the limit that
// was known before.
func (d *Dispatcher) RecordRateLimit(now tables.Instant, a *Attempt, limit RateLimit) (before RateLimit) {
	row := a.row
	before = row.limit.RateLimit
	if !limit.Limited && !row.limit.known {
		return before
	}
	if row.limit.update(now, limit, false) {
		d.markDirty(row)
	}
	return before
}

// RateLimit returns the known rate limit of an endpoint.
func (d *Dispatcher) RateLimit(id tables.EndpointID) RateLimit {
	if row := d.endpoints[id]; row != nil {
		return row.limit.RateLimit
	}
	return RateLimit{}
}

// RecordRateLimited ends an attempt that was not sent because its endpoint's rate limit
// is exhausted; pause is how long until the limit admits a request.
func (d *Dispatcher) RecordRateLimited(now tables.Instant, a *Attempt, pause time.Duration) {
	d.RecordOutcome(now, a, RateLimited)
	a.row.limit.markExhausted(now, pause)
}
