package usage

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// sharedBucket is a subject's token bucket for the whole deployment, as one accountant
// knows it.
type sharedBucket struct {
	tokenBucket
	zone tables.Zone
	// carriedLimit is the limit that debits and reports carry, for subjects that the configuration
	// has none for.
	carriedLimit Limit
	admitted     int64
	demand       averagedRate
	openedAt     tables.Instant
	usedAt       tables.Instant
	// peers are the accountants of other zones, and others of this zone that were
	// asked for a while.
	peers map[tables.InstanceID]*peerOwner
	// leases are instances with a lease, until when.
	leases map[tables.InstanceID]tables.Instant
	// nextRetryAt is when the next refused caller had better come back.
	nextRetryAt tables.Instant
	// reportedTotal, reportedDemand and reportedAt are those of the last report.
	reportedTotal  int64
	reportedDemand float64
	reportedAt     tables.Instant
}

// peerOwner is another accountant of the same subject.
type peerOwner struct {
	zone       tables.Zone
	bootEpoch  uint64
	admitted   int64
	demand     float64
	reportedAt tables.Instant
	// silent is set while no report comes: it is then taken to use part of the limit,
	// assumed so far.
	silent     bool
	share      float64
	assumedUse float64
}

// consume takes an amount from the level.
func (b *sharedBucket) consume(now tables.Instant, amount int64) {
	b.admitted += amount
	b.level -= float64(amount)
}

// advanceTo brings the level up to date. Accountants that are silent are taken to use their
// parts.
func (b *sharedBucket) advanceTo(now tables.Instant, limit Limit) {
	b.dropReplacedPeers(now)
	b.reserveForSilentPeers(now, limit)
	left := 1.0
	elapsed := max(0, now-b.updatedAt).Seconds()
	for _, r := range b.peers {
		if r.silent {
			left -= r.share
			r.assumedUse += r.share * limit.Rate * elapsed
		}
	}
	b.refill(now, limit, max(0, left))
}

// dropReplacedPeers drops silent accountants whose zone has another one now: nothing is to be
// set aside for them.
func (b *sharedBucket) dropReplacedPeers(now tables.Instant) {
	for id, r := range b.peers {
		if r.zone == b.zone && now-r.reportedAt > partitionTimeout {
			delete(b.peers, id)
			continue
		}
		for _, other := range b.peers {
			if other.zone == r.zone && other.reportedAt > r.reportedAt+partitionTimeout {
				delete(b.peers, id)
				break
			}
		}
	}
}

// reserveForSilentPeers finds accountants that have fallen silent, and sets their parts of the limit
// and of what is left of the burst aside.
func (b *sharedBucket) reserveForSilentPeers(now tables.Instant, limit Limit) {
	total := b.totalDemand(now)
	for id, r := range b.peers {
		switch {
		case now-r.reportedAt > peerTimeout:
			delete(b.peers, id)
		case !r.silent && now-r.reportedAt > limit.partitionTimeout() && r.demand > 0:
			r.silent = true
			r.share = limitShare(r.demand, total, limit.Rate, len(b.peers)+1)
			r.assumedUse = r.share * max(0, b.level)
			b.level -= r.assumedUse
		}
	}
}

// activeDemand is what callers ask of this accountant, without what is next to nothing: a
// part of the limit is set aside for accountants with demand when they fall silent.
func (b *sharedBucket) activeDemand(now tables.Instant, limit Limit) float64 {
	own := b.demand.value(now)
	if own < idleDemandFraction*limit.Rate {
		return 0
	}
	return own
}

// totalDemand is the demand of all zones.
func (b *sharedBucket) totalDemand(now tables.Instant) float64 {
	total := b.demand.value(now)
	for _, r := range b.peers {
		total += r.demand
	}
	return total
}

// grantOrRevokeLeases decides whether the instance may go on without asking. When the level becomes low
// it returns those that hold a grantOrRevokeLeases.
func (b *sharedBucket) grantOrRevokeLeases(now tables.Instant, by tables.InstanceID, limit Limit, reply *DebitReply) (revoked []tables.InstanceID) {
	if limit.Strict {
		return nil
	}
	if b.level >= leaseMinFraction*limit.Burst {
		b.leases[by] = now + leaseDuration
		reply.Lease = leaseDuration
		return nil
	}
	for id, until := range b.leases {
		if until > now && id != by {
			revoked = append(revoked, id)
		}
	}
	clear(b.leases)
	return revoked
}

// nextRetryAfter is when a refused caller had better come back: one after the other, as the
// bucket refills. Under a strict limit the request goes elsewhere and nobody comes back for it,
// so it is when the next one may be admitted.
func (b *sharedBucket) nextRetryAfter(now tables.Instant, limit Limit, cost int64) time.Duration {
	if limit.Strict {
		return b.timeUntilAdmits(limit, cost, 1)
	}
	b.nextRetryAt = max(b.nextRetryAt, now+b.timeUntilAdmits(limit, cost, 1))
	after := b.nextRetryAt - now
	b.nextRetryAt = min(b.nextRetryAt+time.Duration(float64(cost)/limit.Rate*float64(time.Second)), now+maxRetryAfter)
	return after
}

// reportDue says whether a report of the account is to be sent now.
func (b *sharedBucket) reportDue(now tables.Instant, limit Limit) bool {
	since := now - b.reportedAt
	if since >= reportInterval {
		return b.admitted != b.reportedTotal || b.reportedDemand > 0 || b.activeDemand(now, limit) > 0
	}
	used := float64(b.admitted - b.reportedTotal)
	return since >= earlyReportInterval && used > earlyReportFraction*limit.Burst
}
