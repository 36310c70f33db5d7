// Package health judges endpoints by the traffic they get. An endpoint that
// fails is ejected for a time that doubles with each ejection; when it is over
// the endpoint is on probation, where it gets few attempts until some have
// succeeded. Slow endpoints are not ejected: placement learns their speed.
package health

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// failuresToEject is how many failures in a row eject a healthy endpoint.
	failuresToEject = 3
	// successesToTrust is how many successes end a probation.
	successesToTrust = 3
	firstEjection    = time.Second
	maxEjection      = 30 * time.Second
	// hangFactor and hangMargin make the longest wait for a first token out of
	// the expected one.
	hangFactor = 5
	hangMargin = 5 * time.Second
)

// RecordSuccess takes in an attempt that was answered.
func RecordSuccess(h *tables.Health) {
	h.ConsecutiveFailures = 0
	if h.State != tables.Probation {
		return
	}
	h.ProbationSuccesses++
	if h.ProbationSuccesses >= successesToTrust {
		h.State = tables.Healthy
		h.Ejections = 0
	}
}

// RecordFailure takes in an attempt that broke or could not be started. An endpoint on
// probation is ejected again by one failure.
func RecordFailure(now tables.Instant, h *tables.Health) {
	h.ConsecutiveFailures++
	if h.State == tables.Probation || h.ConsecutiveFailures >= failuresToEject {
		Eject(now, h)
	}
}

// Eject takes an endpoint out at once, as after a crash.
func Eject(now tables.Instant, h *tables.Health) {
	if h.State == tables.Ejected && h.EjectedUntil > now {
		return
	}
	wait := min(firstEjection<<min(h.Ejections, 8), maxEjection)
	h.Ejections++
	h.State = tables.Ejected
	h.EjectedUntil = now + wait
	h.ConsecutiveFailures = 0
}

// EndEjection puts an ejected endpoint on probation when its time is over.
func EndEjection(now tables.Instant, h *tables.Health) {
	if h.State == tables.Ejected && now >= h.EjectedUntil {
		h.State = tables.Probation
		h.ProbationSuccesses = 0
	}
}

// IsHung says whether an attempt has waited for its first token, without any
// sign of progress from its endpoint, so much longer than expected that the
// endpoint must be taken to hang. A connection to an engine that hangs stays
// open and breaks nothing; only what does not happen shows it. An attempt that
// waits while more urgent ones are answered does not hang.
func IsHung(now, progress tables.Instant, a *tables.AttemptRow) bool {
	if a.FirstTokenAt != 0 || a.Aborted {
		return false
	}
	return now-max(a.DispatchedAt, progress) > hangFactor*a.ExpectedTTFT+hangMargin
}
