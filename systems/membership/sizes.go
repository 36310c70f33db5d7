package membership

import "github.com/carawaystile/carawaystile/tables"

// SetLoaded records whether this instance is near the limit of its processor, link or memory,
// and pushes a change to a few other members. The incarnation increases with a change, so that
// the row supersedes the known one everywhere.
func (m *Membership) SetLoaded(now tables.Instant, loaded bool) Output {
	if loaded == m.self.Loaded || m.self.State == Left {
		return Output{}
	}
	m.now = now
	m.self.Loaded = loaded
	m.self.Incarnation++
	m.self.sendsLeft = m.retransmitLimit()
	m.members.derivedValid = false
	for _, to := range m.randomLiveMembers(pushFanout, m.self.Instance) {
		m.send(to.Address, datagramRows, 0)
	}
	return m.takeOutput()
}

// allUseSizes reports whether all of the given entry instances divide common work by size.
func allUseSizes(zones map[tables.Zone][]*member) bool {
	for _, entries := range zones {
		for _, row := range entries {
			if row.Roles&RoleSizes == 0 {
				return false
			}
		}
	}
	return true
}

// SizesInUse reports whether all living entry instances among the members divide common work by
// size.
func SizesInUse(members []Member) bool {
	for i := range members {
		if m := &members[i]; m.State <= Suspect && m.Roles&RoleEntry != 0 && m.Roles&RoleSizes == 0 {
			return false
		}
	}
	return true
}
