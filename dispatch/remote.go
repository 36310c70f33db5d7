package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Decision is the placement that a remote scheduler, another instance, has made for a
// request of this instance.
type Decision struct {
	// Endpoint is the chosen endpoint.
	Endpoint tables.EndpointID
	// CacheSource and CacheStore are those of the attempt; empty if the attempt has none.
	CacheSource, CacheStore tables.EndpointID
	// Backup is that of the attempt; empty if the attempt has none.
	Backup tables.EndpointID
	// WeightsVersion, ExpectedLatency, UncachedTokens and Rule are those of the attempt.
	WeightsVersion  uint64
	ExpectedLatency time.Duration
	UncachedTokens  int
	Rule            PlacementRule
	// Limit is the scheduler's knowledge of the endpoint's rate limit; nil if it has
	// none.
	Limit *RateLimitReport
	// Scheduler is the instance that has made the placement. It is not part of an answer; the
	// instance that asked sets it.
	Scheduler tables.InstanceID
}

// Decision returns the attempt in the form that is sent to the instance that received the
// request.
func (a *Attempt) Decision(now tables.Instant) Decision {
	return Decision{
		Endpoint: a.Endpoint.ID, CacheSource: a.CacheSource.ID, CacheStore: a.CacheStore.ID, Backup: a.Backup.ID, WeightsVersion: a.WeightsVersion,
		ExpectedLatency: a.ExpectedLatency, UncachedTokens: a.UncachedTokens, Rule: a.Rationale.Rule, Limit: a.row.limit.report(now),
	}
}

// remoteAttempts is the part of this instance's load at an endpoint that remote
// schedulers have placed. The schedulers report that part, so this instance leaves it out
// of its own load reports.
type remoteAttempts struct {
	attempts, memoryTokens int
	prefillTokens          float64
}

// remove subtracts an attempt that has ended.
func (o *remoteAttempts) remove(a *Attempt) {
	o.attempts--
	o.memoryTokens -= a.memoryTokens
	if !a.responseStarted {
		o.prefillTokens -= a.prefillTokens
	}
}

// AcceptDecision counts an attempt that a remote scheduler has placed for a request of
// this instance. It returns nil if this instance knows that the endpoint must not receive
// the request. The scheduler counts the attempt too and reports it to the other
// instances, so this instance reports neither its load nor its cached parts.
func (d *Dispatcher) AcceptDecision(now tables.Instant, r *Request, chosen Decision) *Attempt {
	row := d.endpoints[chosen.Endpoint]
	if row != nil {
		row.limit.merge(now, chosen.Limit)
	}
	if row == nil || r.excludes(row) || row.announced.pushedBack(now) || row.Weights[r.Model] > chosen.WeightsVersion {
		return nil
	}
	if row.Weights[r.Model] < chosen.WeightsVersion {
		d.RecordServedVersion(&Attempt{row: row}, r.Model, chosen.WeightsVersion)
	}
	// Whether the endpoint is loading weights now is not checked: the two instances learn
	// of the start and the end of loading at different times, and the scheduler has
	// checked it.
	if !row.acceptsRequests(now) || !row.hasPath(now) || row.limit.exhausted(now) || !d.mayBeginAt(now+chosen.ExpectedLatency, r.Model, chosen.WeightsVersion) {
		return nil
	}
	a := &Attempt{
		Endpoint:        row.Endpoint,
		WeightsVersion:  chosen.WeightsVersion,
		ExpectedLatency: chosen.ExpectedLatency,
		UncachedTokens:  chosen.UncachedTokens,
		Rationale:       Rationale{Rule: chosen.Rule, OwnAttempts: row.attempts, OtherAttempts: int(row.otherAttempts(now) + 0.5), FailureScore: row.currentFailureScore(now), SinceResponse: row.sinceResponse(now)},
		row:             row,
		startedAt:       now,
		memoryTokens:    r.memoryTokens(),
		prefillTokens:   float64(chosen.UncachedTokens),
		Relayed:         !row.reachableOver(now, direct),
		isGeneration:    true,
		remotelyPlaced:  true,
		scheduler:       chosen.Scheduler,
	}
	a.markStream(now, r)
	d.nameAvoided(now, &a.Rationale, row.Service)
	source := d.endpoints[chosen.CacheSource]
	if source != nil && source.canServeFetch(now) && source.Weights[r.Model] <= a.WeightsVersion {
		a.CacheSource = source.Endpoint
	}
	if store := d.endpoints[chosen.CacheStore]; store != nil && !store.Draining {
		a.CacheStore = store.Endpoint
	}
	// For a request with ConfirmedOnly the scheduler itself has a recent response of the
	// endpoint.
	if r.DeliveredAttempts > 0 && !r.ConfirmedOnly && !d.addressConfirmed(now, row) {
		d.countUnconfirmed(now, a)
	}
	d.countChosenBackup(now, r, a, chosen.Backup)
	row.attempts++
	row.memoryTokens += a.memoryTokens
	row.prefillTokens += a.prefillTokens
	row.remotelyPlaced.attempts++
	row.remotelyPlaced.memoryTokens += a.memoryTokens
	row.remotelyPlaced.prefillTokens += a.prefillTokens
	d.classifyParts(now, r, a)
	for _, part := range r.SharedParts {
		key := part.ID.KeyAt(a.WeightsVersion)
		if _, fresh := d.cache.record(now, now+a.ExpectedLatency+readyMargin, key, row); fresh {
			a.addedParts = append(a.addedParts, key)
		}
	}
	return a
}

// SetSchedulerCounts sets how many other instances place requests concurrently, each an
// equal share of them: direct counts instances that receive cache updates directly,
// remote those of other zones, which receive them later.
func (d *Dispatcher) SetSchedulerCounts(direct, remote int) {
	d.schedulers, d.remoteSchedulers = float64(max(direct, 0)), float64(max(remote, 0))
}
