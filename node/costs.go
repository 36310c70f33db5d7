package node

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/shares"
)

const (
	// costInterval is the interval between two sends of organisations' costs to the instances that
	// place requests in the same group, and zoneCostInterval the one to schedulers of other zones.
	costInterval     = 50 * time.Millisecond
	zoneCostInterval = remoteLoadInterval
	// maxCosts bounds the totals of one send.
	maxCosts = 64
	// costFraction is the fraction of the hint bandwidth that the totals may use in each of the two
	// directions, and bytesPerCost the approximate encoded size of one with its share of the datagram.
	costFraction = 0.2
	bytesPerCost = 50
)

// startCostExchange starts to exchange organisations' costs if capacity may be shared among them.
func (n *Node) startCostExchange() {
	if !n.entry.SharesCosts() {
		return
	}
	n.background.Go(func() { n.every(costInterval, n.sendPlacedCosts) })
	n.background.Go(func() { n.every(zoneCostInterval, n.sendZoneCosts) })
}

// every calls a function at an interval until the instance stops.
func (n *Node) every(interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-n.lifetime.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}

// sendPlacedCosts sends the totals of what this instance has placed to the other schedulers of its
// zone or, without schedulers, to all entry instances.
func (n *Node) sendPlacedCosts() {
	joined := n.gossip.Load()
	if costs := n.entry.TakePlacedCosts(n.costLimit(costInterval, joined.HintReceiverCount())); len(costs) > 0 {
		joined.SendOrganisationCosts(membershipCosts(costs))
	}
}

// sendZoneCosts sends the totals of its zone to the schedulers of other zones if this instance is a
// scheduler.
func (n *Node) sendZoneCosts() {
	joined := n.gossip.Load()
	receivers := joined.RemoteSchedulerCount()
	if receivers == 0 || !n.selectsEndpoints() {
		return
	}
	if costs := n.entry.TakeZoneCosts(n.costLimit(zoneCostInterval, receivers)); len(costs) > 0 {
		joined.SendOrganisationCostsToOtherZones(membershipCosts(costs))
	}
}

// costLimit returns the number of totals that may be sent to each receiver in an interval. The
// longest unreported ones are first, so those beyond the limit are late.
func (n *Node) costLimit(interval time.Duration, receivers int) int {
	bytes := costFraction * float64(n.hintBytesPerSecond()) * interval.Seconds()
	return min(maxCosts, max(1, int(bytes/bytesPerCost)/max(1, receivers)))
}

func membershipCosts(costs []shares.Cost) []membership.OrganisationCost {
	converted := make([]membership.OrganisationCost, 0, len(costs))
	for _, c := range costs {
		converted = append(converted, membership.OrganisationCost{Service: c.Service, Organisation: c.Organisation, Class: c.Class, Total: c.Total})
	}
	return converted
}

// handleOrganisationCost applies a total that another instance has sent.
func (n *Node) handleOrganisationCost(c membership.OrganisationCost) {
	if n.entry == nil {
		return
	}
	cost := shares.Cost{Key: shares.Key{Service: c.Service, Organisation: c.Organisation, Class: c.Class}, Total: c.Total}
	if c.Remote {
		n.entry.ApplyZoneCost(c.Sender, c.Zone, cost)
		return
	}
	n.entry.ApplyPlacedCost(c.Sender, cost)
}
