package quarantine

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Incarnation is one process of an endpoint, as far as it is known: without a Boot it may be any
// process of the endpoint.
type Incarnation struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
}

// Suspect is a report that one instance sends to the others: a request or a part of its prompt
// was running when an endpoint crashed, is convicted or is cleared. It carries an age and no
// time, because the clocks of two instances cannot be compared.
type Suspect struct {
	// Fingerprint identifies the request; for a part that was in question at a crash, a request
	// that has it.
	Fingerprint tables.Fingerprint
	// Part is zero if the report is about the request.
	Part Part
	// Incarnation identifies the incident. It is empty for a conviction.
	Incarnation Incarnation
	// UpBefore is how long before the crash the latest attempt that is known to have run at the process
	// had started.
	UpBefore time.Duration
	// CrashPoint is the progress of the attempt at the time of the crash.
	CrashPoint CrashPoint
	// Convicted is set for a conviction, in place of Incarnation. Convictions counts those of a
	// part in a row, and Released is set once an operator has ended the last one.
	Convicted   bool
	Convictions int
	Released    bool
	// Proven is set if the part is proven at the instance: answers to prompts with it were completed
	// lately, or went on for a while. For a conviction it says that the part was proven before.
	Proven bool
	// Cleared is set in place of Incarnation if such an answer clears the part or the request.
	Cleared bool
	// Age is the time since the incident, the conviction, the beginning of the answer that clears
	// the part, or the clearance of the request.
	Age time.Duration
}

// maxReportDelay is the time that a report to a sound instance takes at most. Its age does not include
// that, so a conviction that instances report to each other would seem more recent each time.
const maxReportDelay = 500 * time.Millisecond

// ageOf returns the age with which a conviction is reported. One that another instance has reported
// counts as older than it can be.
func ageOf(now, at tables.Instant, fromReport bool) time.Duration {
	if fromReport {
		return now - at + maxReportDelay
	}
	return now - at
}

// crash returns the crash that the report is about.
func (s *Suspect) crash(at tables.Instant) crash {
	return crash{incarnation: s.Incarnation, upAt: at - s.UpBefore, at: at}
}

// CrashPoint is the progress of an attempt when its endpoint crashed. A poison
// request crashes endpoints at the same point each time; a request that merely runs
// beside it is at an arbitrary point.
type CrashPoint struct {
	// Likely is set if the attempt was within Options.LikelyWindow.
	Likely bool
	// AttemptTokens counts the tokens of the attempt, AnswerTokens those of the
	// whole answer.
	AttemptTokens int
	AnswerTokens  int
	// SinceFirstToken is the time since the attempt's first token; zero before it.
	SinceFirstToken time.Duration
}

// crashPointTolerance is how far apart two crashes at the same point may appear, in
// tokens: endpoints emit tokens in batches, and a crash loses the last ones.
const crashPointTolerance = 4

// matches reports whether two crashes happened at the same point of a request.
func (p CrashPoint) matches(other CrashPoint) bool {
	return p.Likely && other.Likely &&
		(distance(p.AttemptTokens, other.AttemptTokens) <= crashPointTolerance || distance(p.AnswerTokens, other.AnswerTokens) <= crashPointTolerance)
}

func distance(a, b int) int { return max(a-b, b-a) }
