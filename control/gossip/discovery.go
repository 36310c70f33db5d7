package gossip

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// discoverLoop sends the queries of membership.Options.FastDiscovery until there are no more.
func (g *Gossip) discoverLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-g.stop:
			return
		}
		var again time.Duration
		g.update(func(m *membership.Membership, now tables.Instant) (out membership.Output) {
			out, again = m.Discover(now)
			return out
		})
		if again == 0 {
			return
		}
		timer.Reset(again)
	}
}
