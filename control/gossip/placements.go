package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/systems/membership"
)

const (
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

// Placements holds what the other instances are to hear of where prefixes were
// placed. It is safe for concurrent use.
type Placements struct {
	mu   sync.Mutex
	rows []membership.Placement
}

// Add takes placements of this instance. It does not block.
func (p *Placements) Add(rows []membership.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = append(p.rows, rows...)
	if over := len(p.rows) - maxPlacements; over > 0 {
		p.rows = append(p.rows[:0], p.rows[over:]...)
	}
}

// take removes at most limit placements, oldest first.
func (p *Placements) take(limit int) []membership.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit = min(limit, len(p.rows))
	taken := append([]membership.Placement(nil), p.rows[:limit]...)
	p.rows = append(p.rows[:0], p.rows[limit:]...)
	return taken
}

// Run passes placements on every period until the context ends, within a budget
// of bytes. The receivers are asked for each time; nothing is told while there
// are none.
func (p *Placements) Run(ctx context.Context, period time.Duration, receivers func() int, tell func([]membership.Placement)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	budget := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		budget += placementBytesPerSecond * period.Seconds()
		budget = min(budget, placementBytesPerSecond*placementBurst.Seconds())
		each := placementBytes * max(1, receivers())
		news := p.take(int(budget) / each)
		if len(news) > 0 {
			budget -= float64(len(news) * each)
			tell(news)
		}
	}
}
