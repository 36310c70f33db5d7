package dispatch

import (
	"math"

	"github.com/carawaystile/carawaystile/tables"
)

// Predecessor says what is known of the processes that ran under this instance's name before. A
// window of the retry budget may hold their retries too, which no other process has counted. The
// zero value means that nothing is known: a predecessor may have run until the dispatcher is first
// used, and may have used all of this instance's share.
type Predecessor struct {
	known   bool
	endedAt tables.Instant
}

// NoPredecessor means that no process has run under this instance's name before.
func NoPredecessor() Predecessor { return PredecessorEnded(math.MinInt64 / 2) }

// PredecessorEnded means that all earlier processes had ended at the given time.
func PredecessorEnded(at tables.Instant) Predecessor { return Predecessor{known: true, endedAt: at} }

// observeUse records that this process runs, so that a predecessor has ended.
func (d *Dispatcher) observeUse(now tables.Instant) {
	if !d.predecessor.known {
		d.predecessor = PredecessorEnded(now)
	}
}

// retriesKnown reports whether all windows that may hold retries of a predecessor have ended. A
// retry counts when it arrives, up to a slice after it was sent.
func (d *Dispatcher) retriesKnown(now tables.Instant) bool {
	d.observeUse(now)
	return now-d.predecessor.endedAt >= d.options.RetryBudget.Window+d.sliceWidth()
}
