package membership

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// OrganisationCost is a running total of what instances have started for an organisation.
type OrganisationCost struct {
	// Sender and Zone are the instance that has sent the total and its zone; empty in the totals
	// that this instance sends. Remote is set if the sender is a scheduler of another zone, so that
	// the total is that of the zone. Otherwise it is that of the sender.
	Sender tables.InstanceID
	Zone   tables.Zone
	Remote bool
	// Class numbers the class of requests, by priority and urgency; it is the priority in messages.
	Service, Organisation string
	Class                 int
	// Total is in prompt and output tokens.
	Total uint64
}

// SendOrganisationCosts sends totals of this instance to the instances that receive its hints.
func (m *Membership) SendOrganisationCosts(now tables.Instant, costs []OrganisationCost) Output {
	m.now = now
	m.refreshDerived()
	m.sendOrganisationCosts(m.members.hintReceivers, costs)
	return m.takeOutput()
}

// SendOrganisationCostsToOtherZones sends totals of this zone to the schedulers of the others.
func (m *Membership) SendOrganisationCostsToOtherZones(now tables.Instant, costs []OrganisationCost) Output {
	m.now = now
	m.sendOrganisationCosts(m.remoteSchedulerAddresses(), costs)
	return m.takeOutput()
}

func (m *Membership) sendOrganisationCosts(to []netip.AddrPort, costs []OrganisationCost) {
	for len(to) > 0 && len(costs) > 0 {
		d := m.newHintDatagram()
		room := m.config.MaxDatagramBytes - proto.Size(d)
		added := addOrganisationCosts(d, costs, &room)
		if added == 0 {
			// The names of this one do not fit into a datagram.
			costs = costs[1:]
			continue
		}
		if !m.sendHints(d, to) {
			return
		}
		costs = costs[added:]
	}
}

// addOrganisationCosts adds totals while they fit, and returns how many did.
func addOrganisationCosts(d *rpc.Datagram, costs []OrganisationCost, room *int) int {
	for i, c := range costs {
		encoded := &rpc.OrganisationCost{Service: c.Service, Organisation: c.Organisation, Priority: int32(c.Class), Cost: c.Total}
		size := proto.Size(encoded) + fieldOverhead
		if size > *room {
			return i
		}
		*room -= size
		d.OrganisationCosts = append(d.OrganisationCosts, encoded)
	}
	return len(costs)
}

// receiveOrganisationCosts adds the totals of a datagram to the output. Totals of unknown instances
// are ignored, since their zone is not known.
func (m *Membership) receiveOrganisationCosts(in *rpc.Datagram) {
	if len(in.GetOrganisationCosts()) == 0 {
		return
	}
	sender := m.members.byID[tables.InstanceID(in.GetSender().GetInstance())]
	if sender == nil {
		return
	}
	m.refreshDerived()
	remote := len(m.members.schedulers) > 0 && sender.Zone != m.self.Zone
	for _, encoded := range in.GetOrganisationCosts() {
		m.output.Hints.Costs = append(m.output.Hints.Costs, OrganisationCost{
			Sender: sender.Instance, Zone: sender.Zone, Remote: remote,
			Service: encoded.GetService(), Organisation: encoded.GetOrganisation(), Class: int(encoded.GetPriority()), Total: encoded.GetCost(),
		})
	}
}
