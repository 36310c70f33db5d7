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

// maxLoadDuration is how long the load of an unreachable endpoint keeps its
// slot of the weight store. No load takes this long, so the load has ended by
// then.
const maxLoadDuration = 10 * time.Minute

// Observation is the last observed state of an endpoint.
type Observation struct {
	// Known is set once the endpoint has answered. State is its last answer.
	Known bool
	State engine.OrderState
	// UnreachableFor is how long the endpoint has not answered, zero if it
	// answers.
	UnreachableFor time.Duration
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
	// freed.
	Ended []tables.EndpointID
	// Resend lists counted loads whose order has to be sent again. Start lists
	// new loads for which slots are free.
	Resend []Load
	Start  []Load
}

// ComputePlan compares the desired with the observed state. The rows are the
// loads that count against the limit, whichever instance started them.
//
// The load of a reachable endpoint ends only by the endpoint's own report: the
// endpoint is loading nothing and what was loaded is not missing any more. If
// it is loading nothing and the load is still missing, the order was lost or
// the endpoint restarted. The load then keeps its slot and the order is sent
// again.
func ComputePlan(c *tables.Configuration, observations map[tables.EndpointID]Observation, rows []*rpc.Load) Plan {
	var plan Plan
	busy := map[tables.EndpointID]bool{}
	missing := map[tables.EndpointID][]Load{}
	for _, endpoint := range c.Endpoints {
		if endpoint.Kind == tables.Engine && !endpoint.Leaving {
			missing[endpoint.ID] = missingLoads(c, endpoint, observations[endpoint.ID])
		}
	}
	for _, row := range rows {
		load := loadFromRow(row)
		observation := observations[load.Endpoint]
		switch {
		case !observation.Known || observation.UnreachableFor > 0:
			if observation.UnreachableFor >= maxLoadDuration {
				plan.Ended = append(plan.Ended, load.Endpoint)
				continue
			}
			busy[load.Endpoint] = true
		case !slices.Contains(missing[load.Endpoint], load):
			if observation.State.Loading == 0 {
				plan.Ended = append(plan.Ended, load.Endpoint)
				continue
			}
			busy[load.Endpoint] = true
		default:
			busy[load.Endpoint] = true
			if observation.State.Loading == 0 {
				plan.Resend = append(plan.Resend, load)
			}
		}
	}
	plan.Start = admissibleLoads(c, observations, missing, busy)
	return plan
}

// missingLoads returns what an endpoint should have loaded and has not. It
// returns nothing for an endpoint that could not be read. A model is loaded
// before its adapters.
func missingLoads(c *tables.Configuration, endpoint tables.Endpoint, observation Observation) []Load {
	if !observation.Known || observation.UnreachableFor > 0 {
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
// to the number of free slots of the weight store. Loads that an endpoint runs
// without a row take slots too; operators can order such loads directly.
func admissibleLoads(c *tables.Configuration, observations map[tables.EndpointID]Observation, missing map[tables.EndpointID][]Load, busy map[tables.EndpointID]bool) []Load {
	freeSlots := max(1, c.WeightLoads) - len(busy)
	var candidates []Load
	for id, loads := range missing {
		if busy[id] {
			continue
		}
		if observations[id].State.Loading > 0 {
			freeSlots--
			continue
		}
		if len(loads) > 0 {
			candidates = append(candidates, loads[0])
		}
	}
	slices.SortFunc(candidates, func(a, b Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return candidates[:max(0, min(freeSlots, len(candidates)))]
}
