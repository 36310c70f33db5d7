package rollout

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// HandlePushback delays all calls to an engine that has requested a back-off. Meanwhile
// its reports cannot show whether it executes an order, so other instances may send it
// requests: it declines them while it loads.
func (p *Planner) HandlePushback(now tables.Instant, id tables.EndpointID, d time.Duration) {
	r := p.engineStates[id]
	if r == nil {
		return
	}
	r.polling, r.loadsUnordered = false, false
	r.pausedUntil = max(r.pausedUntil, now+d)
	if r.phase == updating {
		r.unconfirmed = true
	}
}

// HandleDraining records that an engine announces that it is about to stop. It gets no orders.
func (p *Planner) HandleDraining(id tables.EndpointID) {
	if r := p.engineStates[id]; r != nil {
		r.Draining, r.announcedLeave = true, true
	}
}
