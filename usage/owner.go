package usage

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// leaseDuration is how long a leaseholder admits requests without asking. Leaseholders
	// together can use more tokens than are left; leaseMinFraction, the fraction of the
	// burst that must be left for a lease, bounds the excess.
	leaseDuration    = time.Second
	leaseMinFraction = 0.5
	// partitionTimeout is the time without a report after which a peer counts as
	// partitioned. The owner of a bucket in use sends several reports within this time.
	partitionTimeout = 1200 * time.Millisecond
	// strictPartitionTimeout is the same for strict limits. It is shorter because until then
	// each side of a partition uses the whole limit, while a false alarm only leaves part of
	// the limit unused.
	strictPartitionTimeout = 600 * time.Millisecond
	// reportInterval is the regular interval between two reports of a bucket. Once the use
	// since the last report exceeds earlyReportFraction of the burst, the next one is sent
	// after earlyReportInterval.
	reportInterval      = 400 * time.Millisecond
	earlyReportInterval = 50 * time.Millisecond
	earlyReportFraction = 1.0 / 16
	// idleDemandFraction is the fraction of a limit's rate below which demand counts as
	// zero.
	idleDemandFraction = 0.01
	// levelAdoptionWindow is how long after its creation a replica adopts lower levels that
	// entry instances know from the previous owner.
	levelAdoptionWindow = time.Second
	// bucketIdleTimeout is how long an unused bucket is kept. The bucket is full by then,
	// since a burst is worth a few seconds of the rate.
	bucketIdleTimeout = 30 * time.Second
	// peerTimeout is how long a silent peer is kept. The entry instances that are alive in
	// its zone have another owner by then.
	peerTimeout = 2 * time.Minute
)

// Debit is the request of an entry instance to a bucket's owner: to admit one request, to
// count use that the instance has admitted under a lease, or both.
type Debit struct {
	Subject Subject
	// Limit is the subject's limit as the entry instance knows it, if the configuration sets
	// none.
	Limit Limit
	// Cost is the cost of the request to admit; 0 if there is none.
	Cost int64
	// Spent is the use that was admitted without asking. A negative amount gives back what
	// was charged for requests that did not run.
	Spent int64
	// Level is the level that the owner's last reply carried, which came LevelAge ago, if
	// LevelKnown is set. A new owner initialises its bucket from it.
	LevelKnown bool
	Level      int64
	LevelAge   time.Duration
}

// demand returns the use that the debit asks for, admitted or not.
func (d *Debit) demand() float64 { return float64(max(0, d.Spent) + d.Cost) }

// DebitReply is an owner's reply to a Debit.
type DebitReply struct {
	// Ready is false if the owner does not know the subject's limit.
	Ready bool
	// Admitted is the decision about the request; it is true if the debit held none.
	Admitted bool
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	// Lease is how long the entry instance may admit requests without asking; 0 means no
	// lease.
	Lease time.Duration
	// Level is the level of the bucket, negative if it is overdrawn, and Demand the use per
	// second that all instances ask for.
	Level, Demand int64
}

// Report is an owner's message to its peers about one bucket.
type Report struct {
	Subject Subject
	// Limit is the subject's limit, if the configuration sets none.
	Limit Limit
	// Zone is the availability zone of the sender.
	Zone tables.Zone
	// Admitted is the running total of what the sender has admitted since it created its
	// bucket. BootEpoch tells totals before and after a restart of the sender apart.
	Admitted  int64
	BootEpoch uint64
	// Demand is the use per second that the sender is asked for.
	Demand int64
	// Level is the level of the sender's replica of the bucket.
	Level int64
	// OpenedAgo is how long ago the sender created its bucket, if OpenedKnown is set.
	OpenedKnown bool
	OpenedAgo   time.Duration
}

// BucketOwner holds the token buckets that one entry instance owns on behalf of its zone.
type BucketOwner struct {
	bootEpoch uint64
	zone      tables.Zone
	// unaccountedUntil is the time before which use may have been admitted that this owner
	// has no report of: its start, or the loss of another entry instance in its zone.
	unaccountedUntil tables.Instant
	limits           map[Subject]Limit
	// buckets holds the buckets in use.
	buckets map[Subject]*sharedBucket
	sweptAt tables.Instant
}

// NewBucketOwner returns an owner without buckets. The boot epoch tells it apart from owners
// on the same instance before a restart.
func NewBucketOwner(now tables.Instant, zone tables.Zone, bootEpoch uint64) *BucketOwner {
	return &BucketOwner{bootEpoch: bootEpoch, zone: zone, unaccountedUntil: now, buckets: map[Subject]*sharedBucket{}}
}

// SetLimits replaces the configured limits. Use under the old limits counts under the new
// ones. Where the burst grows, the difference is available at once.
func (o *BucketOwner) SetLimits(limits map[Subject]Limit) {
	for id, bucket := range o.buckets {
		bucket.level += max(0, limits[id].Burst-o.limits[id].Burst)
	}
	o.limits = limits
}

// EndSettling records that the instance knows the others now. What the level of a bucket
// accounts for until then is incomplete, so tokens beyond those that the next request needs
// count as spent.
func (o *BucketOwner) EndSettling(now tables.Instant) {
	o.unaccountedUntil = now
	for id, bucket := range o.buckets {
		limit := o.limitOf(id, bucket.carriedLimit)
		bucket.advanceTo(now, limit)
		bucket.level = min(bucket.level, requiredFraction*limit.Burst)
	}
}

// NoteOwnerLost records that another owner in the zone may be gone, and its buckets with it.
func (o *BucketOwner) NoteOwnerLost(now tables.Instant) { o.unaccountedUntil = now }

// Debit counts use in a bucket and decides about a request. It returns the instances whose
// leases it has revoked because the level has become low.
func (o *BucketOwner) Debit(now tables.Instant, by tables.InstanceID, d Debit) (reply DebitReply, revoked []tables.InstanceID) {
	limit := o.limitOf(d.Subject, d.Limit)
	if !limit.Limited() {
		return DebitReply{}, nil
	}
	bucket := o.bucketFor(now, d.Subject, limit)
	if d.Limit.Limited() {
		bucket.carriedLimit = d.Limit
	}
	bucket.advanceTo(now, limit)
	if d.LevelKnown && now-bucket.openedAt <= levelAdoptionWindow {
		bucket.level = min(bucket.level, float64(d.Level)+limit.Rate*d.LevelAge.Seconds())
	}
	bucket.consume(now, d.Spent)
	bucket.demand.add(now, d.demand())
	reply = DebitReply{Ready: true, Admitted: d.Cost == 0 || bucket.admits(limit, d.Cost)}
	switch {
	case !reply.Admitted:
		reply.RetryAfter = bucket.nextRetryAfter(now, limit, d.Cost)
	default:
		bucket.consume(now, d.Cost)
	}
	revoked = bucket.grantOrRevokeLeases(now, by, limit, &reply)
	reply.Level, reply.Demand = floorLevel(bucket.level), int64(bucket.totalDemand(now))
	return reply, revoked
}

// limitOf returns a subject's limit: the configured one, or else the given limit, or else
// the limit that earlier debits and reports carried.
func (o *BucketOwner) limitOf(id Subject, carried Limit) Limit {
	if limit, configured := o.limits[id]; configured {
		return limit
	}
	if bucket := o.buckets[id]; bucket != nil && !carried.Limited() {
		return bucket.carriedLimit
	}
	return carried
}

// floorLevel rounds a level down, so that rounding in messages never adds tokens.
func floorLevel(level float64) int64 { return int64(math.Floor(level)) }

// bucketFor returns a subject's bucket and creates it if there is none.
//
// Use before the start of this owner, or before the loss of another one, is unknown and
// counts as spent: the level of a new bucket starts at zero at that time. Restarts of
// instances therefore don't let the use exceed the limit within a window that spans them.
func (o *BucketOwner) bucketFor(now tables.Instant, id Subject, limit Limit) *sharedBucket {
	bucket := o.buckets[id]
	if bucket == nil {
		bucket = &sharedBucket{
			tokenBucket: tokenBucket{updatedAt: o.unaccountedUntil},
			zone:        o.zone,
			openedAt:    now,
			peers:       map[tables.InstanceID]*peerOwner{},
			leases:      map[tables.InstanceID]tables.Instant{},
		}
		bucket.refill(now, limit, 1)
		bucket.accountedFrom = now
		if bucket.level < limit.Burst || now-o.unaccountedUntil < MaxSettleTime {
			bucket.accountedFrom = o.unaccountedUntil
		}
		o.buckets[id] = bucket
	}
	bucket.usedAt = now
	return bucket
}

// ApplyReport merges a peer's report into the bucket. Only the growth of the peer's running
// total is deducted, so a lost or repeated report does no harm. A report of a silent peer
// replaces the assumed use by the actual use.
//
// The total of a peer that is not known yet is deducted whole if the peer began to count it
// after this bucket's level had begun to account for use: after a restart many instances own
// the bucket until they know each other, and each of their totals counts. Otherwise the level
// becomes at most that of the peer, which accounts for the peer's use.
func (o *BucketOwner) ApplyReport(now tables.Instant, from tables.InstanceID, in Report) {
	limit := o.limitOf(in.Subject, in.Limit)
	if !limit.Limited() {
		return
	}
	_, known := o.buckets[in.Subject]
	bucket := o.bucketFor(now, in.Subject, limit)
	bucket.advanceTo(now, limit)
	if !known {
		bucket.carriedLimit = in.Limit
	}
	peer := bucket.peers[from]
	if peer == nil {
		peer = bucket.addPeer(now, from, in, known)
	}
	if peer.isFromEndedProcess(in) {
		return
	}
	peer.restartTotal(now, in)
	bucket.level -= float64(max(0, in.Admitted-peer.admitted)) - peer.assumedUse
	peer.admitted = max(peer.admitted, in.Admitted)
	peer.silent, peer.assumedUse, peer.replaced = false, 0, false
	peer.demand, peer.reportedAt = float64(in.Demand), now
}

// DueReports returns the reports to send to the peers now, and evicts idle buckets.
func (o *BucketOwner) DueReports(now tables.Instant) []Report {
	o.evictIdle(now)
	var due []Report
	for id, bucket := range o.buckets {
		limit := o.limitOf(id, bucket.carriedLimit)
		if !bucket.reportDue(now, limit) {
			continue
		}
		bucket.advanceTo(now, limit)
		bucket.reportedTotal, bucket.reportedDemand, bucket.reportedAt = bucket.admitted, bucket.activeDemand(now, limit), now
		due = append(due, Report{
			Subject: id, Limit: bucket.carriedLimit, Zone: o.zone, Admitted: bucket.admitted, BootEpoch: o.bootEpoch,
			Demand: int64(bucket.reportedDemand), Level: floorLevel(bucket.level), OpenedKnown: true, OpenedAgo: now - bucket.openedAt,
		})
	}
	return due
}

// Empty reports whether the owner has no buckets, and so nothing to report.
func (o *BucketOwner) Empty() bool { return len(o.buckets) == 0 }

// Subjects returns the subjects that have a bucket, in no order.
func (o *BucketOwner) Subjects() []Subject { return slices.Collect(maps.Keys(o.buckets)) }

// Peers returns the owners that report the given subject, without those that have been replaced.
func (o *BucketOwner) Peers(id Subject) []tables.InstanceID {
	bucket := o.buckets[id]
	if bucket == nil {
		return nil
	}
	var all []tables.InstanceID
	for id, peer := range bucket.peers {
		if !peer.replaced {
			all = append(all, id)
		}
	}
	return all
}

// evictIdle drops, at most once a second, buckets that are unused or no longer limited.
func (o *BucketOwner) evictIdle(now tables.Instant) {
	if now-o.sweptAt < time.Second {
		return
	}
	o.sweptAt = now
	for id, bucket := range o.buckets {
		if now-bucket.usedAt > bucketIdleTimeout || !o.limitOf(id, bucket.carriedLimit).Limited() {
			delete(o.buckets, id)
		}
	}
}
