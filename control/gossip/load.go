package gossip

import (
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// SetLoaded announces whether this instance is near the limit of its processor, link or memory.
func (g *Gossip) SetLoaded(loaded bool) {
	g.update(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SetLoaded(now, loaded)
	})
}
