package node

import (
	"context"
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

// datagramKey marks the datagrams of forwarding deployments. The network keeps
// strangers out; this only drops what is not meant for the system.
const datagramKey = "carawaystile forwarding deployment"

// startMembership joins the other instances.
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
		},
		Listen:   s.Listen.Membership,
		Ring:     keys.Of(datagramKey),
		Log:      n.log,
		Changed:  n.handleMembersChanged,
		Placed:   n.handlePlacement,
		Loaded:   n.handleLoad,
		Schedule: n.handleScheduleMessage,
		Usage:    n.handleUsageMessage,
		Relay: func(placements []membership.Placement) {
			n.zoneHints.Add(membership.Hints{Placements: placements})
		},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	n.gossip.Store(joined)
	if n.entry != nil {
		n.background.Go(n.sendHints)
		n.background.Go(n.sendRemotePlacements)
		n.background.Go(n.sendRemoteLoads)
		n.background.Go(func() { n.usageServer.Run(n.lifetime) })
	}
	return nil
}

// handleMembersChanged lets the entry know how many share limits with it.
func (n *Node) handleMembersChanged(members []membership.Member) {
	if n.entry == nil {
		return
	}
	rank, of := 0, 0
	for _, m := range members {
		if m.Roles&membership.RoleEntry == 0 || m.State >= membership.Dead {
			continue
		}
		of++
		if m.Instance < n.options.Settings.Instance {
			rank++
		}
	}
	peers := n.peerCount.observe(n.now(), of)
	n.limitSharers.Store(int64(peers))
	n.entry.SetInstanceRank(rank, peers)
	n.detectLostEntries(members)
	n.entry.SetSchedulerCounts(membership.CountSchedulers(members, n.options.Settings.Zone))
}

// peerCountWindow is for how long the highest number of peers counts.
const peerCountWindow = time.Minute

// peerCountMax remembers the most entry instances that were known of late. Those
// that are cut off are not known and go on all the same.
type peerCountMax struct {
	mu        sync.Mutex
	count     int
	countedAt tables.Instant
}

func (p *peerCountMax) observe(now tables.Instant, of int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if of >= p.count || now-p.countedAt > peerCountWindow {
		p.count, p.countedAt = of, now
	}
	return p.count
}

// controlClientCache keeps one client for each control instance. It is safe for
// concurrent use.
type controlClientCache struct {
	mu      sync.Mutex
	clients map[string]rpc.Deployment
}

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

// controlSources lists the control instances, those of the own zone first:
// they are reached when the zone is cut off. Seeds come after those that
// membership knows of.
func (n *Node) controlSources() []deployment.Source {
	var near, far []netip.AddrPort
	if joined := n.gossip.Load(); joined != nil {
		for _, m := range joined.Members() {
			switch {
			case m.Roles&membership.RoleControl == 0 || m.State >= membership.Dead:
			case m.Zone == n.options.Settings.Zone:
				near = append(near, m.Control)
			default:
				far = append(far, m.Control)
			}
		}
	}
	all := append(near, far...)
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

// liveEntryMembers lists the living entry instances, this one among them.
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

// entryPeerAddresses lists where the other living entry instances answer.
func (n *Node) entryPeerAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range n.liveEntryMembers() {
		if m.Instance != n.options.Settings.Instance {
			all = append(all, m.Control)
		}
	}
	return all
}

// cacheReportReceivers lists where the entry instances answer that get reports of what endpoints
// keep: those that choose, in all zones.
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

// callEntryPeers calls every other living entry instance.
func (n *Node) callEntryPeers(call func(ctx context.Context, at string)) {
	for _, at := range n.entryPeerAddresses() {
		go func() {
			ctx, cancel := context.WithTimeout(n.lifetime, suspectNotifyTimeout)
			defer cancel()
			call(ctx, "http://"+at.String())
		}()
	}
}

// suspectNotifyTimeout bounds notifying one instance of a crash, with all tries.
const suspectNotifyTimeout = 2500 * time.Millisecond
