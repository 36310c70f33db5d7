// Package health implements passive health checking with outlier ejection. It
// judges endpoints by the outcome of attempts. A failing endpoint is ejected for
// a time that doubles with each ejection. It then enters probation, in which it
// receives few attempts until some of them have succeeded. Slow endpoints are
// not ejected: placement learns their speed.
package health

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// failuresToEject is the number of consecutive failures after which a healthy
	// endpoint is ejected.
	failuresToEject = 3
	// successesToRecover is the number of successes that end a probation.
	successesToRecover = 3
	// baseEjectionTime is the time of the first ejection, maxEjectionTime the
	// limit of the doubling.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// An attempt counts as hung when it has waited for its first token longer
	// than hungFactor times the expected time plus hungMargin.
	hungFactor = 5
	hungMargin = 5 * time.Second
)

// RecordSuccess records an attempt that completed.
func RecordSuccess(h *tables.Health) {
	h.ConsecutiveFailures = 0
	if h.State != tables.Probation {
		return
	}
	h.ProbationSuccesses++
	if h.ProbationSuccesses >= successesToRecover {
		h.State = tables.Healthy
		h.Ejections = 0
	}
}

// RecordFailure records an attempt that was interrupted or could not be
// started. A single failure ejects an endpoint on probation again.
func RecordFailure(now tables.Instant, h *tables.Health) {
	h.ConsecutiveFailures++
	if h.State == tables.Probation || h.ConsecutiveFailures >= failuresToEject {
		Eject(now, h)
	}
}

// Eject ejects an endpoint immediately, as after a crash. The ejection time
// doubles with each ejection, up to maxEjectionTime. Eject has no effect while
// the endpoint is already ejected.
func Eject(now tables.Instant, h *tables.Health) {
	if h.State == tables.Ejected && h.EjectedUntil > now {
		return
	}
	ejectionTime := min(baseEjectionTime<<min(h.Ejections, 8), maxEjectionTime)
	h.Ejections++
	h.State = tables.Ejected
	h.EjectedUntil = now + ejectionTime
	h.ConsecutiveFailures = 0
}

// EndEjection moves an ejected endpoint to probation once its ejection time is
// over.
func EndEjection(now tables.Instant, h *tables.Health) {
	if h.State == tables.Ejected && now >= h.EjectedUntil {
		h.State = tables.Probation
		h.ProbationSuccesses = 0
	}
}

// IsHung reports whether an attempt has waited so much longer than expected for
// its first token that the endpoint must be assumed to hang. The connection to
// a hung engine stays open and reports no error, so only the missing progress
// shows the fault. The wait counts from progress, the time at which the
// endpoint last completed other work, if that is later than the dispatch: an
// attempt that waits while more urgent ones are served is not hung.
func IsHung(now, progress tables.Instant, a *tables.AttemptRow) bool {
	if a.FirstTokenAt != 0 || a.Aborted {
		return false
	}
	return now-max(a.DispatchedAt, progress) > hungFactor*a.ExpectedTTFT+hungMargin
}
