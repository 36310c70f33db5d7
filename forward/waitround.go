package forward

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// full records that the request that was asking found no capacity. wait is the time until there
// is some; 0 if unknown.
func (q *waitQueue) full(now tables.Instant, w *waiter, wait time.Duration) {
	if w.earliest == 0 || now+wait < w.earliest {
		w.earliest = now + wait
	}
	interval := placementRetryInterval
	if wait > 0 {
		interval = min(max(wait, minAskInterval), maxAskInterval)
	}
	if w.restricted {
		q.endQuestion(now, w)
		w.notBefore = now + interval
		q.held.addIfAny(w)
		return
	}
	q.addRefused(now, w, interval)
}

// yielded records that the request that was asking has to wait for those of organisations that have
// had less.
func (q *waitQueue) yielded(now tables.Instant, w *waiter) {
	q.endQuestion(now, w)
	q.pause(now, placementRetryInterval)
	q.held.add(w)
}

// endQuestion records that the question of a request is answered, and ends the round if it is over.
func (q *waitQueue) endQuestion(now tables.Instant, w *waiter) {
	w.deferred, q.noneUntil = false, 0
	if q.placing == w {
		q.placing = nil
	}
	q.endPause(now)
}

// endPause lets those that could not be placed ask again after a pause.
func (q *waitQueue) endPause(now tables.Instant) {
	if now >= q.resumeAt {
		q.held.endPause(q.refused)
		q.refused = q.refused[:0]
	}
}

// pause lets those that could not be placed ask again after an interval, or earlier if a pause that
// has begun ends earlier.
func (q *waitQueue) pause(now tables.Instant, interval time.Duration) {
	if now >= q.resumeAt {
		q.resumeAt = now + interval
	}
	q.resumeAt = min(q.resumeAt, now+interval)
}

// addRefused adds a request to those that could not be placed in this round.
func (q *waitQueue) addRefused(now tables.Instant, w *waiter, interval time.Duration) {
	q.endQuestion(now, w)
	if len(q.refused) == 0 && q.held.isEmpty() {
		q.resumeAt = now + interval
	}
	q.pause(now, interval)
	q.refused = append(q.refused, w)
}

// postpone records that the request that was asking got no endpoint for a reason that does not
// concern others. deferred is set if the reason is PrefillPending.
func (q *waitQueue) postpone(now tables.Instant, w *waiter, deferred bool) {
	w.deferred, w.notBefore, q.noneUntil = deferred, now+placementRetryInterval, 0
	q.held.addIfAny(w)
	if q.placing == w {
		q.placing = nil
	}
}
