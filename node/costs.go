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
	// directions, and bytesPerCost the approximate encoded size of one.
	costFraction = 0.2
	bytesPerCost = 50
	// costDatagramBytes is the size of a datagram without its totals: the headers of IP and UDP, the
	// encryption, and the sender's name.
	costDatagramBytes = 110
	// leastCosts is the number of totals for which a send waits until the bandwidth allows it. Smaller
	// ones would spend most of it on costDatagramBytes.
	leastCosts = 4
	// maxCostBudget is the time whose unused bandwidth can be used later.
	maxCostBudget = time.Second
)

// costBudget bounds the totals that are sent in one direction. Where the bandwidth does not allow
// leastCosts in each interval, there are fewer sends.
type costBudget struct {
	// bytes are those that may be sent now, over all receivers.
	bytes float64
}

// add adds the bytes of an interval at a rate in bytes a second, and returns the number of totals that
// may be sent to each of the receivers now.
func (b *costBudget) add(rate float64, interval time.Duration, receivers int) int {
	receivers = max(1, receivers)
	least := float64(receivers * (costDatagramBytes + leastCosts*bytesPerCost))
	b.bytes = min(b.bytes+rate*interval.Seconds(), max(rate*maxCostBudget.Seconds(), least))
	if b.bytes < least {
		return 0
	}
	return min(maxCosts, (int(b.bytes)/receivers-costDatagramBytes)/bytesPerCost)
}

// sent takes off the bytes of totals that were sent.
func (b *costBudget) sent(costs, receivers int) {
	b.bytes -= float64(receivers * (costDatagramBytes + costs*bytesPerCost))
}

// startCostExchange starts to exchange organisations' costs if capacity may be shared among them.
func (n *Node) startCostExchange() {
	if !n.entry.SharesCosts() {
		return
	}
	var placed, zone costBudget
	n.background.Go(func() { n.every(costInterval, func() { n.sendPlacedCosts(&placed) }) })
	n.background.Go(func() { n.every(zoneCostInterval, func() { n.sendZoneCosts(&zone) }) })
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
func (n *Node) sendPlacedCosts(budget *costBudget) {
	joined := n.gossip.Load()
	receivers := joined.HintReceiverCount()
	limit := budget.add(n.costBytesPerSecond(), costInterval, receivers)
	if costs := n.entry.TakePlacedCosts(limit); len(costs) > 0 {
		budget.sent(len(costs), receivers)
		joined.SendOrganisationCosts(membershipCosts(costs))
	}
}

// sendZoneCosts sends the totals of its zone to the schedulers of other zones if this instance is a
// scheduler.
func (n *Node) sendZoneCosts(budget *costBudget) {
	joined := n.gossip.Load()
	receivers := joined.RemoteSchedulerCount()
	if receivers == 0 || !n.selectsEndpoints() {
		return
	}
	limit := budget.add(n.costBytesPerSecond(), zoneCostInterval, receivers)
	if costs := n.entry.TakeZoneCosts(limit); len(costs) > 0 {
		budget.sent(len(costs), receivers)
		joined.SendOrganisationCostsToOtherZones(membershipCosts(costs))
	}
}

// costBytesPerSecond is the bandwidth of one direction. The longest unreported totals are first, so
// those beyond it are late.
func (n *Node) costBytesPerSecond() float64 { return costFraction * float64(n.hintBytesPerSecond()) }

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
