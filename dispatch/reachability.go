package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// This instance may lose its links to endpoints while others keep theirs. A connection of
// another instance, a relay, then carries its attempts. Relays are the second choice: an
// attempt is relayed only if no endpoint can take it over this instance's own links.

const (
	// minLostLinks is the number of endpoints that must accept no connection, with no response
	// of any endpoint in between, for all links to count as lost.
	minLostLinks = 4
	// RelayBackoff is how long nothing is relayed after no other instance could relay.
	RelayBackoff = 250 * time.Millisecond
)

// linkMonitor detects that this instance has lost its links to all endpoints, in contrast to
// endpoints that are down.
type linkMonitor struct {
	// failed holds the endpoints that have accepted no connection since any endpoint last
	// responded over a link of this instance.
	failed map[tables.EndpointID]struct{}
	lost   bool
	// relayAvailable is set while other instances may relay, but not before relayAfter.
	relayAvailable bool
	relayAfter     tables.Instant
}

// recordFailure records that one of total endpoints accepted no connection.
func (l *linkMonitor) recordFailure(id tables.EndpointID, total int) {
	l.failed[id] = struct{}{}
	l.lost = l.lost || len(l.failed) >= min(minLostLinks, total)
}

// recordResponse records that an endpoint responded or accepted a connection.
func (l *linkMonitor) recordResponse() {
	clear(l.failed)
	l.lost = false
}

// mayRelay reports whether attempts may be relayed now.
func (l *linkMonitor) mayRelay(now tables.Instant) bool {
	return l.relayAvailable && now >= l.relayAfter
}

// path is how an attempt reaches its endpoint.
type path uint8

const (
	// direct: over this instance's link.
	direct path = iota
	// relayed: through another instance.
	relayed
	// remote: over the link of the instance for which this one places the request.
	remote
)

// reachableOver reports whether an attempt may take a path to the endpoint.
func (r *endpointRow) reachableOver(now tables.Instant, p path) bool {
	switch p {
	case relayed:
		return now >= r.relayAfter
	case remote:
		return r.presumedUp(now)
	default:
		return r.connectable(now) && !(r.links.lost && r.links.relayAvailable)
	}
}

// presumedUp reports whether the endpoint's process is taken to run. A failed connection says
// nothing of it while all links are lost.
func (r *endpointRow) presumedUp(now tables.Instant) bool { return r.links.lost || r.connectable(now) }

// hasPath reports whether an attempt of this instance can reach the endpoint, directly or
// through another instance.
func (r *endpointRow) hasPath(now tables.Instant) bool {
	return r.reachableOver(now, direct) || r.links.mayRelay(now) && r.reachableOver(now, relayed)
}

// pathDelay returns how long it takes until an attempt may go to the endpoint, directly or through
// another instance, as far as backoffs of the path decide; ok is false if it is not known to have
// one.
func (r *endpointRow) pathDelay(now tables.Instant) (delay time.Duration, ok bool) {
	if !r.unreachable && !(r.links.lost && r.links.relayAvailable) {
		delay, ok = max(0, r.connectAfter-now), true
	}
	if r.links.relayAvailable {
		relayed := max(0, r.links.relayAfter-now, r.relayAfter-now)
		if !ok || relayed < delay {
			delay, ok = relayed, true
		}
	}
	return delay, ok
}

// shouldRelay reports whether a request that found no place directly, for the given reason,
// may be relayed.
func (d *Dispatcher) shouldRelay(now tables.Instant, r *Request, rows []*endpointRow, reason RejectReason) bool {
	if r.Remote || !d.links.mayRelay(now) {
		return false
	}
	if reason == NoEndpoint {
		return true
	}
	// The few endpoints whose links are left may be full while the others have room.
	unreachable := 0
	for _, row := range rows {
		if !row.reachableOver(now, direct) {
			unreachable++
		}
	}
	return 2*unreachable > len(rows)
}

// MayRelay reports whether attempts may be relayed now.
func (d *Dispatcher) MayRelay(now tables.Instant) bool { return d.links.mayRelay(now) }

// UnusableEndpoints returns the endpoints of a service at which an attempt of this instance would
// fail for a reason that a scheduler does not know: they push this instance back, or accept none
// of its connections. While all links are lost the latter say nothing. It returns at most limit.
func (d *Dispatcher) UnusableEndpoints(now tables.Instant, service string, limit int) []tables.EndpointID {
	ids := d.PushingBack(now, service, limit)
	for _, row := range d.services[service] {
		if len(ids) < limit && !row.presumedUp(now) && !row.announced.pushedBack(now) {
			ids = append(ids, row.ID)
		}
	}
	return ids
}

// SetRelayAvailable sets whether there are other instances that may relay attempts.
func (d *Dispatcher) SetRelayAvailable(available bool) { d.links.relayAvailable = available }

// RecordLinkResponse records that an endpoint has accepted a connection of this instance.
func (d *Dispatcher) RecordLinkResponse() { d.links.recordResponse() }

// EndProbes records that an endpoint which accepted no connection is no longer probed, so that
// requests find out whether it does.
func (d *Dispatcher) EndProbes(now tables.Instant, id tables.EndpointID) {
	if row := d.endpoints[id]; row != nil {
		row.setReachable(now, true)
	}
}

// LinksLost reports whether this instance has lost its links to all endpoints.
func (d *Dispatcher) LinksLost() bool { return d.links.lost }

// LinksSuspected reports whether an endpoint has accepted no connection and none has responded
// since.
func (d *Dispatcher) LinksSuspected() bool { return len(d.links.failed) > 0 }

// LinkProbes returns up to n endpoints, chosen pseudorandomly, that are not probed yet. A
// connection to one of them shows whether this instance has lost its links or the endpoints that
// accept no connection are down.
func (d *Dispatcher) LinkProbes(n int) []fleet.Endpoint {
	var all []*endpointRow
	for _, rows := range d.services {
		for _, row := range rows {
			if !row.unreachable && !row.isLeaving() {
				all = append(all, row)
			}
		}
	}
	slices.SortFunc(all, func(a, b *endpointRow) int { return cmp.Compare(a.ID, b.ID) })
	var chosen []fleet.Endpoint
	for len(chosen) < n && len(all) > 0 {
		d.decisions++
		i := int(placement.Mix64(d.options.Seed^d.decisions) % uint64(len(all)))
		chosen = append(chosen, all[i].Endpoint)
		all[i] = all[len(all)-1]
		all = all[:len(all)-1]
	}
	return chosen
}

// recordLinkFailure records that an endpoint accepted no connection of this instance.
func (d *Dispatcher) recordLinkFailure(row *endpointRow) {
	total := 0
	for _, rows := range d.services {
		total += len(rows)
	}
	d.links.recordFailure(row.ID, total)
}

// RelayVerdict is whether this instance may open a connection to an endpoint for another one.
type RelayVerdict uint8

// The verdicts.
const (
	RelayAllowed RelayVerdict = iota
	// RelayUnknownEndpoint: this instance does not know the endpoint at that address.
	RelayUnknownEndpoint
	// RelayPartitioned: this instance has lost its own links.
	RelayPartitioned
	// RelayUnreachable: the endpoint accepts no connections from this instance.
	RelayUnreachable
	// RelayPushedBack: the endpoint has requested a back-off from this instance.
	RelayPushedBack
	// RelayLeaving: the endpoint is about to stop.
	RelayLeaving
)

// JudgeRelay decides whether another instance's attempt may go to an endpoint through this one.
func (d *Dispatcher) JudgeRelay(now tables.Instant, to *fleet.Endpoint) RelayVerdict {
	row := d.endpoints[to.ID]
	switch {
	case row == nil || row.Address != to.Address || row.isStore:
		return RelayUnknownEndpoint
	case d.links.lost:
		return RelayPartitioned
	case !row.connectable(now):
		return RelayUnreachable
	case row.announced.pushedBack(now):
		return RelayPushedBack
	case row.isLeaving():
		return RelayLeaving
	}
	return RelayAllowed
}
