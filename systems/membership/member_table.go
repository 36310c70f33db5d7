package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// memberTable holds all known instances and caches the values derived from them
// that are read many times per second. With hundreds of instances, a scan of all of
// them for each datagram costs more than the datagram.
type memberTable struct {
	byID map[tables.InstanceID]*member
	// sorted is ordered by instance ID.
	sorted []*member
	// derivedValid is set if the fields below are up to date.
	derivedValid bool
	// entryCount counts the entry instances that are neither dead nor left.
	entryCount int
	// schedulers are the schedulers of this instance's zone; none if each entry
	// instance chooses endpoints itself.
	schedulers []EntryInstance
	// entriesByZone lists the living entry instances of each zone. A change creates
	// a new map.
	entriesByZone map[tables.Zone][]EntryInstance
	// sizesInUse is set while entry instances are weighed by their sizes.
	sizesInUse bool
	// remoteGroups holds, for each other zone, the instances that can relay hints:
	// its schedulers, or all its living entry instances if it has none.
	remoteGroups [][]*member
	// hintReceivers are the addresses that hints are sent to directly.
	hintReceivers []netip.AddrPort
}

// newMemberTable returns a table that holds only this instance.
func newMemberTable(self *member) memberTable {
	return memberTable{byID: map[tables.InstanceID]*member{self.Instance: self}, sorted: []*member{self}}
}

// add inserts a member that is not in the table yet.
func (t *memberTable) add(row *member) {
	at, _ := t.find(row.Instance)
	t.sorted = slices.Insert(t.sorted, at, row)
	t.byID[row.Instance] = row
	t.derivedValid = false
}

// remove deletes a member, if it is in the table.
func (t *memberTable) remove(id tables.InstanceID) {
	if at, found := t.find(id); found {
		t.sorted = slices.Delete(t.sorted, at, at+1)
		delete(t.byID, id)
		t.derivedValid = false
	}
}

// find returns the position of an instance in sorted, or the position to insert it
// at.
func (t *memberTable) find(id tables.InstanceID) (at int, found bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(row *member, id tables.InstanceID) int {
		return cmp.Compare(row.Instance, id)
	})
}

// refreshDerived recomputes the derived values if a member has changed.
func (m *Membership) refreshDerived() {
	if m.members.derivedValid {
		return
	}
	m.members.derivedValid = true
	m.refreshEntries()
}

// liveCount returns the number of members that are neither dead nor left. It is not one of the
// derived values, since an instance that starts needs it for each row that it learns: electing
// the schedulers for each of 340 rows takes 25 ms of processor time.
func (m *Membership) liveCount() int {
	count := 0
	for _, row := range m.members.sorted {
		if row.State <= Suspect {
			count++
		}
	}
	return count
}
