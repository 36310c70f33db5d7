package quarantine

import (
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// A part that was in question at several crashes is tried by few requests at a time until an answer
// to a prompt with it is completed, or has gone on for a while. One crash holds nothing up: most
// have other causes, and the requests that it interrupted are retried.

const (
	// holdTime is how long after the last crash requests with an unproven part wait.
	// Those that are under way show meanwhile whether the part crashes their endpoints too. It is
	// longer by up to holdSpread, which differs between instances so that they do not try the part
	// all at once.
	holdTime   = 300 * time.Millisecond
	holdSpread = time.Second
	// trialTime is how long an attempt that has no first token counts as a trial. Its endpoint may
	// be slow or hang, and other requests must not wait for it.
	trialTime = 2 * time.Second
)

// turn returns this instance's place in an order of the instances that differs between parts,
// counted from 0.
func (d *Detector) turn(part Part) int {
	n := uint64(d.instances)
	return int((uint64(part)%n + n - uint64(d.rank)) % n)
}

// holds reports whether requests with an unproven part must wait: for a while after its last crash,
// and while another attempt of this instance tries it.
func (d *Detector) holds(now tables.Instant, part Part, r *partRecord) bool {
	if len(r.crashes) < newPartCrashes || d.isProven(part, r.crashes) {
		return false
	}
	spread := holdSpread * time.Duration(d.turn(part)) / time.Duration(d.instances)
	return now-r.latest() < holdTime+spread || d.isTried(now, part)
}

// isTried reports whether a running attempt with the part is about to begin its answer, or has just
// begun it.
func (d *Detector) isTried(now tables.Instant, part Part) bool {
	return d.anyRunning(part, func(a *attempt) bool {
		if a.firstToken == 0 {
			return now-a.startedAt <= trialTime
		}
		return now-a.firstToken <= answerStartWindow
	})
}

// anyRunning reports whether the condition holds for a running attempt with the part.
func (d *Detector) anyRunning(part Part, condition func(*attempt) bool) bool {
	for _, a := range d.attempts {
		if a.interruptedAt == 0 && condition(a) && slices.Contains(a.work.Parts, part) {
			return true
		}
	}
	return false
}
