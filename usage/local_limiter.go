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
	// closedPart is the part of the time until a refused caller's return for which an
	// instance refuses others without asking, and maxClosed bounds it.
	closedPart = 0.5
	maxClosed  = 200 * time.Millisecond
	// meterIdle is after how long without use a meter is forgotten.
	meterIdle = 30 * time.Second
)

// LocalLimiter is what an entry instance knows of one subject's account.
type LocalLimiter struct {
	leaseUntil  tables.Instant
	closedUntil tables.Instant
	// known is set once an accountant has answered, at knownAt, with level and total
	// demand.
	known   bool
	knownAt tables.Instant
	level   int64
	total   float64
	demand  demand
	// spent is what was admitted without asking and not reported yet.
	spent int64
	// alone is the bucket for the instance's own part while no accountant answers.
	alone   bucket
	isAlone bool
	used    tables.Instant
}

// Check says what to do about a request.
func (m *LocalLimiter) Check(now tables.Instant, cost int64) (step Verdict, retryAfter time.Duration) {
	m.used = now
	m.demand.add(now, float64(cost))
	switch {
	case now < m.leaseUntil:
		m.spent += cost
		return Admit, 0
	case now < m.closedUntil:
		return Reject, m.closedUntil - now
	}
	return AskOwner, 0
}

// NewDebit reports use to the accountant and asks it to admit a request of that cost. The
// instance's unreported use counts as reported from then on, until it is Undone.
func (m *LocalLimiter) NewDebit(now tables.Instant, id Subject, cost int64) Debit {
	d := Debit{Subject: id, Cost: cost, Spent: m.spent}
	if m.known {
		d.LevelKnown, d.Level, d.LevelAge = true, m.level, now-m.knownAt
	}
	m.spent = 0
	return d
}

// RollBack takes back that use was reported: no answer came.
func (m *LocalLimiter) RollBack(d Debit) { m.spent += d.Spent }

// ApplyReply takes an accountant's answer.
func (m *LocalLimiter) ApplyReply(now tables.Instant, d Debit, a DebitReply) {
	m.known, m.knownAt = true, now
	m.level, m.total = a.Level, float64(a.Demand)
	m.isAlone = false
	m.leaseUntil = now + a.Lease
	m.closedUntil = now
	if !a.Admitted {
		m.closedUntil = now + min(maxClosed, time.Duration(closedPart*float64(a.RetryAfter)))
	}
}

// RevokeLease notes that the accountant has ended the lease.
func (m *LocalLimiter) RevokeLease(now tables.Instant) { m.leaseUntil = min(m.leaseUntil, now) }

// Charge notes use that nobody is asked about: a further run of a request, or, negative, one
// that did not run.
func (m *LocalLimiter) Charge(now tables.Instant, amount int64) {
	m.used = now
	m.spent += amount
	if m.isAlone {
		m.alone.level -= float64(amount)
	}
}

// AdmitFromShare decides by the instance's own part of the limit: no accountant answers. The
// part is what the instance has used of late and an equal part of what nobody did.
func (m *LocalLimiter) AdmitFromShare(now tables.Instant, limit Limit, instances int, cost int64) (admitted bool, retryAfter time.Duration) {
	demand := m.demand.now(now)
	part := partOf(demand, max(m.total, demand), limit.Rate, instances)
	if !m.isAlone {
		m.isAlone = true
		m.alone = bucket{at: now, level: requiredPart * part * limit.Burst}
		if m.known {
			m.alone.level = part * min(float64(m.level), limit.Burst)
		}
	}
	m.alone.refill(now, limit, part)
	own := Limit{Rate: part * limit.Rate, Burst: part * limit.Burst}
	if !m.alone.admits(own, cost) {
		return false, m.alone.admitsIn(own, cost, 1)
	}
	m.alone.level -= float64(cost)
	m.spent += cost
	return true, 0
}

// Idle says whether the meter can be forgotten.
func (m *LocalLimiter) Idle(now tables.Instant) bool { return now-m.used > meterIdle && m.spent == 0 }
