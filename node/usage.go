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

// newUsageClient creates the server and the client of the distributed rate limiter, and
// returns the client.
func (n *Node) newUsageClient() *usage.Client {
	n.usageServer = usage.NewServer(usage.ServerOptions{
		Self: n.options.Settings.Instance, Zone: n.options.Settings.Zone, BootEpoch: n.boot, EntriesByZone: n.entriesByZone, Send: n.sendUsage, Now: n.now,
		Settling: n.isSettling, SizesChanging: n.areSizesChanging,
	})
	n.usageClient = usage.NewClient(usage.ClientOptions{
		Self: n.options.Settings.Instance, Zone: n.options.Settings.Zone, BootEpoch: n.boot, Server: n.usageServer,
		EntriesByZone: n.entriesByZone, InstanceCount: n.instanceCount, Settling: n.isSettling,
		Send: n.sendUsage, Now: n.now, Log: n.log,
	})
	return n.usageClient
}

// usageTolerance returns the configured tolerance of usage limits.
func (n *Node) usageTolerance() usage.Tolerance {
	s := n.options.Settings.Usage
	return usage.Tolerance{Overage: s.Overage, Slack: s.Slack}
}

// usageLimits returns the rate limits of the organisations in a configuration.
func (n *Node) usageLimits(table *routes.Table) map[usage.Subject]usage.Limit {
	limits := map[usage.Subject]usage.Limit{}
	for i := range table.Organisations {
		if o := &table.Organisations[i]; o.UsageLimit.Limited() {
			limits[usage.OrganisationSubject(o.ID)] = forward.EnforcedLimit(o, n.usageTolerance())
		}
	}
	return limits
}

// entriesByZone returns the live entry instances of each zone.
func (n *Node) entriesByZone() map[tables.Zone][]membership.EntryInstance {
	if joined := n.gossip.Load(); joined != nil {
		return joined.EntriesByZone()
	}
	return nil
}

// sendUsage sends a message of the rate limiter.
func (n *Node) sendUsage(to netip.AddrPort, message *rpc.UsageMessage) {
	if joined := n.gossip.Load(); joined != nil {
		joined.SendUsage(to, message)
	}
}

// handleUsageMessage handles a message of the rate limiter.
func (n *Node) handleUsageMessage(from membership.Sender, message *rpc.UsageMessage) {
	if n.usageClient != nil {
		n.usageClient.HandleMessage(from, message)
	}
}

// detectLostEntries notifies the usage server when an entry instance of the zone has left or
// died, since that instance may have owned token buckets.
func (n *Node) detectLostEntries(members []membership.Member) {
	live := map[tables.InstanceID]bool{}
	for _, m := range members {
		if m.Zone == n.options.Settings.Zone && m.Roles&membership.RoleEntry != 0 && m.State <= membership.Suspect {
			live[m.Instance] = true
		}
	}
	for id := range n.zoneEntryInstances {
		if !live[id] {
			n.usageServer.NoteEntriesLost()
			break
		}
	}
	n.zoneEntryInstances = live
}
