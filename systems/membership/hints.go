package membership

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Placement says that a prefix was placed at an endpoint.
type Placement struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Block    tables.BlockHash
}

// Load is what one instance has at an endpoint.
type Load struct {
	// Instance is who told of it; it is not set in what this instance tells.
	Instance tables.InstanceID
	Endpoint tables.EndpointID
	// Running counts requests that have not ended, Tokens their memory, and
	// Prefill the prompt tokens of those without a first event.
	Running, Tokens, Prefill int
}

// Hints are what an instance lets the others know of its requests. What is lost
// costs some reuse or a queue and nothing else.
type Hints struct {
	Placements []Placement
	Loads      []Load
}

// wideGroup is how many living entry instances are told of hints wherever they
// are. With more, only those of the own availability zone are: what is told
// grows with the square of the group otherwise, and prefixes have their homes in
// each zone.
const wideGroup = 24

// TellHints sends hints to other living entry instances, directly and once.
// Prefixes are hot for seconds and queues last for less, so that hints which ride
// on the pings of a second each would come too late to save anything. The caller
// keeps the budget.
func (m *Membership) TellHints(now tables.Instant, hints Hints) Output {
	m.now = now
	peers := m.hintPeers()
	if len(peers) == 0 {
		return m.take()
	}
	for len(hints.Placements)+len(hints.Loads) > 0 {
		d := &rpc.Datagram{Kind: datagramHints, Sender: &rpc.InstanceRow{Instance: string(m.self.Instance)}}
		room := m.config.DatagramBytes - proto.Size(d)
		loads := addLoads(d, hints.Loads, &room)
		placements := addPlacements(d, hints.Placements, &room)
		if loads+placements == 0 {
			break
		}
		hints.Loads, hints.Placements = hints.Loads[loads:], hints.Placements[placements:]
		payload, err := proto.Marshal(d)
		if err != nil {
			break
		}
		for _, to := range peers {
			m.out.Datagrams = append(m.out.Datagrams, Datagram{To: to, Payload: payload})
		}
	}
	return m.take()
}

// HintReceivers is how many instances hints are told to.
func (m *Membership) HintReceivers() int { return len(m.hintPeers()) }

// hintPeers lists the addresses that hints are told to.
func (m *Membership) hintPeers() []netip.AddrPort {
	var all, near []netip.AddrPort
	for _, row := range m.rows {
		if row.Instance == m.self.Instance || row.State > Suspect || row.Roles&RoleEntry == 0 {
			continue
		}
		all = append(all, row.Address)
		if row.Zone == m.self.Zone {
			near = append(near, row.Address)
		}
	}
	if len(all) < wideGroup {
		return all
	}
	return near
}

// addPlacements adds placements while they fit, and returns how many did.
func addPlacements(d *rpc.Datagram, placements []Placement, room *int) int {
	for i, p := range placements {
		encoded := &rpc.CachePlacement{Endpoint: string(p.Endpoint), Boot: string(p.Boot), Block: uint64(p.Block)}
		size := proto.Size(encoded) + fieldOverhead
		if size > *room {
			return i
		}
		*room -= size
		d.Placements = append(d.Placements, encoded)
	}
	return len(placements)
}

// addLoads adds loads while they fit, and returns how many did.
func addLoads(d *rpc.Datagram, loads []Load, room *int) int {
	for i, l := range loads {
		encoded := &rpc.EndpointLoad{
			Endpoint: string(l.Endpoint), Running: uint32(l.Running), Tokens: uint32(l.Tokens), Prefill: uint32(l.Prefill),
		}
		size := proto.Size(encoded) + fieldOverhead
		if size > *room {
			return i
		}
		*room -= size
		d.Loads = append(d.Loads, encoded)
	}
	return len(loads)
}

// takeHints hands out the hints of a datagram.
func (m *Membership) takeHints(in *rpc.Datagram) {
	for _, encoded := range in.GetPlacements() {
		m.out.Hints.Placements = append(m.out.Hints.Placements, Placement{
			Endpoint: tables.EndpointID(encoded.GetEndpoint()),
			Boot:     tables.BootID(encoded.GetBoot()),
			Block:    tables.BlockHash(encoded.GetBlock()),
		})
	}
	for _, encoded := range in.GetLoads() {
		m.out.Hints.Loads = append(m.out.Hints.Loads, Load{
			Instance: tables.InstanceID(in.GetSender().GetInstance()),
			Endpoint: tables.EndpointID(encoded.GetEndpoint()),
			Running:  int(encoded.GetRunning()), Tokens: int(encoded.GetTokens()), Prefill: int(encoded.GetPrefill()),
		})
	}
}
