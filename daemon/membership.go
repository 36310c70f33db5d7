package daemon

import (
	"context"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// maxPeerSources bounds the instances without the control role that the follower
// may ask when it reaches no control instance.
const maxPeerSources = 3

// startMembership joins the gossip membership of the instances.
func (d *Daemon) startMembership() error {
	p := d.options.Process
	joined, err := gossip.Start(gossip.Options{
		Membership: membership.Options{
			Self: membership.InstanceInfo{
				Instance: p.Instance, Zone: p.Zone, Roles: membership.Roles(p.Entry, p.Control), Size: p.Size,
				Address: p.Listen.Membership, Control: p.Listen.Instances,
				Boot: d.bootEpoch,
			},
			Seeds:      p.Peers,
			RandomSeed: d.randomSeed(),
		},
		Ring:             d.instanceKeys,
		Log:              d.options.Log,
		OnMembersChanged: d.updateEntryShare,
		OnNewerRevision:  d.fetchNewerFrom,
		OnPlacement:      d.observePeerPlacement,
		IsReachable:      d.options.IsReachable,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	d.members.Store(joined)
	d.advertiseRevision()
	return nil
}

// updateEntryShare tells the router this instance's share of the load, its rank and
// the number of live entry instances.
func (d *Daemon) updateEntryShare(members []membership.Member) {
	if d.entry == nil {
		return
	}
	self := d.options.Process.Instance
	totalSize, ownSize, rank, entryCount := 0, d.options.Process.Size, 0, 0
	for _, m := range members {
		if m.Roles&membership.RoleEntry == 0 || m.State >= membership.Dead || m.Leaving {
			continue
		}
		entryCount++
		totalSize += m.Size
		if m.Instance < self {
			rank++
		}
	}
	if totalSize < ownSize {
		totalSize, entryCount = ownSize, 1
	}
	d.entry.Observe(router.EntryPeers{Share: float64(ownSize) / float64(totalSize), Rank: rank, Count: entryCount})
}

// fetchNewerFrom fetches the configuration from an instance that has advertised a
// newer revision. Instances without a connection to control instances receive it in
// this way.
func (d *Daemon) fetchNewerFrom(address netip.AddrPort) {
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(d.runContext, fetchTimeout)
		defer cancel()
		_ = d.follower.FetchNewer(ctx, d.dialer.Control(address.String()))
	})
}

// observePeerPlacement passes another instance's prefix placement to the router as
// a hint.
func (d *Daemon) observePeerPlacement(p membership.Placement) {
	if d.entry != nil {
		d.entry.Observe(router.PeerPlacement{Endpoint: p.Endpoint, Boot: p.Boot, Block: p.Block})
	}
}

// livePeers returns the other instances that are not dead.
func (d *Daemon) livePeers() []membership.Member {
	joined := d.members.Load()
	if joined == nil {
		return nil
	}
	var others []membership.Member
	for _, m := range joined.Members() {
		if m.Instance != d.options.Process.Instance && m.State < membership.Dead {
			others = append(others, m)
		}
	}
	return others
}

// liveEntryPeers returns the livePeers with the entry role.
func (d *Daemon) liveEntryPeers() []membership.Member {
	var entries []membership.Member
	for _, m := range d.livePeers() {
		if m.Roles&membership.RoleEntry != 0 {
			entries = append(entries, m)
		}
	}
	return entries
}

// peerSourcesByProximity returns at most maxPeerSources livePeers without the
// control role, those of the own availability zone first.
func (d *Daemon) peerSourcesByProximity() []membership.Member {
	var others []membership.Member
	for _, m := range d.livePeers() {
		if m.Roles&membership.RoleControl == 0 {
			others = append(others, m)
		}
	}
	isOwnZone := func(m membership.Member) bool { return m.Zone == d.options.Process.Zone }
	sort.SliceStable(others, func(i, j int) bool { return isOwnZone(others[i]) && !isOwnZone(others[j]) })
	return others[:min(len(others), maxPeerSources)]
}

// memberStateNames are the operator-facing names of member states, in status
// replies and metric labels.
var memberStateNames = map[membership.State]string{
	membership.Alive:   "alive",
	membership.Suspect: "suspect",
	membership.Dead:    "dead",
	membership.Left:    "left",
}

// instanceStatuses returns this instance's view of all instances.
func (d *Daemon) instanceStatuses() []*rpc.InstanceStatus {
	joined := d.members.Load()
	if joined == nil {
		return nil
	}
	var statuses []*rpc.InstanceStatus
	for _, m := range joined.Members() {
		state := memberStateNames[m.State]
		if m.Leaving && m.State < membership.Dead {
			state = "leaving"
		}
		statuses = append(statuses, &rpc.InstanceStatus{
			Instance: string(m.Instance), Zone: string(m.Zone), Role: roleNames(m.Roles), State: state,
			Revision: uint64(m.Revision), Since: m.Since.UnixNano(),
		})
	}
	return statuses
}

// roleNames formats a set of roles for status replies.
func roleNames(roles membership.Role) string {
	var words []string
	if roles&membership.RoleEntry != 0 {
		words = append(words, "entry")
	}
	if roles&membership.RoleControl != 0 {
		words = append(words, "control")
	}
	return strings.Join(words, ", ")
}

// activeConfiguration is the applied configuration and when it was applied.
type activeConfiguration struct {
	configuration *tables.Configuration
	since         time.Time
}

// advertiseRevision advertises the applied revision to other instances through the
// membership. It is called after joining and after applying a configuration:
// whichever happens last advertises the first revision.
func (d *Daemon) advertiseRevision() {
	joined := d.members.Load()
	active := d.active.Load()
	if joined != nil && active != nil {
		joined.SetRevision(active.configuration.Revision, active.since)
	}
}
