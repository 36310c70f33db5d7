package soak

import "net/netip"

// strikes notes what the fault strikes.
func (s *strike) strikes(note func(d *disruption)) { s.d.ledger.struck(s.disruption, note) }

// disturb notes the links that the fault strikes.
func (s *strike) disturb(matches func(from, to netip.Addr) bool) {
	s.strikes(func(d *disruption) {
		d.links = matches
		d.strikes = func(entry *instance) bool {
			for n := range modelEndpoints + deskEndpoints {
				if joins(matches, entry.ip, s.d.ip(hostEndpoints+n)) {
					return true
				}
			}
			return false
		}
	})
}
