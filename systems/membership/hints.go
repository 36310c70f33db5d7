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

// wideGroup is how many living entry instances are told of placements wherever
// they are. With more, only those of the own availability zone are: what is told
// grows with the square of the group otherwise, and prefixes have their homes in
// each zone.
const wideGroup = 24

// TellPlacements sends placements to the other living entry instances, directly
// and once. Prefixes are hot for seconds, so that hints which ride on the pings
// of a second each would come too late to save anything. The caller keeps the
// budget; what is lost costs some reuse and nothing else.
func (m *Membership) TellPlacements(now tables.Instant, placements []Placement) Output {
	m.now = now
	peers := m.entryPeers()
	if len(peers) == 0 {
		return m.take()
	}
	for len(placements) > 0 {
		d := m.datagram(datagramHints, 0)
		told := m.addPlacements(d, placements)
		if told == 0 {
			break
		}
		placements = placements[told:]
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

// entryPeers lists the addresses that placements are told to.
func (m *Membership) entryPeers() []netip.AddrPort {
	var all, near []netip.AddrPort
	for _, row := range m.Members() {
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
func (m *Membership) addPlacements(d *rpc.Datagram, placements []Placement) int {
	room := m.config.DatagramBytes - proto.Size(d)
	for i, p := range placements {
		encoded := &rpc.CachePlacement{Endpoint: string(p.Endpoint), Boot: string(p.Boot), Block: uint64(p.Block)}
		size := proto.Size(encoded) + fieldOverhead
		if size > room {
			return i
		}
		room -= size
		d.Placements = append(d.Placements, encoded)
	}
	return len(placements)
}

// takePlacements hands out the placements of a datagram.
func (m *Membership) takePlacements(in *rpc.Datagram) {
	for _, encoded := range in.GetPlacements() {
		m.out.Placements = append(m.out.Placements, Placement{
			Endpoint: tables.EndpointID(encoded.GetEndpoint()),
			Boot:     tables.BootID(encoded.GetBoot()),
			Block:    tables.BlockHash(encoded.GetBlock()),
		})
	}
}
