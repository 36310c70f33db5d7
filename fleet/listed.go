package fleet

import (
	"math"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// minReadyLists is how many lists in a row have to show an endpoint as ready after one that showed it as
	// draining, so that old pages of the list do not send requests to an endpoint that leaves.
	minReadyLists = 20
	// announcedDraining in place of a number of lists means that the process itself has announced its end, which
	// a list that shows it as ready does not contradict.
	announcedDraining = math.MinInt
)

// mergeListed combines an entry of the platform's list with the known row, and takes Draining back if enough
// lists contradict it: an odd entry must not keep a sound endpoint from requests until it restarts.
func (t *Table) mergeListed(listed Endpoint) Endpoint {
	if known := t.rows[listed.ID]; isSameProcess(known, listed) {
		listed.Reinstated = known.Reinstated
	}
	e := t.merge(listed)
	if listed.Draining || !e.Draining {
		delete(t.readyLists, e.ID)
		return e
	}
	if t.readyLists[e.ID] == announcedDraining {
		return e
	}
	t.readyLists[e.ID]++
	if t.readyLists[e.ID] >= minReadyLists {
		e.Draining = false
		e.Reinstated++
		delete(t.readyLists, e.ID)
	}
	return e
}

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
