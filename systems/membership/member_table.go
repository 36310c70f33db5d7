package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// memberTable holds all known instances. What is asked of it many times a second is kept
// between changes: with hundreds of instances a walk over all of them for each
// datagram costs more than the datagram.
type memberTable struct {
	byID map[tables.InstanceID]*member
	// sorted is sorted by instance.
	sorted []*member
	// derivedValid says that what follows is up to date.
	derivedValid bool
	// liveCount counts members that are not dead or left, entryCount those of them with the
	// entry role.
	liveCount, entryCount int
	// schedulers are those of the own zone; none where each entry instance chooses for
	// itself.
	schedulers []EntryInstance
	// entriesByZone lists the living entry instances of each zone; it is made anew at a change.
	entriesByZone map[tables.Zone][]EntryInstance
	// abroad are the entry instances of each other zone, one of which passes hints on.
	remoteGroups [][]*member
	// hintReceivers are the addresses that hints go to.
	hintReceivers []netip.AddrPort
}

func newMemberTable(self *member) memberTable {
	return memberTable{byID: map[tables.InstanceID]*member{self.Instance: self}, sorted: []*member{self}}
}

func (r *memberTable) add(row *member) {
	at, _ := r.find(row.Instance)
	r.sorted = slices.Insert(r.sorted, at, row)
	r.byID[row.Instance] = row
	r.derivedValid = false
}

func (r *memberTable) remove(id tables.InstanceID) {
	if at, found := r.find(id); found {
		r.sorted = slices.Delete(r.sorted, at, at+1)
		delete(r.byID, id)
		r.derivedValid = false
	}
}

func (r *memberTable) find(id tables.InstanceID) (at int, found bool) {
	return slices.BinarySearchFunc(r.sorted, id, func(row *member, id tables.InstanceID) int {
		return cmp.Compare(row.Instance, id)
	})
}

// refreshDerived brings what is kept between changes up to date.
func (m *Membership) refreshDerived() {
	if m.members.derivedValid {
		return
	}
	m.members.derivedValid = true
	m.members.liveCount = 0
	for _, row := range m.members.sorted {
		if row.State <= Suspect {
			m.members.liveCount++
		}
	}
	m.refreshEntries()
}

// liveCount counts members that are not dead or left.
func (m *Membership) liveCount() int {
	m.refreshDerived()
	return m.members.liveCount
}
