// Package orders has engines load the weights and adapters that the
// configuration wants. Orders are given by one instance at a time, under a
// lease, and no more loads run at once over the whole fleet than the weight
// store bears.
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

// abandonAfter is how long a load of an endpoint that cannot be read keeps its
// place at the weight store. No load takes this long, so by then it has ended.
const abandonAfter = 10 * time.Minute

// Observation is what was last read of an endpoint.
type Observation struct {
	Known bool
	State engine.OrderState
	// UnreachableFor is how long the endpoint has not answered, zero if it does.
	UnreachableFor time.Duration
}

// Load is one thing that an endpoint has to load.
type Load struct {
	Endpoint tables.EndpointID
	Model    tables.ModelName
	// Adapter is empty for the weights of the model itself.
	Adapter tables.AdapterName
	Weights tables.WeightsVersion
}

// adapterMark separates the weights version from the adapter in a load's row.
const adapterMark = "+"

// what names what is loaded, for the row of the load.
func (l Load) what() string {
	if l.Adapter == "" {
		return string(l.Weights)
	}
	return string(l.Weights) + adapterMark + string(l.Adapter)
}

func loadOf(row *rpc.Load) Load {
	weights, adapter, _ := strings.Cut(row.GetWeights(), adapterMark)
	return Load{
		Endpoint: tables.EndpointID(row.GetEndpoint()),
		Model:    tables.ModelName(row.GetModel()),
		Adapter:  tables.AdapterName(adapter),
		Weights:  tables.WeightsVersion(weights),
	}
}

// Plan is what to do now.
type Plan struct {
	// Ended lists endpoints whose loads have ended.
	Ended []tables.EndpointID
	// Resend lists counted loads whose order has to be given again, Start new
	// ones that fit in.
	Resend []Load
	Start  []Load
}

// ComputePlan compares what is wanted with what was read back. Rows are the loads
// that count against the limit, whoever started them.
//
// A load ends only by what the endpoint says: that it serves what was loaded,
// or that it loads nothing. In the second case the order was lost, or the
// endpoint restarted; the place is kept and the order repeated.
func ComputePlan(c *tables.Configuration, views map[tables.EndpointID]Observation, rows []*rpc.Load) Plan {
	var plan Plan
	busy := map[tables.EndpointID]bool{}
	wanted := map[tables.EndpointID][]Load{}
	for _, endpoint := range c.Endpoints {
		if endpoint.Kind == tables.Engine && !endpoint.Leaving {
			wanted[endpoint.ID] = missing(c, endpoint, views[endpoint.ID])
		}
	}
	for _, row := range rows {
		load := loadOf(row)
		view := views[load.Endpoint]
		switch {
		case !view.Known || view.UnreachableFor > 0:
			if view.UnreachableFor >= abandonAfter {
				plan.Ended = append(plan.Ended, load.Endpoint)
				continue
			}
			busy[load.Endpoint] = true
		case !slices.Contains(wanted[load.Endpoint], load):
			if view.State.Loading == 0 {
				plan.Ended = append(plan.Ended, load.Endpoint)
				continue
			}
			busy[load.Endpoint] = true
		default:
			busy[load.Endpoint] = true
			if view.State.Loading == 0 {
				plan.Resend = append(plan.Resend, load)
			}
		}
	}
	plan.Start = starts(c, views, wanted, busy)
	return plan
}

// missing returns what an endpoint should have and has not; nothing for one
// that was not read. A model comes before its adapters.
func missing(c *tables.Configuration, endpoint tables.Endpoint, view Observation) []Load {
	if !view.Known || view.UnreachableFor > 0 {
		return nil
	}
	var loads []Load
	for _, model := range c.Models {
		if !slices.Contains(endpoint.Models, model.Name) || model.Weights == "" {
			continue
		}
		load := Load{Endpoint: endpoint.ID, Model: model.Name, Weights: model.Weights}
		if view.State.Weights[model.Name] != model.Weights {
			loads = append(loads, load)
			continue
		}
		for _, adapter := range model.Adapters {
			if !slices.Contains(view.State.Adapters[model.Name], adapter) {
				load.Adapter = adapter
				loads = append(loads, load)
			}
		}
	}
	return loads
}

// starts returns the first load of each endpoint that is not busy, as many as
// the weight store has room for. Loads that an endpoint runs without a row, as
// after its operators' own orders, take room too.
func starts(c *tables.Configuration, views map[tables.EndpointID]Observation, wanted map[tables.EndpointID][]Load, busy map[tables.EndpointID]bool) []Load {
	room := max(1, c.WeightLoads) - len(busy)
	var all []Load
	for id, loads := range wanted {
		if busy[id] {
			continue
		}
		if views[id].State.Loading > 0 {
			room--
			continue
		}
		if len(loads) > 0 {
			all = append(all, loads[0])
		}
	}
	slices.SortFunc(all, func(a, b Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all[:max(0, min(room, len(all)))]
}
