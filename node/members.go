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
				Instance: s.Instance, Zone: s.Zone, Roles: membership.Roles(s.Entry, s.Control), Size: sizeOf(s.Processors),
				Address: s.Advertise.Membership, Control: s.Advertise.Instances, Boot: n.boot,
			},
			Seeds:         seeds,
			RandomSeed:    n.seed(),
			UseSchedulers: true,
		},
		Listen:   s.Listen.Membership,
		Ring:     keys.Of(datagramKey),
		Log:      n.log,
		Changed:  n.membersChanged,
		Placed:   n.placedElsewhere,
		Loaded:   n.loadedElsewhere,
		Schedule: n.scheduleMessage,
		Usage:    n.usageMessage,
		Relay: func(placements []membership.Placement) {
			n.hints.Add(membership.Hints{Placements: placements})
		},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	n.members.Store(joined)
	if n.entry != nil {
		n.background.Go(n.sendHints)
		n.background.Go(n.sendRemotePlacements)
		n.background.Go(n.sendRemoteLoads)
		n.background.Go(func() { n.accounts.Run(n.stopping) })
	}
	return nil
}

// membersChanged lets the entry know how many share limits with it.
func (n *Node) membersChanged(members []membership.Member) {
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
	peers := n.peerCount.most(n.now(), of)
	n.sharing.Store(int64(peers))
	n.entry.SetInstanceRank(rank, peers)
	n.noteLostEntries(members)
	n.entry.SetSchedulerCounts(membership.CountSchedulers(members, n.options.Settings.Zone))
}

// peerMemory is for how long the highest number of peers counts.
const peerMemory = time.Minute

// peerCount remembers the most entry instances that were known of late. Those
// that are cut off are not known and go on all the same.
type peerCount struct {
	mu    sync.Mutex
	of    int
	since tables.Instant
}

func (p *peerCount) most(now tables.Instant, of int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if of >= p.of || now-p.since > peerMemory {
		p.of, p.since = of, now
	}
	return p.of
}

// sourceCache keeps one client for each control instance. It is safe for
// concurrent use.
type sourceCache struct {
	mu      sync.Mutex
	clients map[string]rpc.Deployment
}

func (c *sourceCache) source(address string, client *http.Client) deployment.Source {
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
	if joined := n.members.Load(); joined != nil {
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
		sources = append(sources, n.sources.source(at.String(), n.client))
	}
	return sources
}

// entryMembers lists the living entry instances, this one among them.
func (n *Node) entryMembers() []membership.Member {
	joined := n.members.Load()
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

// entryPeers lists where the other living entry instances answer.
func (n *Node) entryPeers() []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range n.entryMembers() {
		if m.Instance != n.options.Settings.Instance {
			all = append(all, m.Control)
		}
	}
	return all
}

// cachePeers lists where the entry instances answer that get reports of what endpoints
// keep: those that choose, in all zones.
func (n *Node) cachePeers() []netip.AddrPort {
	joined := n.members.Load()
	if joined == nil {
		return nil
	}
	schedulers := joined.AllSchedulers()
	if len(schedulers) == 0 {
		return n.entryPeers()
	}
	var all []netip.AddrPort
	for _, s := range schedulers {
		if s.Instance != n.options.Settings.Instance {
			all = append(all, s.Control)
		}
	}
	return all
}

// callPeers calls every other living entry instance.
func (n *Node) callPeers(call func(ctx context.Context, at string)) {
	for _, at := range n.entryPeers() {
		go func() {
			ctx, cancel := context.WithTimeout(n.stopping, notifyTimeout)
			defer cancel()
			call(ctx, "http://"+at.String())
		}()
	}
}

// notifyTimeout bounds notifying one instance of a crash, with all tries.
const notifyTimeout = 2500 * time.Millisecond
