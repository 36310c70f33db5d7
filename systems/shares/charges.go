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
// less, and when an instance is gone, its total is gone too. After rebaseAfter without an answer
// that reaches the earlier ones, the next one replaces them. An increase is bounded by what can be
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
	last, since := a.others, now-a.answeredAt
	isFirst := a.answeredAt == 0 || since >= forgetAfter
	a.answeredAt, a.usedAt = now, now
	if isFirst {
		a.allowance = 0
	} else {
		a.allowance = min(a.allowance, maxRate*maxUnused.Seconds()) + maxRate*since.Seconds()
	}
	if isFirst || others < last && now-a.reachedAt >= rebaseAfter {
		a.others, a.reachedAt = others, now
		return 0
	}
	if others < last {
		return 0
	}
	a.others, a.reachedAt = others, now
	charge := min(float64(others-last), a.allowance)
	a.allowance -= charge
	return charge
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
