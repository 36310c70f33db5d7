package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// roster holds all known instances. What is asked of it many times a second is kept
// between changes: with hundreds of instances a walk over all of them for each
// datagram costs more than the datagram.
type roster struct {
	byID map[tables.InstanceID]*member
	// order is sorted by instance.
	order []*member
	// counted says that what follows is up to date.
	counted bool
	// living counts members that are not dead or left, entries those of them with the
	// entry role.
	living, entries int
	// schedulers are those of the own zone; none where each entry instance chooses for
	// itself.
	schedulers []EntryInstance
	// byZone lists the living entry instances of each zone; it is made anew at a change.
	byZone map[tables.Zone][]EntryInstance
	// abroad are the entry instances of each other zone, one of which passes hints on.
	remote [][]*member
	// told are the addresses that hints go to.
	told []netip.AddrPort
}

func newRoster(self *member) roster {
	return roster{byID: map[tables.InstanceID]*member{self.Instance: self}, order: []*member{self}}
}

func (r *roster) add(row *member) {
	at, _ := r.find(row.Instance)
	r.order = slices.Insert(r.order, at, row)
	r.byID[row.Instance] = row
	r.counted = false
}

func (r *roster) remove(id tables.InstanceID) {
	if at, found := r.find(id); found {
		r.order = slices.Delete(r.order, at, at+1)
		delete(r.byID, id)
		r.counted = false
	}
}

func (r *roster) find(id tables.InstanceID) (at int, found bool) {
	return slices.BinarySearchFunc(r.order, id, func(row *member, id tables.InstanceID) int {
		return cmp.Compare(row.Instance, id)
	})
}

// count brings what is kept between changes up to date.
func (m *Membership) count() {
	if m.roster.counted {
		return
	}
	m.roster.counted = true
	m.roster.living = 0
	for _, row := range m.roster.order {
		if row.State <= Suspect {
			m.roster.living++
		}
	}
	m.countEntries()
}

// living counts members that are not dead or left.
func (m *Membership) living() int {
	m.count()
	return m.roster.living
}
