package gossip

import (
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// SendOrganisationCosts sends totals of this instance to the instances that receive its hints.
func (g *Gossip) SendOrganisationCosts(costs []membership.OrganisationCost) {
	g.update(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SendOrganisationCosts(now, costs)
	})
}

// SendOrganisationCostsToOtherZones sends totals of this zone to the schedulers of the others.
func (g *Gossip) SendOrganisationCostsToOtherZones(costs []membership.OrganisationCost) {
	g.update(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SendOrganisationCostsToOtherZones(now, costs)
	})
}
