package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// failureDecay is the time constant of the exponential decay of the failure score.
	failureDecay = 3 * time.Second
	// maxFailureScore caps the failure score, so that an endpoint recovers from a long
	// outage as fast as from a short one.
	maxFailureScore = 6.0
	// zoneFailureScore is added to the other endpoints of a zone when a connection to one
	// of them timed out and the zone is silent.
	zoneFailureScore = 0.8
	// declinedBackoff is how long an endpoint receives no requests after it has declined
	// one: it is full or is changing its weights.
	declinedBackoff = 100 * time.Millisecond
	// connectBackoff is how long an endpoint receives no requests after a connection to it
	// timed out or was refused.
	connectBackoff = 500 * time.Millisecond
	// misdirectedAbsence is how long an endpoint counts as absent after another process
	// answered at its address. It doubles with each consecutive answer of this kind, up
	// to maxAbsence.
	misdirectedAbsence = time.Second
	maxAbsence         = 4 * time.Second
	// maxDoublings caps the exponent of that exponential backoff.
	maxDoublings = 4
)

// availability is the passive health check of an endpoint: an outlier detector with a
// decaying failure score and a circuit breaker whose half-open state admits one probe. It
// uses only the results of attempts, of this instance and as reported by others, because
// answers to health checks can be wrong in either direction.
type availability struct {
	// failureScore is an exponentially decaying count of failures, as of
	// failureScoreTime.
	failureScore     float64
	failureScoreTime tables.Instant
	// backoffUntil is when this instance may choose the endpoint again, and connectAfter
	// when it may connect to it again after a connection has failed.
	backoffUntil, connectAfter tables.Instant
	// relayAfter is when attempts may be relayed to the endpoint again after a relay could not
	// connect to it.
	relayAfter tables.Instant
	// absentUntil is the time until which the endpoint is taken to be absent from its
	// address, because another process answered there. It is shared with all instances.
	// Failed connections are not shared: they may be due to this instance's own link.
	absentUntil tables.Instant
	// absenceReported is set if absentUntil comes from another instance's report instead of
	// an observation of this instance.
	absenceReported bool
	// misdirectedStreak counts consecutive answers from other processes at the address.
	misdirectedStreak int
	// respondedAt is when the endpoint last responded under its own identity; it is valid
	// only if hasResponded is set.
	respondedAt  tables.Instant
	hasResponded bool
	// unreachable is set while the endpoint accepts no connections from this instance.
	unreachable bool
	// halfOpen is set for an endpoint that was absent, unreachable or loading weights, or
	// that is new. Many queued requests may be waiting for exactly this endpoint, so it
	// receives a single attempt as a probe until it has responded to one.
	halfOpen bool
	probing
}

// accepting reports whether the endpoint may receive requests, apart from the path to it.
func (a *availability) accepting(now tables.Instant) bool {
	return now >= a.backoffUntil && now >= a.absentUntil
}

// connectable reports whether nothing speaks against a connection from this instance to the
// endpoint.
func (a *availability) connectable(now tables.Instant) bool {
	return !a.unreachable && now >= a.connectAfter
}

// markRefused records that the endpoint's address refused a connection of this instance.
func (a *availability) markRefused(now tables.Instant) {
	a.connectAfter = max(a.connectAfter, now+connectBackoff)
	a.halfOpen = true
}

// markAbsent records that the endpoint does not own its address until the given time.
// reported is set if another instance has observed it.
func (a *availability) markAbsent(until tables.Instant, reported bool) {
	if until > a.absentUntil {
		a.absentUntil, a.absenceReported = until, reported
		a.halfOpen = true
	}
}

// absentFor returns for how much longer the endpoint counts as absent.
func (a *availability) absentFor(now tables.Instant) time.Duration {
	return max(0, a.absentUntil-now)
}

// observedAbsentFor is absentFor of an absence that this instance has observed. That of others is
// left out of reports: reports of reports would renew each other.
func (a *availability) observedAbsentFor(now tables.Instant) time.Duration {
	if a.absenceReported {
		return 0
	}
	return a.absentFor(now)
}

// markResponded records a response of the endpoint under its own identity, whatever its
// status.
func (a *availability) markResponded(now tables.Instant) {
	a.respondedAt, a.hasResponded = now, true
}

// sinceResponse returns the time since the last such response; negative if there was
// none.
func (a *availability) sinceResponse(now tables.Instant) time.Duration {
	if !a.hasResponded {
		return -1
	}
	return now - a.respondedAt
}

// markHealthy records that the endpoint is processing requests, which closes the circuit
// breaker.
func (a *availability) markHealthy(now tables.Instant) {
	a.markResponded(now)
	a.misdirectedStreak = 0
	a.halfOpen = false
	a.absentUntil = 0
}

// clearAbsence ends an absence when the platform's list reports new weights for the
// endpoint: the misdirected answer may have been due to the weights instead of to another
// process.
func (a *availability) clearAbsence() {
	a.misdirectedStreak = 0
	a.absentUntil = 0
}

// setReachable records whether the endpoint's address accepts connections.
func (a *availability) setReachable(now tables.Instant, reachable bool) {
	a.unreachable = !reachable
	if !reachable {
		return
	}
	a.halfOpen = true
	a.backoffUntil, a.connectAfter, a.relayAfter = now, now, now
	a.failureScore, a.failureScoreTime = 0, now
	if a.misdirectedStreak == 0 {
		a.absentUntil = 0
	}
}

// currentFailureScore returns the failure score decayed to the present.
func (a *availability) currentFailureScore(now tables.Instant) float64 {
	if a.failureScore == 0 {
		return 0
	}
	return a.failureScore * decay(now-a.failureScoreTime, failureDecay)
}

// recordOutcome updates the health of the endpoint with the outcome of an attempt.
func (a *availability) recordOutcome(now tables.Instant, outcome Outcome) {
	score := a.currentFailureScore(now)
	switch outcome {
	case Completed:
		score /= 2
		a.markHealthy(now)
	case Broken, ResponseTimeout:
		score++
	case ConnectionRefused:
		score++
		a.markRefused(now)
	case ConnectTimeout:
		score++
		a.connectAfter = now + connectBackoff
	case Declined:
		a.markResponded(now)
		a.backoffUntil = now + declinedBackoff
	case Misdirected:
		a.recordMisdirected(now)
	}
	a.failureScore, a.failureScoreTime = min(score, maxFailureScore), now
}

// recordMisdirected records that another process answered at the endpoint's address.
// Answers to concurrent attempts count once.
func (a *availability) recordMisdirected(now tables.Instant) {
	if now < a.absentUntil {
		return
	}
	a.markAbsent(now+min(misdirectedAbsence<<a.misdirectedStreak, maxAbsence), false)
	a.misdirectedStreak = min(a.misdirectedStreak+1, maxDoublings)
}
