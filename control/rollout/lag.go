package rollout

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// lagInterval is the interval at which the lag of endpoints is computed.
	lagInterval = 500 * time.Millisecond
	// lagLogAfter is the lag from which an endpoint is logged, every lagLogInterval. A rollout takes some
	// 3 s, and the list shows a change a second late.
	lagLogAfter    = 5 * time.Second
	lagLogInterval = 5 * time.Second
	// maxLoggedLags bounds the endpoints that are logged at once; those that lag longest come first.
	maxLoggedLags = 8
)

// Lag is how far the weights of the endpoints are behind their targets, as far as this instance knows.
type Lag struct {
	// Endpoints counts those that are behind and do not drain.
	Endpoints int
	// Oldest is the longest time for which one of them has been behind.
	Oldest time.Duration
}

// lagKey identifies a process of an endpoint.
type lagKey struct {
	id             tables.EndpointID
	startUnixMilli int64
}

// lagging is an endpoint that serves older weights than their target.
type lagging struct {
	id    tables.EndpointID
	model string
	// version is the older one of the version that is known and of the one that the list shows, listed.
	version, listed, target uint64
	since                   tables.Instant
}

// lagTracker records since when endpoints have been behind the targets.
type lagTracker struct {
	since      map[lagKey]tables.Instant
	computedAt tables.Instant
	loggedAt   tables.Instant
	// orders holds the orders to the endpoints that are behind.
	orders  map[tables.EndpointID]orderHistory
	current atomic.Pointer[Lag]
}

// observe updates the tracker and returns the endpoints that are behind, those that have been so for
// longest first. Weights that the list shows as older than those known count as such.
func (t *lagTracker) observe(now tables.Instant, table *fleet.Table, targets map[string]uint64) []lagging {
	var behind []lagging
	since := make(map[lagKey]tables.Instant)
	listed, _ := table.Listed()
	table.Each(func(e *fleet.Endpoint) {
		model, version := olderThanTarget(e.Weights, listed[e.ID], targets)
		if model == "" || e.Draining {
			return
		}
		key := lagKey{id: e.ID, startUnixMilli: e.StartUnixMilli}
		began, known := t.since[key]
		if !known {
			began = now
		}
		since[key] = began
		behind = append(behind, lagging{id: e.ID, model: model, version: version, listed: listed[e.ID][model], target: targets[model], since: began})
	})
	t.since = since
	t.forgetOrders(behind)
	slices.SortFunc(behind, func(a, b lagging) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id))
	})
	lag := Lag{Endpoints: len(behind)}
	if len(behind) > 0 {
		lag.Oldest = now - behind[0].since
	}
	t.current.Store(&lag)
	return behind
}

// olderThanTarget returns the first model by name whose weights are older than their target, and their
// version; no name if there is none.
func olderThanTarget(known, listed, targets map[string]uint64) (best string, oldest uint64) {
	for model, version := range known {
		if shown, named := listed[model]; named {
			version = min(version, shown)
		}
		if version < targets[model] && (best == "" || model < best) {
			best, oldest = model, version
		}
	}
	return best, oldest
}

// Lag returns how far endpoints are behind their targets. It is safe for concurrent use.
func (r *Controller) Lag() Lag {
	if lag := r.lags.current.Load(); lag != nil {
		return *lag
	}
	return Lag{}
}

// observeLag computes the lag of the endpoints when that is due, and logs those that have been behind for long
// at the instance that holds the lease, or leads while no instance is known to hold it.
func (r *Controller) observeLag(now tables.Instant) {
	targets := r.options.TargetVersions()
	r.planner.recordTargets(now, targets)
	if r.lags.computedAt != 0 && now-r.lags.computedAt < lagInterval {
		return
	}
	r.lags.computedAt = now
	behind := r.lags.observe(now, r.options.Fleet, targets)
	r.observeVersions(now, len(behind) > 0)
	if len(behind) == 0 || now-behind[0].since < lagLogAfter || r.lags.loggedAt != 0 && now-r.lags.loggedAt < lagLogInterval {
		return
	}
	if !r.holdsLease.Load() {
		r.logUnordered(now, behind)
		return
	}
	r.lags.loggedAt = now
	for _, l := range behind[:min(len(behind), maxLoggedLags)] {
		if now-l.since >= lagLogAfter {
			fields := append(r.lags.describeOrders(now, l.id), r.planner.describe(now, l.id)...)
			events.RolloutLagging.Log(r.options.Log, append([]zap.Field{
				zap.String("endpoint", string(l.id)), zap.String("model", l.model), zap.Uint64("weights", l.version),
				zap.Uint64("target", l.target), zap.Duration("behind_for", now-l.since), zap.Uint64("listed", l.listed),
				zap.Int("behind", len(behind)),
			}, fields...)...)
		}
	}
}

// logUnordered logs endpoints that are behind while this instance, the leader, may not send orders.
func (r *Controller) logUnordered(now tables.Instant, behind []lagging) {
	if !r.options.IsLeader() {
		return
	}
	r.lags.loggedAt = now
	events.RolloutWithoutLease.Log(r.options.Log, zap.Int("behind", len(behind)), zap.Duration("behind_for", now-behind[0].since),
		zap.String("lease_holder", string(r.lastHolder)), zap.Duration("requested_in", max(0, r.renewNotBefore-now)), zap.Bool("requesting", r.renewing))
}

// describe returns log fields that tell why an engine gets no order.
func (p *Planner) describe(now tables.Instant, id tables.EndpointID) []zap.Field {
	var holders []string
	overdue := 0
	for other, r := range p.engineStates {
		switch {
		case !r.holdsSlot():
		case p.isOverdue(now, r):
			overdue++
		default:
			holders = append(holders, string(other))
		}
	}
	slices.Sort(holders)
	fields := []zap.Field{zap.Int("slots", p.maxConcurrent()), zap.Strings("slot_holders", holders[:min(len(holders), maxLoggedLags)]), zap.Int("overdue", overdue)}
	r := p.engineStates[id]
	if r == nil {
		return append(fields, zap.String("phase", "unknown"))
	}
	return append(fields, zap.String("phase", r.phase.String()), zap.Duration("in_phase", now-r.phaseSince),
		zap.Bool("sequence_known", r.sequenceKnown), zap.Uint64("sequence", r.sequence), zap.Bool("polling", r.polling), zap.Bool("doubted", r.doubted),
		zap.Bool("unconfirmed", r.unconfirmed), zap.Bool("draining", r.Draining),
		zap.Duration("paused_for", max(0, r.pausedUntil-now)), zap.Duration("delayed_for", max(0, p.notBefore[id]-now)))
}
