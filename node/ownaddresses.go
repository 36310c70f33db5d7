package node

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// isOwnAddress reports whether an instance of this deployment listens at an address, as far as this instance
// knows: all instances of a role use the same ports. An endpoint there would send requests back into the
// deployment.
func (n *Node) isOwnAddress(at netip.AddrPort) bool {
	return n.isOwnPort(at) && n.isInstance(at.Addr())
}

// isOwnPort reports whether instances of this deployment listen at the port of an address.
func (n *Node) isOwnPort(at netip.AddrPort) bool {
	l := n.options.Settings.Listen
	return slices.ContainsFunc([]netip.AddrPort{l.Callers, l.Ready, l.Operators, l.Instances, l.Metrics}, func(own netip.AddrPort) bool {
		return own.Port() == at.Port()
	})
}

// isInstance reports whether an IP address is that of a known instance. The seeds are known before the membership is.
func (n *Node) isInstance(ip netip.Addr) bool {
	if n.options.Settings.Advertise.Instances.Addr() == ip {
		return true
	}
	if slices.ContainsFunc(n.settings.Load().Seeds, func(seed netip.AddrPort) bool { return seed.Addr() == ip }) {
		return true
	}
	joined := n.gossip.Load()
	if joined == nil {
		return false
	}
	for _, m := range joined.Members() {
		if m.Control.Addr() == ip {
			return true
		}
	}
	return false
}

// listedEndpoints are the endpoints of the platform's list, with those at addresses of this deployment's instances.
type listedEndpoints struct {
	mu  sync.Mutex
	all map[tables.EndpointID]fleet.Endpoint
	// suspicious is set if some are at ports of this deployment's instances.
	suspicious bool
}

// setEndpoints applies the endpoints of a new list.
func (n *Node) setEndpoints(r *fleet.Replica) {
	l := &n.listed
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all, l.suspicious = r.Endpoints(), false
	for _, e := range l.all {
		l.suspicious = l.suspicious || n.isOwnPort(e.Address)
	}
	n.entry.SetEndpoints(n.usableEndpoints())
}

// reapplyEndpoints removes the endpoints at addresses of instances that were not known when the list came.
func (n *Node) reapplyEndpoints() {
	n.listed.mu.Lock()
	defer n.listed.mu.Unlock()
	if n.listed.suspicious {
		n.entry.SetEndpoints(n.usableEndpoints())
	}
}

// usableEndpoints returns the endpoints that are not at addresses of this deployment's instances. The caller holds the
// mutex of the listed ones.
func (n *Node) usableEndpoints() map[tables.EndpointID]fleet.Endpoint {
	if !n.listed.suspicious {
		return n.listed.all
	}
	usable := maps.Clone(n.listed.all)
	maps.DeleteFunc(usable, func(_ tables.EndpointID, e fleet.Endpoint) bool { return n.isOwnAddress(e.Address) })
	return usable
}
