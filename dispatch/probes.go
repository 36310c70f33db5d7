package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// probeTimeout is the least time after which an endpoint may have a further probe while none is
	// answered. It doubles with each such probe, and is probeLatencyFactor times the expected latency
	// of a probe at least.
	probeTimeout       = time.Second
	probeLatencyFactor = 4
)

// probing is a lease on an endpoint that has to prove that it answers: its probes hold it for a
// while, since the answer to one may never come and the request may not be cancelled.
type probing struct {
	// probes counts the probes in flight.
	probes int
	// heldUntil is when they hold the endpoint no more, and renewals how often that has passed in a
	// row without an answer or an end.
	heldUntil tables.Instant
	renewals  int
}

// isBeingProbed reports whether the endpoint has as many attempts as it may have until it has
// answered one.
func (r *endpointRow) isBeingProbed(now tables.Instant) bool {
	return r.hasAllProbes() && now < r.heldUntil
}

// hasAllProbes reports whether the endpoint has a single attempt if it is half-open, a fraction of
// its slots after a pushback.
func (r *endpointRow) hasAllProbes() bool {
	return r.halfOpen && r.probes > 0 || r.announced.unproven && r.probes >= max(1, r.Slots/probeSlotsDivisor)
}

// startProbe counts the attempt as a probe of its endpoint, if it has to prove that it answers.
func (a *Attempt) startProbe(now tables.Instant) {
	r := a.row
	if !r.halfOpen && !r.announced.unproven {
		return
	}
	if r.hasAllProbes() {
		r.renewals = min(r.renewals+1, maxDoublings)
	} else {
		r.renewals = 0
	}
	a.isProbe = true
	r.probes++
	r.heldUntil = now + max(probeTimeout<<r.renewals, probeLatencyFactor*a.ExpectedLatency)
}

// endProbe stops counting the attempt as a probe of its endpoint.
func (a *Attempt) endProbe() {
	if a.isProbe {
		a.isProbe = false
		a.row.probes--
	}
}
