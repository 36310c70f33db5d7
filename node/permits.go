package node

import (
	"slices"

	"github.com/carawaystile/carawaystile/permits"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// newPermitClient creates the server and the client of permits for brittle endpoints, and returns
// the client.
func (n *Node) newPermitClient() *permits.Client {
	n.permitServer = permits.NewServer(n.options.Settings.Instance, func(id tables.EndpointID) (permits.Occupancy, bool) { return n.entry.Occupancy(id) }, n.now)
	n.permitClient = permits.NewClient(permits.ClientOptions{
		Self: n.options.Settings.Instance, BootEpoch: n.boot, Server: n.permitServer, Entries: n.entries, Send: n.sendSchedule, Now: n.now,
	})
	return n.permitClient
}

// entries returns the live entry instances of all zones.
func (n *Node) entries() []membership.EntryInstance {
	var all []membership.EntryInstance
	for _, zone := range n.entriesByZone() {
		all = append(all, zone...)
	}
	return all
}

// entryIDs returns the live entry instances among the members, sorted.
func entryIDs(members []membership.Member) []tables.InstanceID {
	var ids []tables.InstanceID
	for _, m := range members {
		if m.Roles&membership.RoleEntry != 0 && m.State <= membership.Suspect {
			ids = append(ids, m.Instance)
		}
	}
	slices.Sort(ids)
	return ids
}
