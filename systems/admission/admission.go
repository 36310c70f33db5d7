// Package admission implements admission control for queued requests. A
// request is refused as soon as its predicted queueing time exceeds its maximum
// wait, while its caller can still retry elsewhere or later. A request that may
// have run is never refused. Overload delays requests of lower priority first,
// so they are the first to exceed their maximum wait and to be refused.
package admission

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// defaultWaitDivisor sets the maximum wait of a request whose profile has
	// none: its timeout divided by 12, between minDefaultWait and
	// maxDefaultWait.
	defaultWaitDivisor = 12
	minDefaultWait     = time.Second
	maxDefaultWait     = 5 * time.Second
	// minRateWindow is the shortest time over which the start rate is averaged.
	// Requests with a long maximum wait use that wait divided by
	// rateWindowDivisor. The quotient must exceed the time for which the router
	// deliberately batches such requests. Hardly any of them start during
	// batching, and a shorter window would mistake that for overload.
	minRateWindow     = 5 * time.Second
	rateWindowDivisor = 2
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// MaxQueued is the maximum number of queued requests per organisation and
	// priority class. It bounds memory.
	MaxQueued = 5000
	// minPredictionLength is the queue length below which no wait is predicted:
	// the start rate of a short queue says nothing about how fast it can drain.
	minPredictionLength = 8
)

// DefaultMaxWait returns the maximum queueing time of a request whose profile
// sets none.
func DefaultMaxWait(p *tables.Profile) time.Duration {
	return max(minDefaultWait, min(maxDefaultWait, p.Timeout/defaultWaitDivisor))
}

// StartBy returns the latest time at which a request may start: within the
// maximum wait of its profile, and early enough to complete before its deadline
// if it runs for the given service time.
func StartBy(row *tables.RequestRow, service time.Duration) tables.Instant {
	wait := row.Profile.MaxWait
	if wait <= 0 {
		wait = DefaultMaxWait(row.Profile)
	}
	by := row.SubmittedAt + wait
	if row.Request.Deadline > 0 {
		by = min(by, max(row.SubmittedAt, row.Request.Deadline-service))
	}
	return by
}

// Backlog predicts the queueing time of one organisation's queue in one
// priority class by Little's law: the queue length divided by the rate at which
// requests start. The zero value is an empty queue. A Backlog is not safe for
// concurrent use.
type Backlog struct {
	// rateWindow is the time over which startCount decays to zero.
	rateWindow time.Duration
	// length is the number of queued requests.
	length int
	// startCount is a decaying count of dispatched requests, as of lastStartAt.
	// At a steady rate it converges to the number of starts per rateWindow.
	startCount  float64
	lastStartAt tables.Instant
	// nonEmptySince is the time at which the queue last became non-empty.
	nonEmptySince tables.Instant
}

// Enqueued records that a request with the given maximum wait joined the queue.
func (b *Backlog) Enqueued(now tables.Instant, wait time.Duration) {
	if b.length == 0 {
		b.nonEmptySince = now
	}
	b.rateWindow = max(minRateWindow, wait/rateWindowDivisor)
	b.length++
}

// Dequeued records that a request left the queue, for whatever reason.
func (b *Backlog) Dequeued() { b.length-- }

// Started records that a request was dispatched.
func (b *Backlog) Started(now tables.Instant) {
	b.startCount = b.decayedStarts(now) + 1
	b.lastStartAt = now
}

// decayedStarts returns startCount after linear decay over rateWindow.
func (b *Backlog) decayedStarts(now tables.Instant) float64 {
	if b.rateWindow == 0 {
		b.rateWindow = minRateWindow
	}
	elapsed := float64(now-b.lastStartAt) / float64(b.rateWindow)
	return b.startCount * max(0, 1-elapsed)
}

// Length returns the number of queued requests.
func (b *Backlog) Length() int { return b.length }

// PredictedWait returns the expected queueing time of a request that arrives
// now: the queue length divided by the recent start rate. It returns 0 for
// queues shorter than minPredictionLength.
func (b *Backlog) PredictedWait(now tables.Instant) time.Duration {
	if b.length < minPredictionLength {
		return 0
	}
	rate := max(b.decayedStarts(now), 0.5) / b.rateWindow.Seconds()
	return time.Duration(float64(b.length) / rate * float64(time.Second))
}

// Admit reports whether a new request can be expected to start within its
// maximum wait, and otherwise returns the refusal with its retry delay. While
// the queue has been non-empty for less than rateWindow, its start rate is not
// measured yet, and requests are refused only when it holds MaxQueued.
func (b *Backlog) Admit(now tables.Instant, wait time.Duration) (tables.Refusal, bool) {
	predicted := b.PredictedWait(now)
	full := b.length >= MaxQueued
	measured := now-b.nonEmptySince >= b.rateWindow
	if !full && (predicted <= wait || !measured) {
		return tables.Refusal{}, true
	}
	return tables.Refusal{Code: tables.CodeOverloaded, RetryAfter: b.RetryAfter(now, wait)}, false
}

// RetryAfter returns the time after which a request with the given maximum wait
// is likely to be admitted: the time in which the present queue drains to a
// length that fits that wait.
func (b *Backlog) RetryAfter(now tables.Instant, wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, b.PredictedWait(now)-wait))
}
