package router

import (
	"github.com/carawaystile/carawaystile/systems/fairness"
	"github.com/carawaystile/carawaystile/tables"
)

// organisation holds the rate limiter of one organisation.
type organisation struct {
	id      tables.OrganisationID
	limiter fairness.Limiter
}

// organisations is the table of organisations, indexed by flow.
type organisations struct {
	rows  []organisation
	index map[tables.OrganisationID]fairness.Flow
}

func (r *Router) configureOrganisations() {
	for i := range r.config.Organisations {
		o := &r.config.Organisations[i]
		flow := r.flowOf(o.ID)
		r.organisations.rows[flow].limiter.Configure(o.RequestsPerSecond, o.Concurrent)
		for p := range r.classes {
			r.classes[p].configure(flow, float64(max(1, o.Share)))
		}
	}
}

// flowOf returns the flow of an organisation and creates it if needed. An
// organisation that the configuration does not list has a weight of 1 and no
// limits.
func (r *Router) flowOf(id tables.OrganisationID) fairness.Flow {
	if flow, ok := r.organisations.index[id]; ok {
		return flow
	}
	if r.organisations.index == nil {
		r.organisations.index = make(map[tables.OrganisationID]fairness.Flow)
	}
	flow := fairness.Flow(len(r.organisations.rows))
	r.organisations.index[id] = flow
	r.organisations.rows = append(r.organisations.rows, organisation{id: id})
	for p := range r.classes {
		r.classes[p].configure(flow, 1)
	}
	return flow
}
