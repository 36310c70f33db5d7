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

// In a group with more than WideGroup entry instances a few of each availability
// zone, its schedulers, choose endpoints for all of them, where Options say so. Only
// they hear of hints. What an instance is told then does not grow with the group, and
// those that choose know of each other's choices within milliseconds.

const (
	// entriesPerScheduler is how many entry instances of a zone share a scheduler.
	entriesPerScheduler = 16
	// minSchedulers is the least number where a zone has as many: one of them may
	// freeze.
	minSchedulers = 2
)

// schedulersOf picks the schedulers among the living entry instances of one zone:
// the largest, and of equals those with the highest hash.
func schedulersOf(entries []*member) []*member {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(b.hash, a.hash), cmp.Compare(a.Instance, b.Instance))
	})
	return ranked[:schedulerCount(len(entries))]
}

func hashOf(id tables.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// EntryInstance is an entry instance and where it is reached.
type EntryInstance struct {
	Instance tables.InstanceID
	// Address takes datagrams; Control serves the other instances over TCP.
	Address netip.AddrPort
	Control netip.AddrPort
}

// Schedulers lists those of the own zone, the best first; none where each entry
// instance chooses for itself.
func (m *Membership) Schedulers() []EntryInstance {
	m.count()
	return m.roster.schedulers
}

// AllSchedulers lists those of all zones; none where each entry instance chooses for
// itself.
func (m *Membership) AllSchedulers() []EntryInstance {
	m.count()
	all := slices.Clone(m.roster.schedulers)
	if len(all) == 0 {
		return nil
	}
	for _, schedulers := range m.roster.remote {
		for _, row := range schedulers {
			all = append(all, entryOf(row))
		}
	}
	return all
}

func entryOf(row *member) EntryInstance {
	return EntryInstance{Instance: row.Instance, Address: row.Address, Control: row.Control}
}

// zones lists the living entry instances of each zone.
func (m *Membership) zones() map[tables.Zone][]*member {
	zones := map[tables.Zone][]*member{}
	for _, row := range m.roster.order {
		if row.State <= Suspect && row.Roles&RoleEntry != 0 {
			zones[row.Zone] = append(zones[row.Zone], row)
		}
	}
	return zones
}

// countEntries brings up to date who chooses and who is told of hints.
func (m *Membership) countEntries() {
	zones := m.zones()
	r := &m.roster
	r.entries, r.schedulers, r.told, r.remote = 0, nil, nil, nil
	r.byZone = make(map[tables.Zone][]EntryInstance, len(zones))
	for zone, entries := range zones {
		r.entries += len(entries)
		for _, row := range entries {
			r.byZone[zone] = append(r.byZone[zone], entryOf(row))
		}
	}
	wide := r.entries > FullMeshLimit
	schedule := wide && m.schedule
	for zone, entries := range zones {
		near := zone == m.self.Zone
		if schedule {
			entries = schedulersOf(entries)
		}
		if wide && !near {
			r.remote = append(r.remote, entries)
			continue
		}
		for _, row := range entries {
			if schedule {
				r.schedulers = append(r.schedulers, entryOf(row))
			}
			if row != m.self {
				r.told = append(r.told, row.Address)
			}
		}
	}
	slices.SortFunc(r.remote, func(a, b []*member) int { return cmp.Compare(a[0].Zone, b[0].Zone) })
}

// EntriesByZone lists the living entry instances of each zone.
func (m *Membership) EntriesByZone() map[tables.Zone][]EntryInstance {
	m.count()
	return m.roster.byZone
}

// EncodeSchedule encodes a message between an entry instance and a scheduler. It needs no
// member and no clock.
func (m *Membership) EncodeSchedule(to netip.AddrPort, message *rpc.ScheduleMessage) Output {
	d := m.hints()
	d.Kind, d.Schedule = datagramSchedule, message
	return encoded(to, d)
}

// EncodeUsage encodes a message about organisations' usage, as Schedule does.
func (m *Membership) EncodeUsage(to netip.AddrPort, message *rpc.UsageMessage) Output {
	d := m.hints()
	d.Kind, d.Usage = datagramUsage, message
	return encoded(to, d)
}

func encoded(to netip.AddrPort, d *rpc.Datagram) Output {
	payload, err := proto.Marshal(d)
	if err != nil {
		return Output{}
	}
	return Output{Datagrams: []Datagram{{To: to, Payload: payload}}}
}

// CountSchedulers counts the instances that choose endpoints beside one of a zone: those that
// it tells of each choice, and those that hear of it through others.
func CountSchedulers(members []Member, zone tables.Zone) (near, remote int) {
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
			near = schedulerCount(n) - 1
		} else {
			remote += schedulerCount(n)
		}
	}
	return near, remote
}

// schedulerCount is how many schedulers a zone with so many entry instances has.
func schedulerCount(entries int) int {
	return min(entries, max(minSchedulers, (entries+entriesPerScheduler-1)/entriesPerScheduler))
}
