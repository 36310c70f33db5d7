// Package usage is a distributed rate limiter. It limits the tokens or requests that an
// organisation uses per second, and the requests that an endpoint receives per second, over
// all entry instances together.
//
// A limit is a token bucket for the whole deployment. In each availability zone one entry
// instance owns a replica of the bucket; rendezvous hashing over the zone's entry instances
// selects this owner. Entry instances ask the owner in their zone before they forward a
// request. While the bucket is well filled, the owner grants them leases, and a leaseholder
// admits requests without asking. Owners in different zones exchange the running totals of
// what each has admitted (a grow-only counter per owner), so that the next report makes up
// for a lost one.
//
// When a zone falls silent, the other owners assume that it uses its share of the limit: its
// recent use and an equal part of the unused rate. The two sides of a network partition
// compute these shares from what both knew before it, so that the shares add up to the
// limit.
//
// BucketOwner and LocalLimiter do no I/O and read no clock: callers pass readings of one
// monotonic clock. Each is for use by one goroutine at a time. Server and Client wrap them,
// are safe for concurrent use and exchange datagrams.
package usage

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Subject identifies what a limit applies to; it is the key of a token bucket.
type Subject string

// OrganisationSubject returns the subject of an organisation's limit. The configuration sets
// that limit.
func OrganisationSubject(id tables.OrganisationID) Subject { return "organisation/" + Subject(id) }

// EndpointSubject returns the subject of an endpoint's limit. The endpoint announces that
// limit in its responses.
func EndpointSubject(id tables.EndpointID) Subject { return "endpoint/" + Subject(id) }

// Limit holds the parameters of a token bucket, in tokens of text or in requests.
type Limit struct {
	// Rate is the long-term rate per second, and Burst the capacity of the bucket: the
	// amount that can be used at once beyond the rate. A Rate of 0 means no limit.
	Rate, Burst float64
	// Strict marks a limit that must hold even if part of it stays unused: the owner decides
	// about every request without leases, and no request is admitted while no owner replies.
	Strict bool
}

const (
	// minEndpointRequestsPerSecond is the lowest endpoint limit that is enforced. An
	// endpoint can lift its limit only in a response, so some requests must still reach it.
	minEndpointRequestsPerSecond = 0.25
	// endpointBurstRequests is the number of requests that an endpoint can receive at once.
	endpointBurstRequests = 1
)

// EndpointLimit returns the limit to enforce for an endpoint that accepts perSecond requests
// per second.
func EndpointLimit(perSecond float64) Limit {
	return Limit{Rate: max(perSecond, minEndpointRequestsPerSecond), Burst: endpointBurstRequests, Strict: true}
}

// Limited reports whether l limits anything.
func (l Limit) Limited() bool { return l.Rate > 0 }

// partitionTimeout returns the time without reports after which a peer owner counts as
// partitioned.
func (l Limit) partitionTimeout() time.Duration {
	if l.Strict {
		return strictPartitionTimeout
	}
	return partitionTimeout
}

// Tolerance is the amount by which use within a window may exceed a limit before it counts
// as a violation: Overage as a fraction of the limit, plus the absolute amount Slack.
type Tolerance struct{ Overage, Slack float64 }

// toleranceFraction is the fraction of the tolerance that is added to the enforced limit. It
// keeps a request within the limit from being refused because owners see requests in
// different orders. The remainder covers use that no report has brought to the other owners
// yet.
const toleranceFraction = 0.5

// Relax returns the limit to enforce: l raised by toleranceFraction of the tolerance.
func (t Tolerance) Relax(l Limit) Limit {
	factor := 1 + toleranceFraction*t.Overage
	return Limit{Rate: factor * l.Rate, Burst: factor*l.Burst + toleranceFraction*t.Slack}
}

// tokenBucket is a token bucket whose level may become negative. It admits a request that
// costs more than the whole burst once the level reaches requiredFraction of the burst.
type tokenBucket struct {
	level     float64
	updatedAt tables.Instant
}

// refill adds the tokens that have accrued until now at the given share of the limit's rate,
// and caps the level at the burst.
func (b *tokenBucket) refill(now tables.Instant, l Limit, share float64) {
	if now > b.updatedAt {
		b.level += share * l.Rate * (now - b.updatedAt).Seconds()
		b.updatedAt = now
	}
	b.level = min(b.level, l.Burst)
}

// requiredFraction is the fraction of the burst that suffices to admit a request of any
// cost.
const requiredFraction = 0.25

// requiredLevel returns the level at which a request of the given cost is admitted. Small
// requests pass at a lower level than large ones: an organisation at its limit sends many of
// them, and they take little from its other requests.
func requiredLevel(l Limit, cost int64) float64 { return min(float64(cost), requiredFraction*l.Burst) }

// admits reports whether the level is high enough for a request of the given cost.
func (b *tokenBucket) admits(l Limit, cost int64) bool { return b.level >= requiredLevel(l, cost) }

// timeUntilAdmits returns how long the bucket takes, refilled at the given share of the
// limit's rate, until it admits a request of the given cost. The result is at most
// maxRetryAfter.
func (b *tokenBucket) timeUntilAdmits(l Limit, cost int64, share float64) time.Duration {
	missing := requiredLevel(l, cost) - b.level
	if missing <= 0 {
		return 0
	}
	seconds := min(missing/(max(share, minShare)*l.Rate), maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

const (
	// minShare is the smallest share that delays are computed with. It bounds how long a
	// small share of a limit makes a caller wait.
	minShare = 1e-3
	// maxRetryAfter is the longest delay that a refused caller is told to wait.
	maxRetryAfter = 5 * time.Second
)

// demandTimeConstant is the time constant of the exponential decay in averagedRate.
const demandTimeConstant = 2 * time.Second

// averagedRate is an exponentially weighted moving average of an amount per second.
type averagedRate struct {
	perSecond float64
	updatedAt tables.Instant
}

// add counts an amount at the given time.
func (r *averagedRate) add(now tables.Instant, amount float64) {
	r.perSecond = max(0, r.value(now)+amount/demandTimeConstant.Seconds())
	r.updatedAt = now
}

// value returns the average per second, decayed until now.
func (r *averagedRate) value(now tables.Instant) float64 {
	return r.perSecond * math.Exp(-float64(max(0, now-r.updatedAt))/float64(demandTimeConstant))
}

// limitShare returns the fraction of a limit that belongs to one of n participants, given
// its own demand and the total demand of all, both per second. Unused rate is divided
// equally.
func limitShare(own, total, rate float64, n int) float64 {
	if total >= rate {
		return own / total
	}
	return (own + (rate-total)/float64(max(n, 1))) / rate
}
