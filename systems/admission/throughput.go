package admission

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Throughput measures the rate at which queued work leaves its queue, in any unit of work, over
// the time in which work is queued. It predicts waits by Little's law, as Backlog does, for queues whose
// requests differ in size and whose waits are far below a second. Periods without queued work
// say nothing about the capacity and are left out. A Throughput is not safe for concurrent use.
type Throughput struct {
	// window is the time constant with which measurements lose their weight.
	window time.Duration
	// work and busy are decaying sums: the work that has left, and the time with queued work.
	work float64
	busy time.Duration
	// queued is set while work is queued, as of at.
	queued bool
	at     tables.Instant
}

// minBusyDivisor divides the window into the shortest queued time from which waits are predicted.
const minBusyDivisor = 4

// NewThroughput returns a Throughput that forgets with the given time constant.
func NewThroughput(window time.Duration) Throughput { return Throughput{window: window} }

// advance accounts for the time since the last call.
func (t *Throughput) advance(now tables.Instant) {
	if took := now - t.at; took > 0 && t.queued {
		factor := math.Exp(-float64(took) / float64(t.window))
		t.work *= factor
		t.busy = time.Duration(float64(t.busy)*factor + float64(t.window)*(1-factor))
	}
	t.at = max(t.at, now)
}

// SetQueued records whether work is queued from now on.
func (t *Throughput) SetQueued(now tables.Instant, queued bool) {
	t.advance(now)
	t.queued = queued
}

// Departed records that queued work has left the queue.
func (t *Throughput) Departed(now tables.Instant, work float64) {
	t.advance(now)
	t.work += work
}

// PredictedWait returns the time in which the given amount of queued work leaves. It returns
// false while too little was measured: the work was queued only briefly, or none has left yet.
func (t *Throughput) PredictedWait(now tables.Instant, work float64) (time.Duration, bool) {
	t.advance(now)
	if t.busy < t.window/minBusyDivisor || t.work <= 0 {
		return 0, false
	}
	return min(maxRetryAfter, time.Duration(work/t.work*float64(t.busy))), true
}
