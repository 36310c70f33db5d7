package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/systems/membership"
)

const (
	// placementPeriod is the time between two tellings of placements.
	placementPeriod = 100 * time.Millisecond
	// placementBytesPerSecond bounds what this instance sends of them, over all
	// receivers: a third of what control may cost at the target. Measured need
	// is below 1 KB a second at six instances.
	placementBytesPerSecond = 10_000
	// placementBytes is about what one placement takes in a datagram.
	placementBytes = 40
	// placementBurst is for how long an unused budget is kept.
	placementBurst = 2 * time.Second
	// maxPlacements bounds the placements that wait; the oldest go first, since
	// prefixes are hot for seconds.
	maxPlacements = 1024
)

// placements holds what the other instances are to hear of. It is safe for
// concurrent use.
type placements struct {
	mu   sync.Mutex
	rows []membership.Placement
}

// add takes placements of this instance's router. It does not block.
func (p *placements) add(rows []router.PeerPlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		p.rows = append(p.rows, membership.Placement{Endpoint: row.Endpoint, Boot: row.Boot, Block: row.Block})
	}
	if over := len(p.rows) - maxPlacements; over > 0 {
		p.rows = append(p.rows[:0], p.rows[over:]...)
	}
}

// take removes at most limit placements, oldest first.
func (p *placements) take(limit int) []membership.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit = min(limit, len(p.rows))
	taken := append([]membership.Placement(nil), p.rows[:limit]...)
	p.rows = append(p.rows[:0], p.rows[limit:]...)
	return taken
}

// tellPlacements passes placements on within a budget of bytes.
func (d *Daemon) tellPlacements(ctx context.Context) {
	ticker := time.NewTicker(placementPeriod)
	defer ticker.Stop()
	budget := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		budget += placementBytesPerSecond * placementPeriod.Seconds()
		budget = min(budget, placementBytesPerSecond*placementBurst.Seconds())
		each := placementBytes * max(1, len(d.entryPeers()))
		news := d.placements.take(int(budget) / each)
		if len(news) > 0 {
			budget -= float64(len(news) * each)
			d.members.Load().TellPlacements(news)
		}
	}
}
