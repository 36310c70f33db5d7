package forward

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// maxQuestionRate bounds the questions to schedulers that place nothing, for an instance, in
	// questions a second. 340 instances then send a few schedulers 34,000 a second at most.
	// Questions that place a request are bounded by the capacity.
	maxQuestionRate = 100.0
	// questionBurst is the number of unused questions that each kind accumulates.
	questionBurst = 5.0
)

// questionKind tells for what a question is. Each kind has half of the rate, and more while the
// other one uses none, so that requests with a pending prefill, which ask often, do not keep
// others from asking.
type questionKind uint8

const (
	forCapacity questionKind = iota
	forPrefill
	questionKinds
)

// questionLimit is a token bucket of each kind of question. Its methods allow everything on the
// nil value. It is not safe for concurrent use.
type questionLimit struct {
	available [questionKinds]float64
	at        tables.Instant
}

func newQuestionLimit() *questionLimit {
	return &questionLimit{available: [questionKinds]float64{questionBurst, questionBurst}}
}

func (l *questionLimit) refill(now tables.Instant) {
	if now <= l.at {
		return
	}
	added := maxQuestionRate / float64(questionKinds) * (now - l.at).Seconds()
	for kind := range l.available {
		l.available[kind] = min(questionBurst, l.available[kind]+added)
	}
	l.at = now
}

// allowedAt returns when a question may be asked.
func (l *questionLimit) allowedAt(now tables.Instant, kind questionKind) tables.Instant {
	if l == nil {
		return now
	}
	l.refill(now)
	missing := min(1-l.available[kind], questionBurst-1-l.available[1-kind])
	if missing <= 0 {
		return now
	}
	// The addend makes up for rounding, by which the bucket would lack a fraction of a question.
	return now + time.Duration(missing/maxQuestionRate*float64(questionKinds)*float64(time.Second)) + time.Microsecond
}

// take counts a question, and reports whether it may be asked.
func (l *questionLimit) take(now tables.Instant, kind questionKind) bool {
	if l == nil {
		return true
	}
	if l.allowedAt(now, kind) > now {
		return false
	}
	if l.available[kind] < 1 {
		kind = 1 - kind
	}
	l.available[kind]--
	return true
}

// giveBack takes back the count of a question that has placed a request.
func (l *questionLimit) giveBack(kind questionKind) {
	if l != nil {
		l.available[kind] = min(questionBurst, l.available[kind]+1)
	}
}
