package shares

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// maxAccounts bounds the memory of Charges.
	maxAccounts = 10_000
	// rebaseAfter is the time after which lower answers count. Totals are reported every 100 ms, so
	// that answers of schedulers differ for a few hundred milliseconds.
	rebaseAfter = time.Second
	// rebaseAnswers is the number of lower answers in a row after which they count. Those of one
	// scheduler that knows less come between those of others.
	rebaseAnswers = 3
	// maxUnused is the time for which an unused allowance of charges is kept. Totals grow by whole
	// reports, which may arrive right after an answer.
	maxUnused = time.Second
)

// Charges holds the running totals of what this instance has started, and computes the charges for
// what other instances have started. It is soft state of bounded size. It is not safe for
// concurrent use. The zero value is ready to use.
type Charges struct {
	accounts map[Key]*account
	sweptAt  tables.Instant
}

type account struct {
	own uint64
	// refunded is what is taken off the next costs. The total itself never decreases, since a
	// lower one stands for a restart.
	refunded uint64
	// others is the highest answer, which was last reached at reachedAt, and answeredAt the time of
	// the latest one; 0 for none.
	others                uint64
	reachedAt, answeredAt tables.Instant
	// lower is the number of lower answers since, and highestLower the highest of them.
	lower        int
	highestLower uint64
	// before is the highest answer that lower ones have replaced, until it is reached again; 0 for
	// none.
	before uint64
	// allowance is the cost in tokens that may still be charged.
	allowance float64
	usedAt    tables.Instant
}

// Started counts a cost that this instance has started for an organisation and returns the running
// total.
func (c *Charges) Started(now tables.Instant, key Key, cost uint64) uint64 {
	a := c.get(now, key)
	if a == nil {
		return 0
	}
	refunded := min(a.refunded, cost)
	a.refunded -= refunded
	a.own += cost - refunded
	a.usedAt = now
	return a.own
}

// Refunded takes back a cost that has not run after all.
func (c *Charges) Refunded(key Key, cost uint64) {
	if a := c.accounts[key]; a != nil {
		a.refunded += cost
	}
}

// Own returns the running total of what this instance has started. It restarts at 0 after the time
// for which totals are remembered.
func (c *Charges) Own(key Key) uint64 {
	if a := c.accounts[key]; a != nil {
		return a.own
	}
	return 0
}

// Answered returns the cost to charge an organisation after an answer that the other instances have
// started others in all. Only what exceeds all earlier answers is charged: schedulers know more or
// less, and when an instance is gone, its total is gone too. After rebaseAfter and rebaseAnswers
// answers that do not reach the earlier ones, the highest of these answers replaces them. If an
// answer reaches the replaced one again, only what exceeds that is charged. An increase is bounded by what can be
// started at maxRate, in tokens a second, in the time since the last answer and the part of the time
// before it, up to maxUnused, for which nothing was charged. So a wrong total costs an organisation
// at most that. Without an earlier answer nothing is charged.
func (c *Charges) Answered(now tables.Instant, key Key, others uint64, maxRate float64) float64 {
	if others == 0 {
		return 0
	}
	a := c.get(now, key)
	if a == nil {
		return 0
	}
	since := now - a.answeredAt
	isFirst := a.answeredAt == 0 || since >= forgetAfter
	a.answeredAt, a.usedAt = now, now
	if isFirst {
		a.allowance, a.before = 0, 0
		a.raise(now, others)
		return 0
	}
	a.allowance = min(a.allowance, maxRate*maxUnused.Seconds()) + maxRate*since.Seconds()
	if others < a.others {
		a.countLower(now, others)
		return 0
	}
	charge := min(float64(a.raise(now, others)), a.allowance)
	a.allowance -= charge
	return charge
}

// raise stores an answer and returns by how much it exceeds the earlier ones.
func (a *account) raise(now tables.Instant, others uint64) uint64 {
	base := a.others
	if others >= a.before {
		base, a.before = max(base, a.before), 0
	}
	a.others, a.reachedAt, a.lower, a.highestLower = others, now, 0, 0
	return others - min(base, others)
}

// countLower counts an answer that is lower than the highest one. The highest of the lower ones
// replaces that after rebaseAnswers and rebaseAfter.
func (a *account) countLower(now tables.Instant, others uint64) {
	a.lower++
	a.highestLower = max(a.highestLower, others)
	if a.lower >= rebaseAnswers && now-a.reachedAt >= rebaseAfter {
		a.before = max(a.before, a.others)
		a.others, a.reachedAt, a.lower, a.highestLower = a.highestLower, now, 0, 0
	}
}

func (c *Charges) get(now tables.Instant, key Key) *account {
	c.sweep(now)
	a := c.accounts[key]
	if a == nil {
		if len(c.accounts) >= maxAccounts {
			return nil
		}
		if c.accounts == nil {
			c.accounts = map[Key]*account{}
		}
		a = &account{usedAt: now}
		c.accounts[key] = a
	}
	return a
}

// sweep deletes the accounts that were not used for the time after which totals are forgotten.
func (c *Charges) sweep(now tables.Instant) {
	if now-c.sweptAt < sweepInterval {
		return
	}
	c.sweptAt = now
	for key, a := range c.accounts {
		if now-a.usedAt >= forgetAfter {
			delete(c.accounts, key)
		}
	}
}
