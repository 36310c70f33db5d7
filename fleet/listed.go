package fleet

import "github.com/carawaystile/carawaystile/tables"

// listedWeights returns the version of each model's weights that a list shows, by endpoint: the lowest one
// if several entries have the endpoint's ID, since some may be of other writers.
func listedWeights(listed []Endpoint) map[tables.EndpointID]map[string]uint64 {
	all := make(map[tables.EndpointID]map[string]uint64, len(listed))
	for _, e := range listed {
		if all[e.ID] == nil {
			all[e.ID] = make(map[string]uint64, len(e.Weights))
		}
		for model, version := range e.Weights {
			if known, named := all[e.ID][model]; !named || version < known {
				all[e.ID][model] = version
			}
		}
	}
	return all
}

// Listed returns the versions of weights that the platform's list showed when it was last applied, by endpoint
// and model, and how often a list was applied. They lag behind what endpoints report. Callers must not modify them.
func (t *Table) Listed() (weights map[tables.EndpointID]map[string]uint64, applied uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed, t.listsApplied
}
