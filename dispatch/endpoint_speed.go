package dispatch

import "github.com/carawaystile/carawaystile/tables"

// currentPrefillRate returns the prefill speed now, in tokens a millisecond.
func (r *endpointRow) currentPrefillRate(tables.Instant) float64 { return r.prefillRate }
