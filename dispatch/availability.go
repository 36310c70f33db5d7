package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// doubtKeep is the time constant with which failures are forgotten.
	doubtKeep = 3 * time.Second
	// maxDoubt bounds the failures that count, so that a long outage is
	// forgotten as soon as a short one.
	maxDoubt = 6.0
	// zoneDoubt is the doubt that one lost endpoint casts on the others of its
	// zone.
	zoneDoubt = 0.8
	// avoidDeclined is how long an endpoint gets nothing after it has declined a
	// request: it is full, or changes its weights.
	avoidDeclined = 100 * time.Millisecond
	// avoidLost is the same after no connection to it was opened in time.
	avoidLost = 500 * time.Millisecond
	// absentRefused is how long an endpoint counts as absent after its address refused
	// a connection.
	absentRefused = 500 * time.Millisecond
	// absentMisdirected is the same after another process answered at its address. It
	// doubles with each such answer in a row, up to maxAbsent.
	absentMisdirected = time.Second
	maxAbsent         = 4 * time.Second
	// maxDoublings bounds how often it doubles.
	maxDoublings = 4
)

// availability is what attempts, and other instances' reports of theirs, say of whether an
// endpoint can be given requests. Health answers can be false either way, so it follows
// from traffic alone.
type availability struct {
	// doubt counts recent failures, as of doubtAt.
	doubt   float64
	doubtAt tables.Instant
	// avoidUntil is when this instance may choose the endpoint again.
	avoidUntil tables.Instant
	// absentUntil is until when nothing of that identity is at the endpoint's address:
	// it refused a connection, or another process answered. All instances share it.
	absentUntil tables.Instant
	// misdirected counts answers of other processes in a row.
	misdirected int
	// answeredAt is when the endpoint last answered as itself, and hasAnswered is set once
	// it has.
	answeredAt  tables.Instant
	hasAnswered bool
	// unreachable is set while the endpoint takes no connections from here.
	unreachable bool
	// probation is set for an endpoint that was absent, unreachable or loading weights, or
	// that is new. Many requests may be waiting for just such a one; it gets a single
	// attempt, counted by trials, until it has answered one.
	probation bool
	trials    int
}

// takes says whether the endpoint may be given requests.
func (a *availability) takes(now tables.Instant) bool {
	return !a.unreachable && now >= a.avoidUntil && now >= a.absentUntil
}

// onTrial says whether the endpoint has the one attempt that it may have now.
func (a *availability) onTrial() bool { return a.probation && a.trials > 0 }

// absent notes that nothing of the endpoint's identity is at its address.
func (a *availability) absent(until tables.Instant) {
	if until > a.absentUntil {
		a.absentUntil = until
		a.probation = true
	}
}

// absence is for how long from now on the endpoint counts as absent.
func (a *availability) absence(now tables.Instant) time.Duration {
	return max(0, a.absentUntil-now)
}

// answered notes that the endpoint answered as itself, whatever it said.
func (a *availability) answered(now tables.Instant) {
	a.answeredAt, a.hasAnswered = now, true
}

// sinceAnswer is how long ago that was; negative if it never did.
func (a *availability) sinceAnswer(now tables.Instant) time.Duration {
	if !a.hasAnswered {
		return -1
	}
	return now - a.answeredAt
}

// present notes that the endpoint works on requests.
func (a *availability) present(now tables.Instant) {
	a.answered(now)
	a.misdirected = 0
	a.probation = false
	a.absentUntil = 0
}

// relisted notes that the endpoint's weights have changed by the platform's list: an
// answer that it was misdirected may have been about the weights.
func (a *availability) relisted() {
	a.misdirected = 0
	a.absentUntil = 0
}

// reached notes whether the endpoint's address takes connections.
func (a *availability) reached(now tables.Instant, taken bool) {
	a.unreachable = !taken
	if !taken {
		return
	}
	a.probation = true
	a.avoidUntil = now
	a.doubt, a.doubtAt = 0, now
	if a.misdirected == 0 {
		a.absentUntil = 0
	}
}

func (a *availability) doubtNow(now tables.Instant) float64 {
	if a.doubt == 0 {
		return 0
	}
	return a.doubt * decay(now-a.doubtAt, doubtKeep)
}

// judge takes in the end of an attempt.
func (a *availability) judge(now tables.Instant, end Outcome) {
	doubt := a.doubtNow(now)
	switch end {
	case Completed:
		doubt /= 2
		a.present(now)
	case Broken, ResponseTimeout:
		doubt++
	case ConnectionRefused:
		doubt++
		a.absent(now + absentRefused)
	case ConnectTimeout:
		doubt++
		a.avoidUntil = now + avoidLost
	case Declined:
		a.answered(now)
		a.avoidUntil = now + avoidDeclined
	case Misdirected:
		a.misdirect(now)
	}
	a.doubt, a.doubtAt = min(doubt, maxDoubt), now
}

// misdirect notes that another process answered at the endpoint's address. Answers to
// attempts that were under way together count once.
func (a *availability) misdirect(now tables.Instant) {
	if now < a.absentUntil {
		return
	}
	a.absent(now + min(absentMisdirected<<a.misdirected, maxAbsent))
	a.misdirected = min(a.misdirected+1, maxDoublings)
}
