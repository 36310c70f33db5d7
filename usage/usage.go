// Package usage enforces rate limits over all entry instances together: how many tokens, or
// requests, an organisation may use a second, and how many requests an endpoint takes.
//
// In each availability zone one entry instance keeps the account of a subject, an organisation
// or an endpoint: its accountant, drawn by rendezvous hashing. The account is a token bucket
// for the whole deployment. Entry instances ask the accountant of their zone before they send a request
// on; while the bucket is well filled they hold a lease and need not ask. Accountants of
// different zones exchange how much each has admitted, as running totals, so a lost
// message is made good by the next.
//
// A zone that falls silent is taken to use its part of the limit: what it used of late and
// an equal part of what nobody used. Each side of a cut computes the same parts from what
// both knew before it, so that the parts sum up to the limit.
//
// Accountant and Meter are pure: calls carry readings of one monotonic clock. They are
// used by one goroutine at a time. Server and Client are safe for concurrent use and speak
// in datagrams.
package usage

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Subject is what a limit is for.
type Subject string

// OrganisationSubject is that of an organisation's limit, which the configuration names.
func OrganisationSubject(id tables.OrganisationID) Subject { return "organisation/" + Subject(id) }

// EndpointSubject is that of an endpoint's limit, which the endpoint names in its answers.
func EndpointSubject(id tables.EndpointID) Subject { return "endpoint/" + Subject(id) }

// Limit is a rate limit in tokens or requests.
type Limit struct {
	// Rate is the use a second that is allowed in the long run, and Burst what may be
	// used at once beyond it. A Rate of 0 means no limit.
	Rate, Burst float64
	// Strict is set for a limit that must hold also if that leaves some of it unused: each
	// request is asked about, and none is admitted while no accountant answers.
	Strict bool
}

const (
	// minEndpointRequestsPerSecond is the least rate of an endpoint's limit that is enforced, in requests
	// a second: only by its answers an endpoint can lift a limit.
	minEndpointRequestsPerSecond = 0.25
	// endpointBurstRequests is the number of requests that an endpoint may get at once.
	endpointBurstRequests = 1
)

// EndpointLimit is what is enforced where an endpoint takes so many requests a second.
func EndpointLimit(perSecond float64) Limit {
	return Limit{Rate: max(perSecond, minEndpointRequestsPerSecond), Burst: endpointBurstRequests, Strict: true}
}

// Limited says whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

func (l Limit) partitionTimeout() time.Duration {
	if l.Strict {
		return strictPartitionTimeout
	}
	return partitionTimeout
}

// Tolerance is by how much use may exceed a limit within a window before that counts as an
// excess: by Overage as a part of the limit, and by Slack beyond that.
type Tolerance struct{ Overage, Slack float64 }

// toleranceFraction is the part of the tolerance that is given out, so that no request within
// the limit is refused because accounts differ in the order of requests. The rest is for
// what no report has brought to the accounts yet.
const toleranceFraction = 0.5

// Relax returns the limit that accounts enforce.
func (t Tolerance) Relax(l Limit) Limit {
	factor := 1 + toleranceFraction*t.Overage
	return Limit{Rate: factor * l.Rate, Burst: factor*l.Burst + toleranceFraction*t.Slack}
}

// tokenBucket is a token tokenBucket that may go into debt: a request that costs more than the
// tokenBucket holds when it is full is admitted at a level of requiredPart of that.
type tokenBucket struct {
	level     float64
	updatedAt tables.Instant
}

// refill brings the level up to date, at a part of the limit's rate.
func (b *tokenBucket) refill(now tables.Instant, l Limit, share float64) {
	if now > b.updatedAt {
		b.level += share * l.Rate * (now - b.updatedAt).Seconds()
		b.updatedAt = now
	}
	b.level = min(b.level, l.Burst)
}

// requiredFraction is the part of the burst that is enough for a request of any cost.
const requiredFraction = 0.25

// requiredLevel is the level at which a request is admitted. Small requests pass at a lower one:
// of an organisation that is at its limit they are many, and cost others little.
func requiredLevel(l Limit, cost int64) float64 { return min(float64(cost), requiredFraction*l.Burst) }

// admits says whether the level is high enough for a request.
func (b *tokenBucket) admits(l Limit, cost int64) bool { return b.level >= requiredLevel(l, cost) }

// timeUntilAdmits is how long the bucket needs until it admits a request, at a part of the
// limit's rate.
func (b *tokenBucket) timeUntilAdmits(l Limit, cost int64, share float64) time.Duration {
	missing := requiredLevel(l, cost) - b.level
	if missing <= 0 {
		return 0
	}
	seconds := min(missing/(max(share, minShare)*l.Rate), maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

const (
	// minShare bounds how long a part of a limit makes a caller wait.
	minShare = 1e-3
	// maxRetryAfter bounds the time after which refused callers are asked to come back.
	maxRetryAfter = 5 * time.Second
)

// demandTimeConstant is the time constant with which demand is averaged.
const demandTimeConstant = 2 * time.Second

// averagedRate is a use a second that is averaged with exponential decay.
type averagedRate struct {
	perSecond float64
	updatedAt tables.Instant
}

func (d *averagedRate) add(now tables.Instant, amount float64) {
	d.perSecond = max(0, d.value(now)+amount/demandTimeConstant.Seconds())
	d.updatedAt = now
}

func (d *averagedRate) value(now tables.Instant) float64 {
	return d.perSecond * math.Exp(-float64(max(0, now-d.updatedAt))/float64(demandTimeConstant))
}

// limitShare is the part of a limit that falls to one of n with the given demand, where total
// is the demand of all. What nobody asks for is divided equally.
func limitShare(own, total, rate float64, n int) float64 {
	if total >= rate {
		return own / total
	}
	return (own + (rate-total)/float64(max(n, 1))) / rate
}
