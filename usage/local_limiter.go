package usage

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Verdict is the local decision about a request.
type Verdict uint8

// Verdicts of LocalLimiter.Check.
const (
	// AskOwner: the bucket's owner must decide.
	AskOwner Verdict = iota
	// Admit: a lease covers the request.
	Admit
	// Reject: the owner refused a request a moment ago, and the refusal is cached.
	Reject
)

const (
	// After a refusal the instance rejects further requests without asking for
	// rejectFraction of the retry delay, at most for maxRejectTime.
	rejectFraction = 0.5
	maxRejectTime  = 200 * time.Millisecond
	// limiterIdleTimeout is how long an unused limiter is kept.
	limiterIdleTimeout = 30 * time.Second
)

// LocalLimiter is an entry instance's view of one subject's bucket: its lease, a short cache
// of refusals, use that it has not reported yet, and a fallback bucket for times when no
// owner replies.
type LocalLimiter struct {
	// A lease admits requests until leaseUntil; a cached refusal rejects them until
	// rejectUntil.
	leaseUntil  tables.Instant
	rejectUntil tables.Instant
	// replied is set once an owner has replied; the last reply came at repliedAt with level
	// and totalDemand, of which ownDemand was this instance's part.
	replied                bool
	repliedAt              tables.Instant
	level                  int64
	totalDemand, ownDemand float64
	// demand is the use per second that this instance has asked its owners for. It leaves out
	// what a cached refusal rejects, as the owners' totalDemand does: a share of the limit is
	// the ratio of the two.
	demand averagedRate
	// unreported is the use that was admitted without asking and that no debit has reported
	// yet.
	unreported int64
	// fallback is the token bucket of the instance's own share, in use while inFallback is
	// set because no owner replies.
	fallback      tokenBucket
	fallbackShare float64
	inFallback    bool
	// settlingUse is what the instance has admitted while it was settling.
	settlingUse int64
	usedAt      tables.Instant
}

// Check decides about a request if a lease or a cached refusal allows it. retryAfter is set
// for Reject.
func (l *LocalLimiter) Check(now tables.Instant, cost int64) (verdict Verdict, retryAfter time.Duration) {
	l.usedAt = now
	switch {
	case now < l.leaseUntil:
		l.unreported += cost
		return Admit, 0
	case now < l.rejectUntil:
		return Reject, l.rejectUntil - now
	}
	return AskOwner, 0
}

// NewDebit returns a debit that asks the owner to admit a request of the given cost, 0 for
// none, and reports all unreported use. That use counts as reported unless RollBack is
// called.
func (l *LocalLimiter) NewDebit(now tables.Instant, id Subject, cost int64) Debit {
	d := Debit{Subject: id, Cost: cost, Spent: l.unreported}
	if l.replied {
		d.LevelKnown, d.Level, d.LevelAge = true, l.level, now-l.repliedAt
	}
	l.unreported = 0
	l.demand.add(now, d.demand())
	return d
}

// RollBack returns a debit's reported use to the unreported use, after a debit without
// reply.
func (l *LocalLimiter) RollBack(now tables.Instant, d Debit) {
	l.unreported += d.Spent
	l.demand.add(now, -d.demand())
}

// ApplyReply takes over an owner's reply to d: the level, the lease and, for a refusal, the
// time to reject further requests.
func (l *LocalLimiter) ApplyReply(now tables.Instant, d Debit, reply DebitReply) {
	l.replied, l.repliedAt = true, now
	l.level, l.totalDemand, l.ownDemand = reply.Level, float64(reply.Demand), l.demand.value(now)
	l.inFallback = false
	l.leaseUntil = now + reply.Lease
	l.rejectUntil = now
	if !reply.Admitted {
		l.rejectUntil = now + min(maxRejectTime, time.Duration(rejectFraction*float64(reply.RetryAfter)))
	}
}

// RevokeLease ends the lease.
func (l *LocalLimiter) RevokeLease(now tables.Instant) { l.leaseUntil = min(l.leaseUntil, now) }

// Charge counts use that needs no admission: another attempt of a request, or, with a
// negative amount, a request that did not run.
func (l *LocalLimiter) Charge(now tables.Instant, amount int64) {
	l.usedAt = now
	l.unreported += amount
	if l.inFallback {
		l.fallback.level -= float64(amount)
	}
}

// AdmitFromShare decides about a request when no owner replies, with a fallback bucket for
// the instance's own share of the limit. The share is the instance's recent use and an equal
// part, among the given number of instances, of the unused rate, as of the last reply: only
// shares of one moment add up to the limit.
func (l *LocalLimiter) AdmitFromShare(now tables.Instant, limit Limit, instances int, cost int64) (admitted bool, retryAfter time.Duration) {
	if !l.inFallback {
		l.enterFallback(now, limit, instances)
	}
	share := l.fallbackShare
	l.fallback.refill(now, limit, share)
	own := Limit{Rate: share * limit.Rate, Burst: share * limit.Burst}
	if !l.fallback.admits(own, cost) {
		return false, l.fallback.timeUntilAdmits(own, cost, 1)
	}
	l.fallback.level -= float64(cost)
	l.unreported += cost
	return true, 0
}

// enterFallback computes the instance's share of the limit and of the tokens that are left.
func (l *LocalLimiter) enterFallback(now tables.Instant, limit Limit, instances int) {
	l.inFallback = true
	l.fallbackShare = limitShare(l.ownDemand, max(l.totalDemand, l.ownDemand), limit.Rate, instances)
	l.fallback = tokenBucket{updatedAt: now, level: requiredFraction * l.fallbackShare * limit.Burst}
	if l.replied {
		l.fallback.level = l.fallbackShare * min(float64(l.level), limit.Burst)
	}
}

// Idle reports whether the limiter is unused and has no unreported use.
func (l *LocalLimiter) Idle(now tables.Instant) bool {
	return now-l.usedAt > limiterIdleTimeout && l.unreported == 0
}
