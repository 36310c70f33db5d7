package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Decision is what one instance has chosen for a request of another.
type Decision struct {
	Endpoint tables.EndpointID
	// CacheSource and CacheStore are those of the attempt; empty for none.
	CacheSource, CacheStore tables.EndpointID
	WeightsVersion          uint64
	ExpectedLatency         time.Duration
	UncachedTokens          int
	Rule                    PlacementRule
	// Limit is what is known of the endpoint's rate limit; nil for nothing.
	Limit *RateLimitReport
}

// Decision is the attempt as another instance needs it now.
func (a *Attempt) Decision(now tables.Instant) Decision {
	return Decision{
		Endpoint: a.Endpoint.ID, CacheSource: a.CacheSource.ID, CacheStore: a.CacheStore.ID, WeightsVersion: a.WeightsVersion,
		ExpectedLatency: a.ExpectedLatency, UncachedTokens: a.UncachedTokens, Rule: a.Rationale.Rule, Limit: a.row.limit.report(now),
	}
}

// remoteAttempts is what of an endpoint's own load other instances have chosen.
type remoteAttempts struct {
	attempts, memoryTokens int
	prefillTokens          float64
}

// remove takes an attempt out.
func (o *remoteAttempts) remove(a *Attempt) {
	o.attempts--
	o.memoryTokens -= a.memoryTokens
	if !a.responseStarted {
		o.prefillTokens -= a.prefillTokens
	}
}

// AcceptDecision counts an attempt that another instance has chosen for this one's request.
// It returns nil if this instance knows that the endpoint must not have it. The
// other one counts the attempt too and tells of it, so this one does not.
func (d *Dispatcher) AcceptDecision(now tables.Instant, r *Request, chosen Decision) *Attempt {
	row := d.endpoints[chosen.Endpoint]
	if row != nil {
		row.limit.merge(now, chosen.Limit)
	}
	if row == nil || r.hasTried(row.ID) || row.Weights[r.Model] > chosen.WeightsVersion {
		return nil
	}
	if row.Weights[r.Model] < chosen.WeightsVersion {
		d.RecordServedVersion(&Attempt{row: row}, r.Model, chosen.WeightsVersion)
	}
	// Whether the endpoint loads weights at this moment is left to the chooser: the
	// two learn of it at different moments.
	if !row.acceptsRequests(now) || row.limit.exhausted(now) || !d.versionAllowed(now, r.Model, chosen.WeightsVersion) {
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
		isGeneration:    true,
		remotelyPlaced:  true,
	}
	if source := d.endpoints[chosen.CacheSource]; source != nil && source.canServeFetch(now) {
		a.CacheSource = source.Endpoint
	}
	if store := d.endpoints[chosen.CacheStore]; store != nil && !store.Draining {
		a.CacheStore = store.Endpoint
	}
	// Where only a confirmed endpoint was asked for, the chooser has heard from this one.
	if r.DeliveredAttempts > 0 && !r.ConfirmedOnly && !d.addressConfirmed(now, row) {
		d.countUnconfirmed(now, a)
	}
	row.attempts++
	row.memoryTokens += a.memoryTokens
	row.prefillTokens += a.prefillTokens
	row.remotelyPlaced.attempts++
	row.remotelyPlaced.memoryTokens += a.memoryTokens
	row.remotelyPlaced.prefillTokens += a.prefillTokens
	for _, part := range r.SharedParts {
		key := part.ID.KeyAt(a.WeightsVersion)
		if _, fresh := d.cache.record(now, now+a.ExpectedLatency+readyMargin, key, row); fresh {
			a.addedParts = append(a.addedParts, key)
		}
	}
	return a
}

// SetSchedulerCounts notes how many other instances choose endpoints at the same time, each for
// an equal share of the requests: those that receive a choice at once, and those of
// other zones that receive it later.
func (d *Dispatcher) SetSchedulerCounts(near, remote int) {
	d.schedulers, d.remoteSchedulers = float64(max(near, 0)), float64(max(remote, 0))
}
