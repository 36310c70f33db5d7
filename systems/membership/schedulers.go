package membership

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// In a group with more than FullMeshLimit entry instances, a few entry instances of
// each availability zone, its schedulers, choose endpoints for all of them if
// Options.UseSchedulers is set. Only the schedulers receive hints. The traffic to
// an instance then does not grow with the group, and schedulers learn of each
// other's choices within milliseconds.

const (
	// entriesPerScheduler is how many entry instances of a zone share a scheduler.
	entriesPerScheduler = 16
	// minSchedulers is the minimum number of schedulers in a zone, as far as it has
	// that many entry instances: one of them may hang.
	minSchedulers = 2
)

// electSchedulers returns the schedulers among the living entry instances of one
// zone: the largest instances, with ties broken by the highest hash. Instances with
// the same view elect the same schedulers without exchanging messages.
func electSchedulers(entries []*member) []*member {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(b.hash, a.hash), cmp.Compare(a.Instance, b.Instance))
	})
	return ranked[:schedulerCount(len(entries))]
}

// hashOf returns the FNV-1a hash of an instance ID.
func hashOf(id tables.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// EntryInstance is an entry instance and its addresses.
type EntryInstance struct {
	Instance tables.InstanceID
	// Address receives datagrams; Control serves the other instances over TCP.
	Address netip.AddrPort
	Control netip.AddrPort
	// Size is the weight that the instance has published, and Loaded is set while it is near the
	// limit of its processor, link or memory.
	Size   int
	Loaded bool
	// Weight is Size while all entry instances divide common work by size, and 0 otherwise.
	Weight int
}

// Schedulers returns the schedulers of this instance's zone in order of preference;
// none if each entry instance chooses endpoints itself.
func (m *Membership) Schedulers() []EntryInstance {
	m.refreshDerived()
	return m.members.schedulers
}

// AllSchedulers returns the schedulers of all zones; none if each entry instance
// chooses endpoints itself.
func (m *Membership) AllSchedulers() []EntryInstance {
	m.refreshDerived()
	all := slices.Clone(m.members.schedulers)
	if len(all) == 0 {
		return nil
	}
	for _, schedulers := range m.members.remoteGroups {
		for _, row := range schedulers {
			all = append(all, m.entryOf(row))
		}
	}
	return all
}

// entryOf returns the instance, addresses and size of a member.
func (m *Membership) entryOf(row *member) EntryInstance {
	entry := EntryInstance{Instance: row.Instance, Address: row.Address, Control: row.Control, Size: row.Size, Loaded: row.Loaded}
	if m.members.sizesInUse {
		entry.Weight = row.Size
	}
	return entry
}

// liveEntriesByZone returns the living entry instances of each zone.
func (m *Membership) liveEntriesByZone() map[tables.Zone][]*member {
	zones := map[tables.Zone][]*member{}
	for _, row := range m.members.sorted {
		if row.State <= Suspect && row.Roles&RoleEntry != 0 {
			zones[row.Zone] = append(zones[row.Zone], row)
		}
	}
	return zones
}

// refreshEntries recomputes the derived values that concern entry instances: the
// schedulers, the hint receivers and the relays of other zones.
func (m *Membership) refreshEntries() {
	zones := m.liveEntriesByZone()
	t := &m.members
	t.entryCount, t.schedulers, t.hintReceivers, t.remoteGroups = 0, nil, nil, nil
	t.sizesInUse = m.useSizes && allUseSizes(zones)
	t.entriesByZone = make(map[tables.Zone][]EntryInstance, len(zones))
	for zone, entries := range zones {
		t.entryCount += len(entries)
		for _, row := range entries {
			t.entriesByZone[zone] = append(t.entriesByZone[zone], m.entryOf(row))
		}
	}
	beyondFullMesh := t.entryCount > FullMeshLimit
	schedule := beyondFullMesh && m.useSchedulers
	for zone, entries := range zones {
		sameZone := zone == m.self.Zone
		if schedule {
			entries = electSchedulers(entries)
		}
		if beyondFullMesh && !sameZone {
			t.remoteGroups = append(t.remoteGroups, entries)
			continue
		}
		for _, row := range entries {
			if schedule {
				t.schedulers = append(t.schedulers, m.entryOf(row))
			}
			if row != m.self {
				t.hintReceivers = append(t.hintReceivers, row.Address)
			}
		}
	}
	slices.SortFunc(t.remoteGroups, func(a, b []*member) int { return cmp.Compare(a[0].Zone, b[0].Zone) })
}

// EntriesByZone returns the living entry instances of each zone.
func (m *Membership) EntriesByZone() map[tables.Zone][]EntryInstance {
	m.refreshDerived()
	return m.members.entriesByZone
}

// EncodeSchedule encodes a message between an entry instance and a scheduler. It
// depends on neither the members nor the clock.
func (m *Membership) EncodeSchedule(to netip.AddrPort, message *rpc.ScheduleMessage) Output {
	d := m.newHintDatagram()
	d.Kind, d.Schedule = datagramSchedule, message
	return encodeDatagram(to, d)
}

// EncodeStreamOrigins encodes origins of streams. Like EncodeSchedule, it depends on
// neither the members nor the clock.
func (m *Membership) EncodeStreamOrigins(to netip.AddrPort, message *rpc.StreamOrigins) Output {
	d := m.newHintDatagram()
	d.Kind, d.Streams = datagramStreams, message
	return encodeDatagram(to, d)
}

// EncodeUsage encodes a message about organisations' usage. Like EncodeSchedule, it
// depends on neither the members nor the clock.
func (m *Membership) EncodeUsage(to netip.AddrPort, message *rpc.UsageMessage) Output {
	d := m.newHintDatagram()
	d.Kind, d.Usage = datagramUsage, message
	return encodeDatagram(to, d)
}

// encodeDatagram returns the encoded datagram as the only output; no output if it
// cannot be encoded.
func encodeDatagram(to netip.AddrPort, d *rpc.Datagram) Output {
	payload, err := proto.Marshal(d)
	if err != nil {
		return Output{}
	}
	return Output{Datagrams: []Datagram{{To: to, Payload: payload}}}
}

// CountSchedulers returns how many other instances choose endpoints, from the point
// of view of one in the given zone: local counts those that it tells of each choice
// directly, remote those that learn of it through a relay.
func CountSchedulers(members []Member, zone tables.Zone) (local, remote int) {
	zones, entries := map[tables.Zone]int{}, 0
	for _, m := range members {
		if m.State <= Suspect && m.Roles&RoleEntry != 0 {
			zones[m.Zone]++
			entries++
		}
	}
	if entries <= FullMeshLimit {
		return entries - 1, 0
	}
	for name, n := range zones {
		if name == zone {
			local = schedulerCount(n) - 1
		} else {
			remote += schedulerCount(n)
		}
	}
	return local, remote
}

// schedulerCount returns the number of schedulers in a zone with the given number
// of entry instances.
func schedulerCount(entries int) int {
	return min(entries, max(minSchedulers, (entries+entriesPerScheduler-1)/entriesPerScheduler))
}
