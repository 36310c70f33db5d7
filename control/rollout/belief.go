package rollout

import (
	"maps"
	"math"
	"time"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// maxListAge bounds how far the platform's list lags behind an engine in general. Weights that it still shows as
// older then may be what the engine has gone back to.
const maxListAge = 3 * time.Second

// engineServices returns the services most of whose endpoints have weights.
func engineServices(endpoints []fleet.Endpoint) map[string]bool {
	balance := map[string]int{}
	for _, e := range endpoints {
		if len(e.Weights) > 0 {
			balance[e.Service]++
		} else {
			balance[e.Service]--
		}
	}
	engines := map[string]bool{}
	for service, surplus := range balance {
		engines[service] = surplus > 0
	}
	return engines
}

// restartedAs reports whether a listed start is that of another process. The list may still show the process
// before the known one.
func (r *engineState) restartedAs(startUnixMilli int64) bool {
	return startUnixMilli != 0 && startUnixMilli != r.StartUnixMilli && startUnixMilli != r.process
}

// confirm takes the weights over that an engine reports. They may be older than those known: an engine goes back
// if an order of an earlier version reaches it after it has restarted, and what an entry of the list claimed may
// be wrong. A report that was requested soon after the known weights were shown may just be older than these.
func (r *engineState) confirm(now tables.Instant, report *Report) {
	outranks := r.confirmedAt == 0 || r.polledAt-maxReportAge > r.confirmedAt
	confirmed := true
	for model, version := range report.Weights {
		if version < r.Weights[model] && !outranks {
			confirmed = false
			continue
		}
		r.Weights[model] = version
	}
	if confirmed {
		r.confirmedAt = now
	}
}

// mayPrecede reports whether a report may be of before the order that the engine accepted last. An order without a
// sequence may be accepted at a later one than the planner knows, so that the report's sequence does not tell.
func (p *Planner) mayPrecede(now tables.Instant, r *engineState) bool {
	return p.EnginesCheckFence && !r.unanswered && now-r.phaseSince <= maxReportAge
}

func (p *Planner) expireUpdate(now tables.Instant, r *engineState) {
	if r.phase == updating && now-r.phaseSince > updateTimeout {
		r.phase, r.sequenceKnown = idle, false
	}
}

// ObserveList compares the versions of weights that the platform's list shows with those known. An engine that
// the list shows with others is polled, at once if the list has just begun to show newer ones: its own report
// decides. So is one that has shown nothing itself and whose weights are beyond the target.
func (p *Planner) ObserveList(now tables.Instant, listed map[tables.EndpointID]map[string]uint64) {
	for id, r := range p.engineStates {
		for model, version := range listed[id] {
			known, serves := r.Weights[model]
			isNewer := version > known && version != r.listed[model]
			isUnnamed := r.confirmedAt == 0 && p.targets[model] != 0 && known > p.targets[model]
			if serves && (isUnnamed || version != known && (isNewer || now-r.confirmedAt > maxListAge)) {
				r.doubted = true
			}
		}
		r.listed = listed[id]
	}
}

// isClaimedNewer reports whether the fleet table has newer weights for the process than the engine is known to serve.
// Entry instances follow the table until the engine's own report corrects it.
func (r *engineState) isClaimedNewer(e fleet.Endpoint) bool {
	if e.StartUnixMilli != 0 && r.process != 0 && e.StartUnixMilli != r.process {
		return false
	}
	for model, version := range e.Weights {
		if known, serves := r.Weights[model]; serves && version > known {
			return true
		}
	}
	return false
}

// Weights returns the version of each model's weights that an engine is known to serve, and whether the state is
// about the given process; 0 is any.
func (p *Planner) Weights(id tables.EndpointID, process int64) (map[string]uint64, bool) {
	r := p.engineStates[id]
	if r == nil || process != 0 && r.process != 0 && process != r.process {
		return nil, false
	}
	return maps.Clone(r.Weights), true
}

// lowestVersion returns the lowest version that an engine serves of any model.
func lowestVersion(r *engineState) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, version := range r.Weights {
		lowest = min(lowest, version)
	}
	return lowest
}
