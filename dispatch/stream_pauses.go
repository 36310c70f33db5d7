package dispatch

import "github.com/carawaystile/carawaystile/tables"

// pauseCost returns the cost of the pauses that a request's prompt causes in the streams that
// run at a candidate, in milliseconds of a client's wait.
func (d *Dispatcher) pauseCost(tables.Instant, *Request, *candidate) float64 { return 0 }
