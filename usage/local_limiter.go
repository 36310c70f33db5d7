package usage

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Verdict says what an instance does about one request.
type Verdict uint8

// The steps.
const (
	// AskOwner: the accountant decides.
	AskOwner Verdict = iota
	// Admit: the request is within the limit.
	Admit
	// Reject: it is not.
	Reject
)

const (
	// rejectFraction is the part of the time until a refused caller's return for which an
	// instance refuses others without asking, and maxClosed bounds it.
	rejectFraction = 0.5
	maxRejectTime  = 200 * time.Millisecond
	// limiterIdleTimeout is after how long without use a meter is forgotten.
	limiterIdleTimeout = 30 * time.Second
)

// LocalLimiter is what an entry instance knows of one subject's account.
type LocalLimiter struct {
	leaseUntil  tables.Instant
	rejectUntil tables.Instant
	// replied is set once an accountant has answered, at knownAt, with level and total
	// demand.
	replied     bool
	repliedAt   tables.Instant
	level       int64
	totalDemand float64
	demand      averagedRate
	// unreported is what was admitted without asking and not reported yet.
	unreported int64
	// fallback is the bucket for the instance's own part while no accountant answers.
	fallback   tokenBucket
	inFallback bool
	usedAt     tables.Instant
}

// Check says what to do about a request.
func (l *LocalLimiter) Check(now tables.Instant, cost int64) (verdict Verdict, retryAfter time.Duration) {
	l.usedAt = now
	l.demand.add(now, float64(cost))
	switch {
	case now < l.leaseUntil:
		l.unreported += cost
		return Admit, 0
	case now < l.rejectUntil:
		return Reject, l.rejectUntil - now
	}
	return AskOwner, 0
}

// NewDebit reports use to the accountant and asks it to admit a request of that cost. The
// instance's unreported use counts as reported from then on, until it is Undone.
func (l *LocalLimiter) NewDebit(now tables.Instant, id Subject, cost int64) Debit {
	d := Debit{Subject: id, Cost: cost, Spent: l.unreported}
	if l.replied {
		d.LevelKnown, d.Level, d.LevelAge = true, l.level, now-l.repliedAt
	}
	l.unreported = 0
	return d
}

// RollBack takes back that use was reported: no answer came.
func (l *LocalLimiter) RollBack(d Debit) { l.unreported += d.Spent }

// ApplyReply takes an accountant's answer.
func (l *LocalLimiter) ApplyReply(now tables.Instant, d Debit, reply DebitReply) {
	l.replied, l.repliedAt = true, now
	l.level, l.totalDemand = reply.Level, float64(reply.Demand)
	l.inFallback = false
	l.leaseUntil = now + reply.Lease
	l.rejectUntil = now
	if !reply.Admitted {
		l.rejectUntil = now + min(maxRejectTime, time.Duration(rejectFraction*float64(reply.RetryAfter)))
	}
}

// RevokeLease notes that the accountant has ended the lease.
func (l *LocalLimiter) RevokeLease(now tables.Instant) { l.leaseUntil = min(l.leaseUntil, now) }

// Charge notes use that nobody is asked about: a further run of a request, or, negative, one
// that did not run.
func (l *LocalLimiter) Charge(now tables.Instant, amount int64) {
	l.usedAt = now
	l.unreported += amount
	if l.inFallback {
		l.fallback.level -= float64(amount)
	}
}

// AdmitFromShare decides by the instance's own part of the limit: no accountant answers. The
// part is what the instance has used of late and an equal part of what nobody did.
func (l *LocalLimiter) AdmitFromShare(now tables.Instant, limit Limit, instances int, cost int64) (admitted bool, retryAfter time.Duration) {
	demand := l.demand.value(now)
	part := limitShare(demand, max(l.totalDemand, demand), limit.Rate, instances)
	if !l.inFallback {
		l.inFallback = true
		l.fallback = tokenBucket{updatedAt: now, level: requiredFraction * part * limit.Burst}
		if l.replied {
			l.fallback.level = part * min(float64(l.level), limit.Burst)
		}
	}
	l.fallback.refill(now, limit, part)
	own := Limit{Rate: part * limit.Rate, Burst: part * limit.Burst}
	if !l.fallback.admits(own, cost) {
		return false, l.fallback.timeUntilAdmits(own, cost, 1)
	}
	l.fallback.level -= float64(cost)
	l.unreported += cost
	return true, 0
}

// Idle says whether the meter can be forgotten.
func (l *LocalLimiter) Idle(now tables.Instant) bool {
	return now-l.usedAt > limiterIdleTimeout && l.unreported == 0
}
