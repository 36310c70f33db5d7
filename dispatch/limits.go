package dispatch

import (
	"github.com/carawaystile/carawaystile/tables"
)

// RateLimit is how many requests a second an endpoint takes from all instances together.
type RateLimit struct {
	PerSecond float64
	// Limited is false if the endpoint names none.
	Limited bool
}

// namedLimit is what an endpoint last said, and when; the zero value says that it names no
// limit.
type namedLimit struct {
	RateLimit
	at tables.Instant
}

// LimitNamed notes what an endpoint's answer says of a limit, and returns what was known
// before.
func (d *Dispatcher) LimitNamed(now tables.Instant, a *Attempt, limit RateLimit) (before RateLimit) {
	before = a.row.limit.RateLimit
	a.row.limit = namedLimit{RateLimit: limit, at: now}
	return before
}
