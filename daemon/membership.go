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

// peerSources is how many other instances the follower may ask when it reaches
// no control instance.
const peerSources = 3

// startMembership joins the other instances.
func (d *Daemon) startMembership() error {
	p := d.options.Process
	joined, err := gossip.Start(gossip.Options{
		Membership: membership.Options{
			Self: membership.InstanceInfo{
				Instance: p.Instance, Zone: p.Zone, Roles: membership.Roles(p.Entry, p.Control), Size: p.Size,
				Address: p.Listen.Membership, Control: p.Listen.Instances,
				Boot: d.boot,
			},
			Seeds:      p.Peers,
			RandomSeed: d.seed(),
		},
		Ring:             d.instanceKeys,
		Log:              d.options.Log,
		OnMembersChanged: d.membersChanged,
		OnNewerRevision:  d.fetchFrom,
		OnPlacement:      d.placedElsewhere,
		IsReachable:      d.options.IsReachable,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	d.members.Store(joined)
	d.tellRevision()
	return nil
}

// membersChanged tells the router which part of the load is this instance's.
func (d *Daemon) membersChanged(members []membership.Member) {
	if d.entry == nil {
		return
	}
	self := d.options.Process.Instance
	total, own, rank, of := 0, d.options.Process.Size, 0, 0
	for _, m := range members {
		if m.Roles&membership.RoleEntry == 0 || m.State >= membership.Dead || m.Leaving {
			continue
		}
		of++
		total += m.Size
		if m.Instance < self {
			rank++
		}
	}
	if total < own {
		total, of = own, 1
	}
	d.entry.Observe(router.EntryPeers{Share: float64(own) / float64(total), Rank: rank, Count: of})
}

// fetchFrom asks an instance that has a newer revision in force. It is how an
// instance that reaches no control instance still gets it.
func (d *Daemon) fetchFrom(at netip.AddrPort) {
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(d.stopping, fetchTimeout)
		defer cancel()
		_ = d.follower.FetchNewer(ctx, d.dialer.Control(at.String()))
	})
}

// placedElsewhere takes another instance's placement as a hint.
func (d *Daemon) placedElsewhere(p membership.Placement) {
	if d.entry != nil {
		d.entry.Observe(router.PeerPlacement{Endpoint: p.Endpoint, Boot: p.Boot, Block: p.Block})
	}
}

// alive lists the other living instances.
func (d *Daemon) alive() []membership.Member {
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

// entryPeers lists the other living entry instances.
func (d *Daemon) entryPeers() []membership.Member {
	var entries []membership.Member
	for _, m := range d.alive() {
		if m.Roles&membership.RoleEntry != 0 {
			entries = append(entries, m)
		}
	}
	return entries
}

// nearPeers lists a few other living instances that are not in the control
// group, those of the own availability zone first.
func (d *Daemon) nearPeers() []membership.Member {
	var others []membership.Member
	for _, m := range d.alive() {
		if m.Roles&membership.RoleControl == 0 {
			others = append(others, m)
		}
	}
	own := func(m membership.Member) bool { return m.Zone == d.options.Process.Zone }
	sort.SliceStable(others, func(i, j int) bool { return own(others[i]) && !own(others[j]) })
	return others[:min(len(others), peerSources)]
}

// stateWords are the states as operators see them.
var stateWords = map[membership.State]string{
	membership.Alive:   "alive",
	membership.Suspect: "suspect",
	membership.Dead:    "dead",
	membership.Left:    "left",
}

// instanceStatuses lists what this instance knows of all instances.
func (d *Daemon) instanceStatuses() []*rpc.InstanceStatus {
	joined := d.members.Load()
	if joined == nil {
		return nil
	}
	var statuses []*rpc.InstanceStatus
	for _, m := range joined.Members() {
		state := stateWords[m.State]
		if m.Leaving && m.State < membership.Dead {
			state = "leaving"
		}
		statuses = append(statuses, &rpc.InstanceStatus{
			Instance: string(m.Instance), Zone: string(m.Zone), Role: roleWords(m.Roles), State: state,
			Revision: uint64(m.Revision), Since: m.Since.UnixNano(),
		})
	}
	return statuses
}

func roleWords(roles membership.Role) string {
	var words []string
	if roles&membership.RoleEntry != 0 {
		words = append(words, "entry")
	}
	if roles&membership.RoleControl != 0 {
		words = append(words, "control")
	}
	return strings.Join(words, ", ")
}

// inForce is a configuration and since when it is in force here.
type inForce struct {
	configuration *tables.Configuration
	since         time.Time
}

// tellRevision lets the other instances know what is in force here. Whoever
// comes second, the first configuration or the joining, tells it.
func (d *Daemon) tellRevision() {
	joined := d.members.Load()
	now := d.inForce.Load()
	if joined != nil && now != nil {
		joined.SetRevision(now.configuration.Revision, now.since)
	}
}
