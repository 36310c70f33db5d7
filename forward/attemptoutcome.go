package forward

import (
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

// recordOutcome records the end of the attempt with the scheduler, the load balancer and
// the crash detector.
func (a *attempt) recordOutcome(result dispatch.Outcome) {
	a.recorded = true
	a.endUnanswered()
	a.assignment.NotifyEnded(result)
	a.request.refundAdmission(result)
	a.permit.Release(result == dispatch.Declined && a.retryAfter == "")
	if !notDelivered(result) {
		a.request.dispatchRequest.DeliveredAttempts++
	}
	if cleared := a.recordOutcomeLocked(result); len(cleared) > 0 {
		a.request.server.options.ShareSuspects(cleared)
	}
}

// recordAborted records the end of an attempt that a panic has ended. It would occupy its endpoint
// for ever otherwise.
func (a *attempt) recordAborted() {
	if !a.recorded {
		a.recordOutcome(dispatch.Cancelled)
	}
}

// recordOutcomeLocked returns what the other instances must be told.
func (a *attempt) recordOutcomeLocked(result dispatch.Outcome) (cleared []quarantine.Suspect) {
	s := a.request.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.dispatch.RecordOutcome(now, a.placement, result)
	s.metrics.countAttempt(a.request, result)
	s.metrics.countRecomputed(a.request, a.placement)
	a.recordContinuationEnd(result)
	return a.recordCrashOutcome(now, result)
}

// notDelivered reports whether an attempt with this outcome has reached no process.
func notDelivered(result dispatch.Outcome) bool {
	return result == dispatch.ConnectionRefused || result == dispatch.ConnectTimeout || result == dispatch.RelayUnavailable
}

// recordResponse records that the endpoint has responded, or has sent one more event, with the
// scheduler, the load balancer and the crash detector.
func (a *attempt) recordResponse() {
	a.assignment.NotifyStarted()
	if cleared := a.recordResponseLocked(); len(cleared) > 0 {
		a.request.server.options.ShareSuspects(cleared)
	}
}

// recordResponseLocked returns what the other instances must be told.
func (a *attempt) recordResponseLocked() (cleared []quarantine.Suspect) {
	s := a.request.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if a.firstResponseAt == 0 {
		a.firstResponseAt = max(now, 1)
	}
	s.dispatch.RecordResponseStart(now, a.placement)
	a.queuedPrefill = s.dispatch.QueuedPrefill(now, a.placement)
	a.responses++
	cleared = s.crashDetector.Progressed(now, a.id, a.responses)
	s.logPartChanges()
	return cleared
}
