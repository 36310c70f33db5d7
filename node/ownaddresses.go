package node

import (
	"maps"
	"net/netip"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// isOwnAddress reports whether an instance of this deployment listens at an address, as far as this instance
// knows: all instances of a role use the same ports. An endpoint there would send requests back into the
// deployment.
func (n *Node) isOwnAddress(at netip.AddrPort) bool {
	l := n.options.Settings.Listen
	for _, own := range []netip.AddrPort{l.Callers, l.Ready, l.Operators, l.Instances, l.Metrics} {
		if own.Port() == at.Port() && n.isInstance(at.Addr()) {
			return true
		}
	}
	return false
}

// isInstance reports whether an IP address is that of a known instance.
func (n *Node) isInstance(ip netip.Addr) bool {
	if n.options.Settings.Advertise.Instances.Addr() == ip {
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

// usableEndpoints returns the endpoints that are not at addresses of this deployment's instances.
func (n *Node) usableEndpoints(r *fleet.Replica) map[tables.EndpointID]fleet.Endpoint {
	endpoints := r.Endpoints()
	maps.DeleteFunc(endpoints, func(_ tables.EndpointID, e fleet.Endpoint) bool { return n.isOwnAddress(e.Address) })
	return endpoints
}
