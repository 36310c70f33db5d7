package router

import (
	"github.com/carawaystile/carawaystile/systems/fairness"
	"github.com/carawaystile/carawaystile/tables"
)

// organisation is what the decisions keep of one organisation.
type organisation struct {
	id      tables.OrganisationID
	limiter fairness.Limiter
}

// organisations is the table of organisations by flow number.
type organisations struct {
	rows  []organisation
	index map[tables.OrganisationID]fairness.Flow
}

func (r *Router) configureOrganisations() {
	for i := range r.config.Organisations {
		o := &r.config.Organisations[i]
		flow := r.flow(o.ID)
		r.organisations.rows[flow].limiter.Configure(o.RequestsPerSecond, o.Concurrent)
		for p := range r.classes {
			r.classes[p].configure(flow, float64(max(1, o.Share)))
		}
	}
}

// flow is the number of an organisation. One that the configuration does not
// name, or no longer, has a weight of 1 and no limits.
func (r *Router) flow(id tables.OrganisationID) fairness.Flow {
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
