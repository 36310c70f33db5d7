package usage

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// sharedBucket is one owner's replica of a subject's token bucket for the whole deployment.
// Reports of the owners in other zones keep the replicas in line.
type sharedBucket struct {
	tokenBucket
	zone tables.Zone
	// carriedLimit is the limit that debits and reports carry, for subjects without a limit
	// in the configuration.
	carriedLimit Limit
	// admitted is the running total of the use that this owner has admitted.
	admitted int64
	// demand is the use per second that this owner is asked for, admitted or not.
	demand averagedRate
	// openedAt is when the replica was created, and usedAt when it was last used.
	openedAt tables.Instant
	usedAt   tables.Instant
	// accountedFrom is the time since which the level accounts for all use: the level was zero
	// or the bucket full at that time.
	accountedFrom tables.Instant
	// peers holds the other owners of this subject: those in other zones, and instances in
	// this zone that others take for its owner, since they know other members.
	peers map[tables.InstanceID]*peerOwner
	// leases maps each leaseholder to the end of its lease.
	leases map[tables.InstanceID]tables.Instant
	// nextRetryAt is when the next refused caller is told to retry.
	nextRetryAt tables.Instant
	// reportedTotal, reportedDemand and reportedAt hold the contents and the time of the
	// last report to the peers.
	reportedTotal  int64
	reportedDemand float64
	reportedAt     tables.Instant
}

// peerOwner is what an owner knows of another owner of the same subject.
type peerOwner struct {
	// zone, bootEpoch, admitted and demand are those of the peer's last report, which came
	// at reportedAt.
	zone       tables.Zone
	bootEpoch  uint64
	admitted   int64
	demand     float64
	reportedAt tables.Instant
	// endedEpoch is the boot epoch of the process before, whose reports may still be on their way.
	endedEpoch uint64
	// openedAt is when the peer began to count admitted.
	openedAt tables.Instant
	// silent is set while no report arrives. The peer is then assumed to use the given share
	// of the limit, which adds up to assumedUse so far.
	silent     bool
	share      float64
	assumedUse float64
	// replaced is set while the peer is silent and needs no share of the limit.
	replaced bool
}

// openedSlack is the difference in time up to which two buckets count as created together. It
// covers the transit of a report and the spread of starts after a failure of all instances.
const openedSlack = time.Second

// addPeer adds a peer by its first report.
func (b *sharedBucket) addPeer(now tables.Instant, id tables.InstanceID, in Report, known bool) *peerOwner {
	peer := &peerOwner{zone: in.Zone, bootEpoch: in.BootEpoch, openedAt: now - in.OpenedAgo}
	b.peers[id] = peer
	if in.OpenedKnown && peer.openedAt >= b.accountedFrom-openedSlack {
		return peer
	}
	peer.admitted = in.Admitted
	if !known || in.OpenedKnown {
		b.level = min(b.level, float64(in.Level))
	}
	return peer
}

// isFromEndedProcess reports whether a report is one of the process before the one that reported last.
func (p *peerOwner) isFromEndedProcess(in Report) bool {
	return in.BootEpoch != p.bootEpoch && in.BootEpoch == p.endedEpoch
}

// restartTotal starts the running total of a peer anew if the peer has restarted or has
// evicted its bucket meanwhile. A new bucket was opened after the last report of the one before. A late
// report makes its bucket seem opened later than it was, but not later than reports of the same one.
func (p *peerOwner) restartTotal(now tables.Instant, in Report) {
	openedAt := now - in.OpenedAgo
	reopened := in.OpenedKnown && openedAt > max(p.openedAt+openedSlack, p.reportedAt)
	if p.bootEpoch != in.BootEpoch {
		p.endedEpoch = p.bootEpoch
	}
	if p.bootEpoch != in.BootEpoch || reopened {
		p.bootEpoch, p.admitted, p.openedAt = in.BootEpoch, 0, openedAt
	}
}

// consume counts an admitted amount and takes it from the level. A negative amount gives
// tokens back.
func (b *sharedBucket) consume(now tables.Instant, amount int64) {
	b.admitted += amount
	b.level -= float64(amount)
}

// advanceTo refills the bucket until now. The shares of silent peers are deducted from the
// rate and counted as assumed use.
func (b *sharedBucket) advanceTo(now tables.Instant, limit Limit) {
	b.markReplacedPeers(now)
	b.reserveForSilentPeers(now, limit)
	left := 1.0
	elapsed := max(0, now-b.updatedAt).Seconds()
	for _, peer := range b.peers {
		if peer.silent {
			left -= peer.share
			peer.assumedUse += peer.share * limit.Rate * elapsed
		}
	}
	b.refill(now, limit, max(0, left))
}

// markReplacedPeers marks silent peers that need no share of the limit any more: those of this
// zone, and those whose zone another owner serves. Their totals are kept until peerTimeout, since
// the whole total of a peer that reports again would be deducted a second time otherwise.
func (b *sharedBucket) markReplacedPeers(now tables.Instant) {
	for _, peer := range b.peers {
		if b.isReplaced(now, peer) {
			peer.replaced, peer.demand = true, 0
			peer.silent, peer.assumedUse = false, 0
		}
	}
}

// isReplaced reports whether a peer is silent and another owner serves its zone.
func (b *sharedBucket) isReplaced(now tables.Instant, peer *peerOwner) bool {
	if peer.zone == b.zone && now-peer.reportedAt > partitionTimeout {
		return true
	}
	for _, other := range b.peers {
		if other.zone == peer.zone && other.reportedAt > peer.reportedAt+partitionTimeout {
			return true
		}
	}
	return false
}

// activePeers returns the number of peers that are not replaced.
func (b *sharedBucket) activePeers() int {
	count := 0
	for _, peer := range b.peers {
		if !peer.replaced {
			count++
		}
	}
	return count
}

// reserveForSilentPeers detects peers that have fallen silent, and reserves their share of
// the limit and of the tokens left in the bucket. It drops peers that stay silent for longer
// than peerTimeout.
func (b *sharedBucket) reserveForSilentPeers(now tables.Instant, limit Limit) {
	total := b.totalDemand(now)
	for id, peer := range b.peers {
		switch {
		case now-peer.reportedAt > peerTimeout:
			delete(b.peers, id)
		case !peer.silent && now-peer.reportedAt > limit.partitionTimeout() && peer.demand > 0:
			peer.silent = true
			peer.share = limitShare(peer.demand, total, limit.Rate, b.activePeers()+1)
			peer.assumedUse = peer.share * max(0, b.level)
			b.level -= peer.assumedUse
		}
	}
}

// activeDemand returns the demand to report to the peers: 0 if it is negligible, since peers
// reserve a share of the limit for a silent owner only if it had demand.
func (b *sharedBucket) activeDemand(now tables.Instant, limit Limit) float64 {
	own := b.demand.value(now)
	if own < idleDemandFraction*limit.Rate {
		return 0
	}
	return own
}

// totalDemand returns the demand of all zones per second.
func (b *sharedBucket) totalDemand(now tables.Instant) float64 {
	total := b.demand.value(now)
	for _, peer := range b.peers {
		total += peer.demand
	}
	return total
}

// grantOrRevokeLeases grants the asking instance a lease while the level is high enough.
// When the level is low, it revokes all leases and returns the other instances that hold
// one.
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

// nextRetryAfter returns the delay after which a refused caller should retry. Retries are
// staggered, one after the other at the rate of the bucket's refill. Under a strict limit
// the caller sends its request to another endpoint and does not retry, so the delay is the
// time until the next request can be admitted.
func (b *sharedBucket) nextRetryAfter(now tables.Instant, limit Limit, cost int64) time.Duration {
	if limit.Strict {
		return b.timeUntilAdmits(limit, cost, 1)
	}
	b.nextRetryAt = max(b.nextRetryAt, now+b.timeUntilAdmits(limit, cost, 1))
	retryAfter := b.nextRetryAt - now
	b.nextRetryAt = min(b.nextRetryAt+time.Duration(float64(cost)/limit.Rate*float64(time.Second)), now+maxRetryAfter)
	return retryAfter
}

// reportDue reports whether a report of the bucket should be sent to the peers now.
func (b *sharedBucket) reportDue(now tables.Instant, limit Limit) bool {
	since := now - b.reportedAt
	if since >= reportInterval {
		return b.admitted != b.reportedTotal || b.reportedDemand > 0 || b.activeDemand(now, limit) > 0
	}
	used := float64(b.admitted - b.reportedTotal)
	return since >= earlyReportInterval && used > earlyReportFraction*limit.Burst
}
