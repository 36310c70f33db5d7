// Package orders is the reconciliation controller for engine weights: it
// compares the weights and adapters in the configuration with what engines
// report and orders the missing loads. One instance at a time sends orders,
// under a fenced lease. A semaphore in the replicated state limits concurrent
// loads across the fleet to what the weight store can serve.
package orders

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// maxLoadDuration is how long a load keeps its slot of the weight store while
// nobody sees it end. No load takes this long.
const maxLoadDuration = 10 * time.Minute

// Observation is the last observed state of an endpoint.
type Observation struct {
	// Known is set once the endpoint has answered. State is its last answer.
	Known bool
	State engine.OrderState
	// Unreachable is set if the endpoint did not answer the last read.
	Unreachable bool
	// LoadingSince is when the first of the answers in a row that show a load in
	// progress came, and LoadingFor how long that was before the last read.
	LoadingSince tables.Instant
	LoadingFor   time.Duration
}

// answered returns the observation after a read that got an answer.
func (o Observation) answered(now tables.Instant, state engine.OrderState) Observation {
	next := Observation{Known: true, State: state, LoadingSince: now}
	if o.State.Loading > 0 && state.Loading > 0 {
		next.LoadingSince = o.LoadingSince
	}
	next.LoadingFor = now - next.LoadingSince
	return next
}

// unanswered returns the observation after a read that got no answer.
func (o Observation) unanswered(now tables.Instant) Observation {
	o.Unreachable, o.LoadingFor = true, now-o.LoadingSince
	return o
}

// answers reports whether the last read of the endpoint got an answer.
func (o Observation) answers() bool { return o.Known && !o.Unreachable }

// CountedLoads are the loads that hold a slot of the weight store, whichever
// instance started them.
type CountedLoads struct {
	Rows []*rpc.Load
	// LogTime is the time of the replicated log, in which rows are dated.
	LogTime time.Duration
}

// isExpired reports whether a load must have ended since it started.
func (l CountedLoads) isExpired(row *rpc.Load) bool {
	return l.LogTime-time.Duration(row.GetStarted()) >= maxLoadDuration
}

// Load is one model or adapter that an endpoint has to load.
type Load struct {
	Endpoint tables.EndpointID
	Model    tables.ModelName
	// Adapter is empty for the weights of the model itself.
	Adapter tables.AdapterName
	Weights tables.WeightsVersion
}

// adapterSeparator separates the weights version from the adapter in the row of
// a load.
const adapterSeparator = "+"

// rowWeights encodes the weights version and the adapter for the row of the
// load.
func (l Load) rowWeights() string {
	if l.Adapter == "" {
		return string(l.Weights)
	}
	return string(l.Weights) + adapterSeparator + string(l.Adapter)
}

func loadFromRow(row *rpc.Load) Load {
	weights, adapter, _ := strings.Cut(row.GetWeights(), adapterSeparator)
	return Load{
		Endpoint: tables.EndpointID(row.GetEndpoint()),
		Model:    tables.ModelName(row.GetModel()),
		Adapter:  tables.AdapterName(adapter),
		Weights:  tables.WeightsVersion(weights),
	}
}

// Plan is the set of actions due in one reconciliation step.
type Plan struct {
	// Ended lists endpoints whose loads have ended, so that their slots are
	// freed. Expired lists those whose loads nobody saw end within
	// maxLoadDuration.
	Ended   []tables.EndpointID
	Expired []tables.EndpointID
	// Failed lists counted loads that are given up for some time. Their slots are
	// free from the next step on.
	Failed []Load
	// Resend lists counted loads whose order has to be sent again. Start lists
	// new loads for which slots are free.
	Resend []Load
	Start  []Load
}

// computePlan compares the desired with the observed state.
//
// The load of a reachable endpoint ends only by the endpoint's own report: the
// endpoint is loading nothing and what was loaded is not missing any more. If
// it is loading nothing and the load is still missing, the order was lost or
// the endpoint restarted. The load then keeps its slot and the order is sent
// again, until the load has failed.
//
// The load of an endpoint that does not answer, is not in the configuration
// any more, or reports for ever that it is loading, may be running until it
// expires.
func (r *Controller) computePlan(c *tables.Configuration, counted CountedLoads) Plan {
	var plan Plan
	now := r.options.Now()
	busy := map[tables.EndpointID]bool{}
	missing := map[tables.EndpointID][]Load{}
	for _, endpoint := range c.Endpoints {
		if endpoint.Kind == tables.Engine && !endpoint.Leaving {
			missing[endpoint.ID] = missingLoads(c, endpoint, r.observations[endpoint.ID])
		}
	}
	for _, row := range counted.Rows {
		load := loadFromRow(row)
		observation := r.observations[load.Endpoint]
		switch {
		case observation.answers() && observation.State.Loading == 0:
			if !slices.Contains(missing[load.Endpoint], load) {
				plan.Ended = append(plan.Ended, load.Endpoint)
				continue
			}
			if r.attempts[load].haveFailed(now) {
				plan.Failed = append(plan.Failed, load)
			} else {
				plan.Resend = append(plan.Resend, load)
			}
		case counted.isExpired(row):
			plan.Expired = append(plan.Expired, load.Endpoint)
			continue
		}
		busy[load.Endpoint] = true
	}
	plan.Start = r.admissibleLoads(c, missing, busy)
	return plan
}

// missingLoads returns what an endpoint should have loaded and has not. It
// returns nothing for an endpoint that could not be read. A model is loaded
// before its adapters.
func missingLoads(c *tables.Configuration, endpoint tables.Endpoint, observation Observation) []Load {
	if !observation.answers() {
		return nil
	}
	var loads []Load
	for _, model := range c.Models {
		if !slices.Contains(endpoint.Models, model.Name) || model.Weights == "" {
			continue
		}
		load := Load{Endpoint: endpoint.ID, Model: model.Name, Weights: model.Weights}
		if observation.State.Weights[model.Name] != model.Weights {
			loads = append(loads, load)
			continue
		}
		for _, adapter := range model.Adapters {
			if !slices.Contains(observation.State.Adapters[model.Name], adapter) {
				load.Adapter = adapter
				loads = append(loads, load)
			}
		}
	}
	return loads
}

// admissibleLoads returns the first load of each endpoint that is not busy, up
// to the number of free slots of the weight store, those that have failed least
// first. Loads that an endpoint runs without a row take slots too, for as long as
// a load can take; operators can order such loads directly.
func (r *Controller) admissibleLoads(c *tables.Configuration, missing map[tables.EndpointID][]Load, busy map[tables.EndpointID]bool) []Load {
	now := r.options.Now()
	freeSlots := max(1, c.WeightLoads) - len(busy)
	var candidates []Load
	for id, loads := range missing {
		if busy[id] {
			continue
		}
		if observation := r.observations[id]; observation.State.Loading > 0 {
			if observation.LoadingFor < maxLoadDuration {
				freeSlots--
			}
			continue
		}
		i := slices.IndexFunc(loads, func(load Load) bool { return now >= r.attempts[load].retryAt })
		if i >= 0 {
			candidates = append(candidates, loads[i])
		}
	}
	slices.SortFunc(candidates, func(a, b Load) int {
		return cmp.Or(cmp.Compare(r.attempts[a].failures, r.attempts[b].failures), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return candidates[:max(0, min(freeSlots, len(candidates)))]
}
