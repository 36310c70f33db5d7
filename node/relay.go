package node

import (
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// relayMemoryDivisor is the inverse of the fraction of an instance's memory that connections
	// relayed for other instances may occupy, and relayConnectionBytes what one of them takes
	// with its sockets.
	relayMemoryDivisor   = 8
	relayConnectionBytes = 64 << 10
)

// startRelayClient creates the dialer for connections to endpoints through other instances.
func (n *Node) startRelayClient() {
	n.relayDialer = relay.NewDialer(relay.DialerOptions{
		Zone: n.options.Settings.Zone, Instances: n.relayInstances, Dial: n.dial, Now: n.now,
		Peers:       n.peers,
		RecentPeers: func(zone tables.Zone) (all, inZone int) { return n.recentPeers.counts(n.now(), zone) },
	})
}

// startRelayServer creates the server that relays connections for other instances. The entry
// role must have started.
func (n *Node) startRelayServer() {
	n.relayServer = relay.NewServer(relay.ServerOptions{
		Admit: n.entry.AdmitRelay, Reserve: n.entry.ReserveRelay, Dial: n.dial, ObserveResponse: n.entry.ObserveRelayedResponse,
		MaxConnections: n.options.Settings.MemoryMB << 20 / relayMemoryDivisor / relayConnectionBytes, Registry: n.registry,
	})
}

// relayInstances lists the other live entry instances.
func (n *Node) relayInstances() []relay.Instance {
	var all []relay.Instance
	for _, m := range n.liveEntryMembers() {
		if m.Instance != n.options.Settings.Instance {
			one := relay.Instance{ID: m.Instance, Zone: m.Zone, Address: m.Control}
			if n.sizes.enabled {
				one.Size, one.Loaded = m.Size, m.Loaded
			}
			all = append(all, one)
		}
	}
	return all
}

// isGone returns a function that reports whether an instance is not among the live members.
func isGone(members []membership.Member) func(tables.InstanceID) bool {
	live := map[tables.InstanceID]bool{}
	for _, m := range members {
		live[m.Instance] = m.State < membership.Dead
	}
	return func(id tables.InstanceID) bool { return !live[id] }
}
