package node

import (
	"net/netip"

	"github.com/carawaystile/carawaystile/forward"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// newUsageClient makes what enforces rate limits over all instances.
func (n *Node) newUsageClient() *usage.Client {
	n.usageServer = usage.NewServer(usage.ServerOptions{
		Self: n.options.Settings.Instance, Zone: n.options.Settings.Zone, BootEpoch: n.boot, EntriesByZone: n.entriesByZone, Send: n.sendUsage, Now: n.now,
	})
	n.usageClient = usage.NewClient(usage.ClientOptions{
		Self: n.options.Settings.Instance, Zone: n.options.Settings.Zone, BootEpoch: n.boot, Server: n.usageServer,
		EntriesByZone: n.entriesByZone, InstanceCount: func() int { return int(n.limitSharers.Load()) },
		Send: n.sendUsage, Now: n.now, Log: n.log,
	})
	return n.usageClient
}

func (n *Node) usageTolerance() usage.Tolerance {
	s := n.options.Settings.Usage
	return usage.Tolerance{Overage: s.Overage, Slack: s.Slack}
}

// usageLimits are the organisations' limits of a configuration.
func (n *Node) usageLimits(table *routes.Table) map[usage.Subject]usage.Limit {
	limits := map[usage.Subject]usage.Limit{}
	for i := range table.Organisations {
		if o := &table.Organisations[i]; o.UsageLimit.Limited() {
			limits[usage.OrganisationSubject(o.ID)] = forward.EnforcedLimit(o, n.usageTolerance())
		}
	}
	return limits
}

func (n *Node) entriesByZone() map[tables.Zone][]membership.EntryInstance {
	if joined := n.gossip.Load(); joined != nil {
		return joined.EntriesByZone()
	}
	return nil
}

func (n *Node) sendUsage(to netip.AddrPort, message *rpc.UsageMessage) {
	if joined := n.gossip.Load(); joined != nil {
		joined.SendUsage(to, message)
	}
}

// handleUsageMessage takes a message about organisations' usage.
func (n *Node) handleUsageMessage(from membership.Sender, message *rpc.UsageMessage) {
	if n.usageClient != nil {
		n.usageClient.HandleMessage(from, message)
	}
}

// detectLostEntries has the accounts know when an entry instance of the zone is gone, which
// may have kept some.
func (n *Node) detectLostEntries(members []membership.Member) {
	living := map[tables.InstanceID]bool{}
	for _, m := range members {
		if m.Zone == n.options.Settings.Zone && m.Roles&membership.RoleEntry != 0 && m.State <= membership.Suspect {
			living[m.Instance] = true
		}
	}
	for id := range n.zoneEntryInstances {
		if !living[id] {
			n.usageServer.NoteEntriesLost()
			break
		}
	}
	n.zoneEntryInstances = living
}
