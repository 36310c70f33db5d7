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
	"github.com/carawaystile/carawaystile/weights"
)

const (
	// maxLaggingShare is the divisor of the share of a model's endpoints that may lack a version without
	// counting as lag: one endpoint, or a tenth of them.
	maxLaggingShare = 10
	// versionLogAfter is the lag from which a version is logged, every lagLogInterval.
	versionLogAfter = 5 * time.Second
	// maxLoggedVersions bounds the versions that are logged at once; those that lag longest come first.
	maxLoggedVersions = 4
)

// VersionLag is how far a version is from being in place. It lags while two or more of the model's endpoints, and
// over a tenth of them, serve older weights.
type VersionLag struct {
	Model   string
	Version uint64
	// Lacking counts the endpoints that serve older weights, of all Endpoints of the model. Neither includes those
	// that drain.
	Lacking, Endpoints int
	// Age is for how long the version has lagged: for each endpoint the time counts since the version became the target,
	// or since the endpoint became known if that was later.
	Age time.Duration
	// TargetAge is the time since the version became the target.
	TargetAge time.Duration
}

// servingEndpoint is an endpoint with its version of a model's weights.
type servingEndpoint struct {
	version   uint64
	knownFrom tables.Instant
}

// versionTracker computes the lag of each target version.
type versionTracker struct {
	knownFrom map[lagKey]tables.Instant
	// tableVersion is the version of the endpoint table that knownFrom was computed for.
	tableVersion uint64
	loggedAt     tables.Instant
	current      atomic.Pointer[VersionLag]
}

// observe returns the versions that lag, those that have lagged longest first. Unless an endpoint is behind, there are none.
func (t *versionTracker) observe(now tables.Instant, table *fleet.Table, targets *weights.History, isAnyBehind bool) []VersionLag {
	t.recordEndpoints(now, table)
	if !isAnyBehind {
		t.current.Store(nil)
		return nil
	}
	var lags []VersionLag
	for model, endpoints := range t.endpointsByModel(now, table) {
		lags = append(lags, versionLags(now, model, endpoints, targets)...)
	}
	slices.SortFunc(lags, func(a, b VersionLag) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	if len(lags) > 0 {
		t.current.Store(&lags[0])
	} else {
		t.current.Store(nil)
	}
	return lags
}

// endpointsByModel returns the endpoints of each model that do not drain. Weights that the list shows as older than
// those known count as such.
func (t *versionTracker) endpointsByModel(now tables.Instant, table *fleet.Table) map[string][]servingEndpoint {
	models := map[string][]servingEndpoint{}
	listed, _ := table.Listed()
	table.Each(func(e *fleet.Endpoint) {
		if e.Draining {
			return
		}
		from, known := t.knownFrom[lagKey{id: e.ID, startUnixMilli: e.StartUnixMilli}]
		if !known {
			from = now
		}
		for model, version := range e.Weights {
			if shown, named := listed[e.ID][model]; named {
				version = min(version, shown)
			}
			models[model] = append(models[model], servingEndpoint{version: version, knownFrom: from})
		}
	})
	return models
}

// recordEndpoints records since when each process of an endpoint has been known, if the table has changed.
func (t *versionTracker) recordEndpoints(now tables.Instant, table *fleet.Table) {
	version := table.Version()
	if t.knownFrom != nil && version == t.tableVersion {
		return
	}
	knownFrom := make(map[lagKey]tables.Instant, len(t.knownFrom))
	table.Each(func(e *fleet.Endpoint) {
		key := lagKey{id: e.ID, startUnixMilli: e.StartUnixMilli}
		from, known := t.knownFrom[key]
		if !known {
			from = now
		}
		knownFrom[key] = from
	})
	t.knownFrom, t.tableVersion = knownFrom, version
}

// versionLags returns the versions of a model that lag, among those that the history keeps.
func versionLags(now tables.Instant, model string, endpoints []servingEndpoint, targets *weights.History) []VersionLag {
	allowed := max(1, len(endpoints)/maxLaggingShare)
	var lags []VersionLag
	for _, target := range targets.NewerThan(model, oldestServed(endpoints)) {
		var times []time.Duration
		for _, e := range endpoints {
			if e.version < target.Version {
				times = append(times, now-max(target.SetAt, e.knownFrom))
			}
		}
		if len(times) <= allowed {
			continue
		}
		slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
		lags = append(lags, VersionLag{
			Model: model, Version: target.Version, Lacking: len(times), Endpoints: len(endpoints),
			Age: times[allowed], TargetAge: now - target.SetAt,
		})
	}
	return lags
}

// oldestServed returns the lowest version that one of the endpoints serves.
func oldestServed(endpoints []servingEndpoint) uint64 {
	return slices.MinFunc(endpoints, func(a, b servingEndpoint) int { return cmp.Compare(a.version, b.version) }).version
}

// VersionLag returns the version that has lagged longest, the zero value if none does. It is safe for concurrent use.
func (r *Controller) VersionLag() VersionLag {
	if lag := r.versions.current.Load(); lag != nil {
		return *lag
	}
	return VersionLag{}
}

// observeVersions computes the lag of the versions, and logs those that have lagged for long at the instance that
// holds the lease, and at the leader.
func (r *Controller) observeVersions(now tables.Instant, isAnyBehind bool) {
	lags := r.versions.observe(now, r.options.Fleet, r.planner.history, isAnyBehind)
	if len(lags) == 0 || lags[0].Age < versionLogAfter || r.versions.loggedAt != 0 && now-r.versions.loggedAt < lagLogInterval {
		return
	}
	if !r.holdsLease.Load() && !r.options.IsLeader() {
		return
	}
	r.versions.loggedAt = now
	for _, lag := range lags[:min(len(lags), maxLoggedVersions)] {
		if lag.Age >= versionLogAfter {
			events.RolloutVersionLagging.Log(r.options.Log, r.describeVersion(lag, len(lags))...)
		}
	}
}

// describeVersion returns the log fields of a version that lags, one of the given number.
func (r *Controller) describeVersion(lag VersionLag, lagging int) []zap.Field {
	fields := []zap.Field{
		zap.String("model", lag.Model), zap.Uint64("version", lag.Version), zap.Int("lacking", lag.Lacking),
		zap.Int("endpoints", lag.Endpoints), zap.Duration("age", lag.Age), zap.Duration("target_age", lag.TargetAge),
		zap.Int("versions_lagging", lagging), zap.Bool("holds_lease", r.holdsLease.Load()),
	}
	if r.options.WeightsTimeout > 0 {
		fields = append(fields, zap.Float64("share", lag.Age.Seconds()/r.options.WeightsTimeout.Seconds()))
	}
	return fields
}
