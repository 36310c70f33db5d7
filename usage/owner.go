package usage

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// leaseDuration is how long an instance may admit requests without asking, and leasePart
	// the part of the burst that must be left for it. Within the lease instances may use
	// more than is left; that part bounds by how much.
	leaseDuration    = time.Second
	leaseMinFraction = 0.5
	// partitionTimeout is after how long without a report another accountant counts as cut
	// off. Accountants of accounts in use report several times in it.
	partitionTimeout = 1200 * time.Millisecond
	// strictPartitionTimeout is the same for strict limits: until then each side of a cut uses
	// the whole limit, and a false alarm only leaves some of it unused.
	strictPartitionTimeout = 600 * time.Millisecond
	// reportInterval is the time between two reports of an account whose level is high,
	// tightPeriod that of others, and reportPart the part of the burst whose use brings
	// the next report forward to tightPeriod.
	reportInterval      = 400 * time.Millisecond
	earlyReportInterval = 50 * time.Millisecond
	earlyReportFraction = 1.0 / 16
	// idleDemandFraction is the part of the limit's rate below which a demand counts as none.
	idleDemandFraction = 0.01
	// levelAdoptionWindow is how long after it was opened an account takes over levels that instances
	// have from the accountant before.
	levelAdoptionWindow = time.Second
	// bucketIdleTimeout is after how long without use an account is forgotten. Its bucket is full
	// by then: bursts are a few seconds' worth of the rate.
	bucketIdleTimeout = 30 * time.Second
	// peerTimeout is after how long a silent accountant no longer counts. Instances of
	// its zone that live have another accountant by then.
	peerTimeout = 2 * time.Minute
)

// Debit is what an entry instance asks of an accountant: to admit one request, to note use
// that it has admitted under a lease, or both.
type Debit struct {
	Subject Subject
	// Limit is the subject's as the instance knows it, if the configuration names none.
	Limit Limit
	// Cost is that of the request to admit; 0 if there is none.
	Cost int64
	// Spent is use that was admitted without asking; negative gives back what was
	// charged for requests that did not run.
	Spent int64
	// Level is the account's in the last answer, as of LevelAge ago, if
	// LevelKnown is set. An accountant that has just taken over learns it from there.
	LevelKnown bool
	Level      int64
	LevelAge   time.Duration
}

// DebitReply is an accountant's answer to a Debit.
type DebitReply struct {
	// Ready is false if the accountant does not know the subject or its limit.
	Ready    bool
	Admitted bool
	// RetryAfter is when a refused caller had better come back.
	RetryAfter time.Duration
	// Lease is for how long the instance may admit without asking.
	Lease time.Duration
	// Level is what is left of the burst, and Demand the demand of all instances a second.
	Level, Demand int64
}

// Report is what one accountant sends another of an account.
type Report struct {
	Subject Subject
	// Limit is the subject's, if the configuration names none.
	Limit Limit
	// Zone is the accountant's.
	Zone tables.Zone
	// Admitted is the running total of what the accountant has admitted in its life,
	// which Life tells from others.
	Admitted  int64
	BootEpoch uint64
	// Demand is what callers ask of the accountant a second.
	Demand int64
	// Level is the account's level there.
	Level int64
}

// BucketOwner keeps the accounts of subjects for its zone.
type BucketOwner struct {
	bootEpoch uint64
	zone      tables.Zone
	// unaccountedUntil is until when use may have been counted elsewhere without a report to this
	// accountant: its start, or the loss of another one of its zone.
	unaccountedUntil tables.Instant
	limits           map[Subject]Limit
	// buckets holds those in use.
	buckets map[Subject]*sharedBucket
	sweptAt tables.Instant
}

// NewBucketOwner returns an accountant without accounts. Life tells it from those of the
// same instance before a restart.
func NewBucketOwner(now tables.Instant, zone tables.Zone, life uint64) *BucketOwner {
	return &BucketOwner{bootEpoch: life, zone: zone, unaccountedUntil: now, buckets: map[Subject]*sharedBucket{}}
}

// SetLimits puts limits in force. What was used under the limit before counts under the
// next one. A higher burst can be used at once.
func (o *BucketOwner) SetLimits(limits map[Subject]Limit) {
	for id, acc := range o.buckets {
		acc.level += max(0, limits[id].Burst-o.limits[id].Burst)
	}
	o.limits = limits
}

// NoteOwnerLost notes that another accountant of the zone may be gone, with its accounts.
func (o *BucketOwner) NoteOwnerLost(now tables.Instant) { o.unaccountedUntil = now }

// Debit takes use into an account and decides about a request. Holders lists the instances
// whose leases end by it: the level has become low.
func (o *BucketOwner) Debit(now tables.Instant, by tables.InstanceID, d Debit) (reply DebitReply, revoked []tables.InstanceID) {
	limit := o.limitOf(d.Subject, d.Limit)
	if !limit.Limited() {
		return DebitReply{}, nil
	}
	acc := o.bucketFor(now, d.Subject, limit)
	if d.Limit.Limited() {
		acc.carriedLimit = d.Limit
	}
	acc.advanceTo(now, limit)
	if d.LevelKnown && now-acc.openedAt <= levelAdoptionWindow {
		acc.level = min(acc.level, float64(d.Level)+limit.Rate*d.LevelAge.Seconds())
	}
	acc.consume(now, d.Spent)
	acc.demand.add(now, float64(max(0, d.Spent)+d.Cost))
	reply = DebitReply{Ready: true, Admitted: d.Cost == 0 || acc.admits(limit, d.Cost)}
	switch {
	case !reply.Admitted:
		reply.RetryAfter = acc.nextRetryAfter(now, limit, d.Cost)
	default:
		acc.consume(now, d.Cost)
	}
	revoked = acc.grantOrRevokeLeases(now, by, limit, &reply)
	reply.Level, reply.Demand = floorLevel(acc.level), int64(acc.totalDemand(now))
	return reply, revoked
}

// limitOf is a subject's limit: the configuration's, or else the one that is named.
func (o *BucketOwner) limitOf(id Subject, carried Limit) Limit {
	if limit, configured := o.limits[id]; configured {
		return limit
	}
	if acc := o.buckets[id]; acc != nil && !carried.Limited() {
		return acc.carriedLimit
	}
	return carried
}

// floorLevel rounds down: what is passed on of a level must not add to it.
func floorLevel(level float64) int64 { return int64(math.Floor(level)) }

// bucketFor returns an bucketFor, opened if there is none.
//
// What was used before the accountant's start, or before another one was lost, is not known
// and counts as spent: the level begins at zero then. So instances may be restarted without
// the limit of a window that spans the restart being exceeded.
func (o *BucketOwner) bucketFor(now tables.Instant, id Subject, limit Limit) *sharedBucket {
	acc := o.buckets[id]
	if acc == nil {
		acc = &sharedBucket{
			tokenBucket: tokenBucket{updatedAt: o.unaccountedUntil},
			zone:        o.zone,
			openedAt:    now,
			peers:       map[tables.InstanceID]*peerOwner{},
			leases:      map[tables.InstanceID]tables.Instant{},
		}
		acc.refill(now, limit, 1)
		o.buckets[id] = acc
	}
	acc.usedAt = now
	return acc
}

// ApplyReport takes another accountant's report.
func (o *BucketOwner) ApplyReport(now tables.Instant, from tables.InstanceID, in Report) {
	limit := o.limitOf(in.Subject, in.Limit)
	if !limit.Limited() {
		return
	}
	_, known := o.buckets[in.Subject]
	acc := o.bucketFor(now, in.Subject, limit)
	acc.advanceTo(now, limit)
	if !known {
		acc.level = min(acc.level, float64(in.Level))
		acc.carriedLimit = in.Limit
	}
	r := acc.peers[from]
	if r == nil {
		r = &peerOwner{zone: in.Zone, bootEpoch: in.BootEpoch, admitted: in.Admitted}
		acc.peers[from] = r
	}
	if r.bootEpoch != in.BootEpoch {
		r.bootEpoch, r.admitted = in.BootEpoch, 0
	}
	if in.Admitted > r.admitted || r.silent {
		acc.level -= float64(in.Admitted-r.admitted) - r.assumedUse
	}
	r.admitted = max(r.admitted, in.Admitted)
	r.silent, r.assumedUse = false, 0
	r.demand, r.reportedAt = float64(in.Demand), now
}

// DueReports lists what is to be sent to the other accountants now.
func (o *BucketOwner) DueReports(now tables.Instant) []Report {
	o.evictIdle(now)
	var due []Report
	for id, acc := range o.buckets {
		limit := o.limitOf(id, acc.carriedLimit)
		if !acc.reportDue(now, limit) {
			continue
		}
		acc.advanceTo(now, limit)
		acc.reportedTotal, acc.reportedDemand, acc.reportedAt = acc.admitted, acc.activeDemand(now, limit), now
		due = append(due, Report{
			Subject: id, Limit: acc.carriedLimit, Zone: o.zone, Admitted: acc.admitted, BootEpoch: o.bootEpoch,
			Demand: int64(acc.reportedDemand), Level: floorLevel(acc.level),
		})
	}
	return due
}

// Empty says whether there is nothing to report for now.
func (o *BucketOwner) Empty() bool { return len(o.buckets) == 0 }

// Peers lists the accountants that have reported of an account.
func (o *BucketOwner) Peers(id Subject) []tables.InstanceID {
	acc := o.buckets[id]
	if acc == nil {
		return nil
	}
	var all []tables.InstanceID
	for peer := range acc.peers {
		all = append(all, peer)
	}
	return all
}

// evictIdle forgets accounts that are not in use.
func (o *BucketOwner) evictIdle(now tables.Instant) {
	if now-o.sweptAt < time.Second {
		return
	}
	o.sweptAt = now
	for id, acc := range o.buckets {
		if now-acc.usedAt > bucketIdleTimeout || !o.limitOf(id, acc.carriedLimit).Limited() {
			delete(o.buckets, id)
		}
	}
}
