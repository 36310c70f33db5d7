package usage

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// account is a subject's token bucket for the whole deployment, as one accountant
// knows it.
type account struct {
	bucket
	zone tables.Zone
	// named is the limit that debits and reports carry, for subjects that the configuration
	// has none for.
	named    Limit
	admitted int64
	demand   demand
	opened   tables.Instant
	used     tables.Instant
	// remotes are the accountants of other zones, and others of this zone that were
	// asked for a while.
	remotes map[tables.InstanceID]*remote
	// holders are instances with a lease, until when.
	holders map[tables.InstanceID]tables.Instant
	// returnAt is when the next refused caller had better come back.
	returnAt tables.Instant
	// reported, reportedDemand and reportedAt are those of the last report.
	reported       int64
	reportedDemand float64
	reportedAt     tables.Instant
}

// remote is another accountant of the same subject.
type remote struct {
	zone     tables.Zone
	life     uint64
	admitted int64
	demand   float64
	at       tables.Instant
	// silent is set while no report comes: it is then taken to use part of the limit,
	// assumed so far.
	silent  bool
	part    float64
	assumed float64
}

// use takes an amount from the level.
func (c *account) use(now tables.Instant, amount int64) {
	c.admitted += amount
	c.level -= float64(amount)
}

// advance brings the level up to date. Accountants that are silent are taken to use their
// parts.
func (c *account) advance(now tables.Instant, limit Limit) {
	c.forgetReplaced(now)
	c.noteSilent(now, limit)
	left := 1.0
	elapsed := max(0, now-c.at).Seconds()
	for _, r := range c.remotes {
		if r.silent {
			left -= r.part
			r.assumed += r.part * limit.Rate * elapsed
		}
	}
	c.refill(now, limit, max(0, left))
}

// forgetReplaced drops silent accountants whose zone has another one now: nothing is to be
// set aside for them.
func (c *account) forgetReplaced(now tables.Instant) {
	for id, r := range c.remotes {
		if r.zone == c.zone && now-r.at > silentAfter {
			delete(c.remotes, id)
			continue
		}
		for _, other := range c.remotes {
			if other.zone == r.zone && other.at > r.at+silentAfter {
				delete(c.remotes, id)
				break
			}
		}
	}
}

// noteSilent finds accountants that have fallen silent, and sets their parts of the limit
// and of what is left of the burst aside.
func (c *account) noteSilent(now tables.Instant, limit Limit) {
	total := c.totalDemand(now)
	for id, r := range c.remotes {
		switch {
		case now-r.at > remoteForget:
			delete(c.remotes, id)
		case !r.silent && now-r.at > limit.silentAfter() && r.demand > 0:
			r.silent = true
			r.part = partOf(r.demand, total, limit.Rate, len(c.remotes)+1)
			r.assumed = r.part * max(0, c.level)
			c.level -= r.assumed
		}
	}
}

// activeDemand is what callers ask of this accountant, without what is next to nothing: a
// part of the limit is set aside for accountants with demand when they fall silent.
func (c *account) activeDemand(now tables.Instant, limit Limit) float64 {
	own := c.demand.now(now)
	if own < idlePart*limit.Rate {
		return 0
	}
	return own
}

// totalDemand is the demand of all zones.
func (c *account) totalDemand(now tables.Instant) float64 {
	total := c.demand.now(now)
	for _, r := range c.remotes {
		total += r.demand
	}
	return total
}

// lease decides whether the instance may go on without asking. When the level becomes low
// it returns those that hold a lease.
func (c *account) lease(now tables.Instant, by tables.InstanceID, limit Limit, answer *DebitReply) (ended []tables.InstanceID) {
	if limit.Strict {
		return nil
	}
	if c.level >= leasePart*limit.Burst {
		c.holders[by] = now + leaseTime
		answer.Lease = leaseTime
		return nil
	}
	for id, until := range c.holders {
		if until > now && id != by {
			ended = append(ended, id)
		}
	}
	clear(c.holders)
	return ended
}

// returnAfter is when a refused caller had better come back: one after the other, as the
// bucket refills. Under a strict limit the request goes elsewhere and nobody comes back for it,
// so it is when the next one may be admitted.
func (c *account) returnAfter(now tables.Instant, limit Limit, cost int64) time.Duration {
	if limit.Strict {
		return c.admitsIn(limit, cost, 1)
	}
	c.returnAt = max(c.returnAt, now+c.admitsIn(limit, cost, 1))
	after := c.returnAt - now
	c.returnAt = min(c.returnAt+time.Duration(float64(cost)/limit.Rate*float64(time.Second)), now+maxReturn)
	return after
}

// due says whether a report of the account is to be sent now.
func (c *account) due(now tables.Instant, limit Limit) bool {
	since := now - c.reportedAt
	if since >= reportPeriod {
		return c.admitted != c.reported || c.reportedDemand > 0 || c.activeDemand(now, limit) > 0
	}
	used := float64(c.admitted - c.reported)
	return since >= tightPeriod && used > reportPart*limit.Burst
}
