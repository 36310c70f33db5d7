package quarantine

import (
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// crash is the end of one endpoint process, as far as it is known. An endpoint that is started again
// may keep its ID, and what instances know of its start may be late and differ. So unless both boot
// IDs are known, two crashes of an endpoint are told apart by the time in which the process ended: an
// attempt that started after a crash ran at a later process.
type crash struct {
	incarnation Incarnation
	// upAt is when the latest attempt started that ran at the process, and at when the crash was
	// noticed.
	upAt, at tables.Instant
}

// isSame reports whether two crashes are of one process, for all that is known.
func (c *crash) isSame(other *crash) bool {
	if c.incarnation.Endpoint != other.incarnation.Endpoint {
		return false
	}
	if c.incarnation.Boot != "" && other.incarnation.Boot != "" {
		return c.incarnation.Boot == other.incarnation.Boot
	}
	return c.upAt <= other.at+sameCrashWindow && other.upAt <= c.at+sameCrashWindow
}

// narrow adds what another report knows of the crash.
func (c *crash) narrow(other *crash) {
	if c.incarnation.Boot == "" {
		c.incarnation.Boot = other.incarnation.Boot
	}
	c.upAt, c.at = max(c.upAt, other.upAt), min(c.at, other.at)
}

// crashOf returns the crash that ended attempts at an endpoint process.
func (d *Detector) crashOf(now tables.Instant, incarnation Incarnation, ids []tables.AttemptID) crash {
	c := crash{incarnation: incarnation, at: now}
	delivered := slices.DeleteFunc(slices.Clone(ids), func(id tables.AttemptID) bool { return !d.attempts[id].wasDelivered() })
	if len(delivered) == 0 {
		delivered = ids
	}
	for n, id := range delivered {
		if startedAt := d.attempts[id].startedAt; n == 0 || startedAt > c.upAt {
			c.upAt = startedAt
		}
	}
	for _, id := range delivered {
		// An attempt that was interrupted before another one started was not interrupted by the crash.
		if at := d.attempts[id].endedBy(now); at >= c.upAt {
			c.at = min(c.at, at)
		}
	}
	return c
}

// wasDelivered reports whether the attempt has certainly reached a process. One that still waits may have
// been sent after the crash.
func (r *attempt) wasDelivered() bool { return r.interruptedAt != 0 || r.firstToken != 0 }
