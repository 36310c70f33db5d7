package membership

import (
	"net/netip"
	"slices"
)

// PlatformInstance is one entry of the platform's list of instances.
type PlatformInstance struct {
	Address netip.AddrPort
	Leaving bool
}

// SetPlatformList applies the platform's list of instances. The list is only a
// hint, since it may be stale. Instances on it that are not known are pinged. A
// suspect that is not on the list, or that it marks as leaving, is declared dead
// without waiting for the suspicion timeout.
func (m *Membership) SetPlatformList(list []PlatformInstance) {
	m.departed, m.leaving = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	// Seeds from earlier lists are dropped: instances are replaced every day, and
	// their former addresses would accumulate.
	m.seeds = slices.Clone(m.configuredSeeds)
	listed := map[netip.AddrPort]bool{}
	for _, line := range list {
		listed[line.Address] = true
		m.leaving[line.Address] = line.Leaving
		if !slices.Contains(m.seeds, line.Address) {
			m.seeds = append(m.seeds, line.Address)
		}
	}
	m.seeds = slices.DeleteFunc(m.seeds, func(seed netip.AddrPort) bool { return m.leaving[seed] })
	for _, row := range m.members.sorted {
		if !listed[row.Address] || m.leaving[row.Address] {
			m.departed[row.Address] = true
		}
	}
}
