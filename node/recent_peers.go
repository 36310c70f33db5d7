package node

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// peersLearnedAfter is the time after the start of the process within which the members become
// known: a few rounds of gossip with the seeds, also if the first ones do not respond.
const peersLearnedAfter = 5 * time.Second

// recentPeers is how many other entry instances have been known at once recently. Those that a
// partition has made count as dead are alive, so an instance that has had peers recently does
// not count as alone. It is safe for concurrent use.
type recentPeers struct {
	mu sync.Mutex
	// known is set once another member of any role has been observed.
	known bool
	all   recentMax
	zones map[tables.Zone]*recentMax
}

// observe records the current members.
func (p *recentPeers) observe(now tables.Instant, self tables.InstanceID, members []membership.Member) {
	all, zones := 0, map[tables.Zone]int{}
	for _, m := range members {
		if m.Instance != self && m.Roles&membership.RoleEntry != 0 && m.State < membership.Dead {
			all++
			zones[m.Zone]++
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = p.known || len(members) > 1
	p.all.observe(now, all)
	for zone := range zones {
		if p.zones[zone] == nil {
			if p.zones == nil {
				p.zones = map[tables.Zone]*recentMax{}
			}
			p.zones[zone] = &recentMax{}
		}
	}
	for zone, most := range p.zones {
		most.observe(now, zones[zone])
	}
}

// peers reports whether there are or recently were other instances. now is the time since the
// start of the process. hasSeeds is set if other instances are configured as seeds: an instance
// that has not heard from any member then does not count as alone.
func (p *recentPeers) peers(now tables.Instant, hasSeeds bool) relay.Peers {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case hasSeeds && !p.known || now < peersLearnedAfter:
		return relay.PeersUnknown
	case p.all.at(now) == 0:
		return relay.NoPeers
	}
	return relay.HasPeers
}

// counts returns the recent maxima for all zones and for one.
func (p *recentPeers) counts(now tables.Instant, zone tables.Zone) (all, inZone int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if most := p.zones[zone]; most != nil {
		inZone = most.at(now)
	}
	return p.all.at(now), inZone
}

// recentMax is the maximum that a number has had within peerCountWindow. Unlike peerCountMax it
// counts a number as recent until the change that ends it, since members are observed only when
// they change.
type recentMax struct {
	current, most int
	// mostUntil is until when the number is known to have had its maximum.
	mostUntil tables.Instant
}

// observe records that the number changes now.
func (r *recentMax) observe(now tables.Instant, number int) {
	r.at(now)
	r.current = number
	r.at(now)
}

// at returns the maximum within peerCountWindow before now.
func (r *recentMax) at(now tables.Instant) int {
	if r.current >= r.most || now-r.mostUntil > peerCountWindow {
		r.most, r.mostUntil = r.current, now
	}
	return r.most
}

// peers reports whether there are or recently were other entry instances.
func (n *Node) peers() relay.Peers {
	self := n.options.Settings.Advertise.Instances
	hasSeeds := slices.ContainsFunc(n.seedInstances(), func(seed netip.AddrPort) bool { return seed != self })
	return n.recentPeers.peers(n.now(), hasSeeds)
}
