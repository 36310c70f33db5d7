package node

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// datagramKey is the shared key of the datagrams of forwarding deployments. It is not a secret:
// the network keeps unauthorised senders out, and the key only rejects datagrams that are not
// meant for the system.
const datagramKey = "carawaystile forwarding deployment"

// startMembership joins the gossip membership and starts to send hints.
func (n *Node) startMembership() error {
	s := n.options.Settings
	var seeds []netip.AddrPort
	for _, seed := range s.Seeds {
		if at := netip.AddrPortFrom(seed.Addr(), s.Advertise.Membership.Port()); at != s.Advertise.Membership {
			seeds = append(seeds, at)
		}
	}
	joined, err := gossip.Start(gossip.Options{
		Membership: membership.Options{
			Self: membership.InstanceInfo{
				Instance: s.Instance, Zone: s.Zone, Roles: membership.Roles(s.Entry, s.Control), Size: processorWeight(s.Processors),
				Address: s.Advertise.Membership, Control: s.Advertise.Instances, Boot: n.boot,
			},
			Seeds:         seeds,
			RandomSeed:    n.randomSeed(),
			UseSchedulers: true,
			UseSizes:      n.sizes.enabled,
			FastDiscovery: n.startsFast(),
		},
		ListenAddress:    s.Listen.Membership,
		Ring:             keys.NewRing(datagramKey),
		Log:              n.log,
		OnMembersChanged: n.handleMembersChanged,
		OnPlacement:      n.handlePlacement,
		OnLoad:           n.handleLoad,
		OnSchedule:       n.handleScheduleMessage,
		OnUsage:          n.handleUsageMessage,
		OnStreamOrigins:  n.receiveStreamOrigins,
		OnRelay: func(placements []membership.Placement) {
			n.zoneHints.Add(membership.Hints{Placements: placements})
		},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	n.gossip.Store(joined)
	if n.entry != nil {
		n.reapplyEndpoints()
		n.background.Go(n.sendHints)
		n.background.Go(n.fetchConvictions)
		n.background.Go(n.gossipConvictions)
		n.background.Go(n.sendRemotePlacements)
		n.background.Go(n.sendRemoteLoads)
		n.background.Go(func() { n.usageServer.Run(n.lifetime) })
		n.background.Go(n.awaitSettled)
		if n.sizes.enabled {
			n.background.Go(n.watchLoad)
		}
	}
	return nil
}

// handleMembersChanged passes on what depends on the set of entry instances: this instance's
// rank among them, the number of them that share rate limits, the loss of one that may have
// owned token buckets, and the number of schedulers.
func (n *Node) handleMembersChanged(members []membership.Member) {
	if n.entry == nil {
		return
	}
	rank, count := 0, 0
	for _, m := range members {
		if m.Roles&membership.RoleEntry == 0 || m.State >= membership.Dead {
			continue
		}
		count++
		if m.Instance < n.options.Settings.Instance {
			rank++
		}
	}
	n.reapplyEndpoints()
	n.observeSizes(members)
	n.recentPeers.observe(n.now(), n.options.Settings.Instance, members)
	n.limitSharers.Store(int64(n.peerCount.observe(n.now(), count)))
	n.knownEntries.Store(int64(count))
	n.entryRank.Store(int64(rank))
	n.updateInstanceCount()
	n.detectLostEntries(members)
	n.entry.SetRelayAvailable(count > 1)
	n.permitServer.SetMembers(entryIDs(members))
	n.relayDialer.Forget(isGone(members))
	n.endAttemptsOfLostInstances(members)
	n.entry.SetSchedulerCounts(membership.CountSchedulers(members, n.options.Settings.Zone))
}

// peerCountWindow is the time for which a maximum number of entry instances stays valid.
const peerCountWindow = time.Minute

// peerCountMax is the recent maximum of the number of known entry instances. Instances that
// are partitioned are not known but continue to admit requests, so they still count towards
// shared limits. It is safe for concurrent use.
type peerCountMax struct {
	mu        sync.Mutex
	count     int
	countedAt tables.Instant
}

// observe records a current number and returns the maximum. After peerCountWindow without a
// number that reaches the maximum, the current one replaces it.
func (p *peerCountMax) observe(now tables.Instant, count int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count >= p.count || now-p.countedAt > peerCountWindow {
		p.count, p.countedAt = count, now
	}
	return p.count
}

// controlClientCache caches one RPC client for each control instance. It is safe for
// concurrent use.
type controlClientCache struct {
	mu      sync.Mutex
	clients map[string]rpc.Deployment
}

// source returns the cached client for an address, or creates it.
func (c *controlClientCache) source(address string, client *http.Client) deployment.Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.clients[address]
	if known == nil {
		if c.clients == nil {
			c.clients = map[string]rpc.Deployment{}
		}
		known = rpc.NewDeploymentProtobufClient("http://"+address, client)
		c.clients[address] = known
	}
	return deployment.Source{Name: address, Deployment: known}
}

// controlSources lists the control instances in order of preference: those of the instance's
// zone, which stay reachable when the zone is partitioned, then those of other zones, then the
// seeds that are not known members.
func (n *Node) controlSources() []deployment.Source {
	var sameZone, otherZones []netip.AddrPort
	if joined := n.gossip.Load(); joined != nil {
		for _, m := range joined.Members() {
			switch {
			case m.Roles&membership.RoleControl == 0 || m.State >= membership.Dead:
			case m.Zone == n.options.Settings.Zone:
				sameZone = append(sameZone, m.Control)
			default:
				otherZones = append(otherZones, m.Control)
			}
		}
	}
	all := append(sameZone, otherZones...)
	for _, seed := range n.seedInstances() {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	sources := make([]deployment.Source, 0, len(all))
	for _, at := range all {
		sources = append(sources, n.controlClients.source(at.String(), n.client))
	}
	return sources
}

// liveEntryMembers returns the entry instances that are not dead, including this one.
func (n *Node) liveEntryMembers() []membership.Member {
	joined := n.gossip.Load()
	if joined == nil {
		return nil
	}
	var all []membership.Member
	for _, m := range joined.Members() {
		if m.Roles&membership.RoleEntry != 0 && m.State < membership.Dead {
			all = append(all, m)
		}
	}
	return all
}

// entryPeerAddresses returns the RPC addresses of the other live entry instances.
func (n *Node) entryPeerAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range n.liveEntryMembers() {
		if m.Instance != n.options.Settings.Instance {
			all = append(all, m.Control)
		}
	}
	return all
}

// cacheReportReceivers returns the RPC addresses of the other entry instances that select
// endpoints, in all zones: the schedulers, or all entry instances if there are no schedulers.
func (n *Node) cacheReportReceivers() []netip.AddrPort {
	joined := n.gossip.Load()
	if joined == nil {
		return nil
	}
	schedulers := joined.AllSchedulers()
	if len(schedulers) == 0 {
		return n.entryPeerAddresses()
	}
	var all []netip.AddrPort
	for _, s := range schedulers {
		if s.Instance != n.options.Settings.Instance {
			all = append(all, s.Control)
		}
	}
	return all
}
