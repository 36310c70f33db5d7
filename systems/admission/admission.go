// Package admission decides which requests are refused because there is too
// much work. A request is refused as soon as it is clear that it cannot start
// in time, while its caller can still ask elsewhere or later, and never once it
// may have run. The less urgent are held back first, so they are the first to
// run out of time and be refused.
package admission

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// patiencePart is the part of its timeout for which a request whose profile
	// names no wait may be held, within the bounds below.
	patiencePart = 12
	minPatience  = time.Second
	maxPatience  = 5 * time.Second
	// drainWindow is the least time over which the rate of starts is averaged;
	// for requests that can wait long their wait divided by windowPart. That
	// must be longer than the router lets such requests gather on purpose, when
	// hardly any start: else gathering is taken for overload.
	drainWindow = 5 * time.Second
	windowPart  = 2
	// minRetryAfter and maxRetryAfter bound the time to try again.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// MaxQueued bounds the requests held of one organisation in one class, for
	// memory's sake.
	MaxQueued = 5000
	// minWaiting is the queue length below which no prediction is made: a short
	// queue says nothing of the rate at which it empties.
	minWaiting = 8
)

// DefaultMaxWait is how long a request may be held whose profile names no wait.
func DefaultMaxWait(p *tables.Profile) time.Duration {
	return max(minPatience, min(maxPatience, p.Timeout/patiencePart))
}

// StartBy is when a request must have started: within the wait its profile
// allows, and early enough to be answered by its deadline.
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

// Backlog watches the queue of one organisation in one class. It is not safe
// for concurrent use.
type Backlog struct {
	// window is the time over which started decays.
	window time.Duration
	// waiting counts requests that began to wait and have not left the queue.
	waiting int
	// started is a count of starts that decays over window.
	started   float64
	startedAt tables.Instant
	// since is when the queue last became non-empty.
	since tables.Instant
}

// Enqueued counts a request that begins to wait, for at most the given time.
func (b *Backlog) Enqueued(now tables.Instant, wait time.Duration) {
	if b.waiting == 0 {
		b.since = now
	}
	b.window = max(drainWindow, wait/windowPart)
	b.waiting++
}

// Dequeued counts a request that no longer waits.
func (b *Backlog) Dequeued() { b.waiting-- }

// Started counts a request that was dispatched.
func (b *Backlog) Started(now tables.Instant) {
	b.started = b.startedNow(now) + 1
	b.startedAt = now
}

func (b *Backlog) startedNow(now tables.Instant) float64 {
	if b.window == 0 {
		b.window = drainWindow
	}
	passed := float64(now-b.startedAt) / float64(b.window)
	return b.started * max(0, 1-passed)
}

// Length is the number of requests held.
func (b *Backlog) Length() int { return b.waiting }

// PredictedWait predicts how long a request that comes now would be held: the queue
// over the rate at which its requests have lately started.
func (b *Backlog) PredictedWait(now tables.Instant) time.Duration {
	if b.waiting < minWaiting {
		return 0
	}
	rate := max(b.startedNow(now), 0.5) / b.window.Seconds()
	return time.Duration(float64(b.waiting) / rate * float64(time.Second))
}

// Admit says whether a new request can be expected to start within wait. If
// not it returns when to try again.
func (b *Backlog) Admit(now tables.Instant, wait time.Duration) (tables.Refusal, bool) {
	predicted := b.PredictedWait(now)
	full := b.waiting >= MaxQueued
	settled := now-b.since >= b.window
	if !full && (predicted <= wait || !settled) {
		return tables.Refusal{}, true
	}
	return tables.Refusal{Code: tables.CodeOverloaded, RetryAfter: b.RetryAfter(now, wait)}, false
}

// RetryAfter is when a request that can wait so long has a chance again: when
// the queue that is there now will have gone down to what it can wait for.
func (b *Backlog) RetryAfter(now tables.Instant, wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, b.PredictedWait(now)-wait))
}
