package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// failureDecay is the time constant with which failures are forgotten.
	failureDecay = 3 * time.Second
	// maxFailureScore bounds the failures that count, so that a long outage is
	// forgotten as soon as a short one.
	maxFailureScore = 6.0
	// zoneFailureScore is the doubt that one lost endpoint casts on the others of its
	// zone.
	zoneFailureScore = 0.8
	// declinedBackoff is how long an endpoint gets nothing after it has declined a
	// request: it is full, or changes its weights.
	declinedBackoff = 100 * time.Millisecond
	// connectTimeoutBackoff is the same after no connection to it was opened in time.
	connectTimeoutBackoff = 500 * time.Millisecond
	// refusedAbsence is how long an endpoint counts as absent after its address refused
	// a connection.
	refusedAbsence = 500 * time.Millisecond
	// misdirectedAbsence is the same after another process answered at its address. It
	// doubles with each such answer in a row, up to maxAbsent.
	misdirectedAbsence = time.Second
	maxAbsence         = 4 * time.Second
	// maxDoublings bounds how often it doubles.
	maxDoublings = 4
)

// availability is what attempts, and other instances' reports of theirs, say of whether an
// endpoint can be given requests. Health answers can be false either way, so it follows
// from traffic alone.
type availability struct {
	// failureScore counts recent failures, as of doubtAt.
	failureScore     float64
	failureScoreTime tables.Instant
	// backoffUntil is when this instance may choose the endpoint again.
	backoffUntil tables.Instant
	// absentUntil is until when nothing of that identity is at the endpoint's address:
	// it refused a connection, or another process answered. All instances share it.
	absentUntil tables.Instant
	// misdirectedStreak counts answers of other processes in a row.
	misdirectedStreak int
	// respondedAt is when the endpoint last answered as itself, and hasAnswered is set once
	// it has.
	respondedAt  tables.Instant
	hasResponded bool
	// unreachable is set while the endpoint takes no connections from here.
	unreachable bool
	// halfOpen is set for an endpoint that was absent, unreachable or loading weights, or
	// that is new. Many requests may be waiting for just such a one; it gets a single
	// attempt, counted by trials, until it has answered one.
	halfOpen bool
	probes   int
}

// available says whether the endpoint may be given requests.
func (a *availability) available(now tables.Instant) bool {
	return !a.unreachable && now >= a.backoffUntil && now >= a.absentUntil
}

// isBeingProbed says whether the endpoint has the one attempt that it may have now.
func (a *availability) isBeingProbed() bool { return a.halfOpen && a.probes > 0 }

// markAbsent notes that nothing of the endpoint's identity is at its address.
func (a *availability) markAbsent(until tables.Instant) {
	if until > a.absentUntil {
		a.absentUntil = until
		a.halfOpen = true
	}
}

// absentFor is for how long from now on the endpoint counts as absent.
func (a *availability) absentFor(now tables.Instant) time.Duration {
	return max(0, a.absentUntil-now)
}

// markResponded notes that the endpoint markResponded as itself, whatever it said.
func (a *availability) markResponded(now tables.Instant) {
	a.respondedAt, a.hasResponded = now, true
}

// sinceResponse is how long ago that was; negative if it never did.
func (a *availability) sinceResponse(now tables.Instant) time.Duration {
	if !a.hasResponded {
		return -1
	}
	return now - a.respondedAt
}

// markHealthy notes that the endpoint works on requests.
func (a *availability) markHealthy(now tables.Instant) {
	a.markResponded(now)
	a.misdirectedStreak = 0
	a.halfOpen = false
	a.absentUntil = 0
}

// clearAbsence notes that the endpoint's weights have changed by the platform's list: an
// answer that it was misdirected may have been about the weights.
func (a *availability) clearAbsence() {
	a.misdirectedStreak = 0
	a.absentUntil = 0
}

// setReachable notes whether the endpoint's address takes connections.
func (a *availability) setReachable(now tables.Instant, taken bool) {
	a.unreachable = !taken
	if !taken {
		return
	}
	a.halfOpen = true
	a.backoffUntil = now
	a.failureScore, a.failureScoreTime = 0, now
	if a.misdirectedStreak == 0 {
		a.absentUntil = 0
	}
}

func (a *availability) currentFailureScore(now tables.Instant) float64 {
	if a.failureScore == 0 {
		return 0
	}
	return a.failureScore * decay(now-a.failureScoreTime, failureDecay)
}

// recordOutcome takes in the end of an attempt.
func (a *availability) recordOutcome(now tables.Instant, end Outcome) {
	doubt := a.currentFailureScore(now)
	switch end {
	case Completed:
		doubt /= 2
		a.markHealthy(now)
	case Broken, ResponseTimeout:
		doubt++
	case ConnectionRefused:
		doubt++
		a.markAbsent(now + refusedAbsence)
	case ConnectTimeout:
		doubt++
		a.backoffUntil = now + connectTimeoutBackoff
	case Declined:
		a.markResponded(now)
		a.backoffUntil = now + declinedBackoff
	case Misdirected:
		a.recordMisdirected(now)
	}
	a.failureScore, a.failureScoreTime = min(doubt, maxFailureScore), now
}

// recordMisdirected notes that another process answered at the endpoint's address. Answers to
// attempts that were under way together count once.
func (a *availability) recordMisdirected(now tables.Instant) {
	if now < a.absentUntil {
		return
	}
	a.markAbsent(now + min(misdirectedAbsence<<a.misdirectedStreak, maxAbsence))
	a.misdirectedStreak = min(a.misdirectedStreak+1, maxDoublings)
}
