package rollout

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// pause is a back-off that a process has requested of this instance.
type pause struct {
	process int64
	until   tables.Instant
}

// NextPlanner returns a planner for another lease of the same instance. The back-offs that engines have requested
// of the instance stay in force.
func (p *Planner) NextPlanner() *Planner {
	next := NewPlanner()
	next.EnginesCheckFence, next.WeightsTimeout, next.history = p.EnginesCheckFence, p.WeightsTimeout, p.history
	// The next lease may have the same token, if this one ends by the clock of its holder alone.
	next.generation = p.generation
	next.pauses = p.pauses
	return next
}

// resumePause applies the back-off that a process has requested before its state was created.
func (p *Planner) resumePause(r *engineState) {
	if known, paused := p.pauses[r.ID]; paused && known.process == r.process {
		r.pausedUntil = known.until
	}
}

// HandlePushback delays all calls to an engine that has requested a back-off. Meanwhile
// its reports cannot show whether it executes an order, so other instances may send it
// requests: it declines them while it loads.
func (p *Planner) HandlePushback(now tables.Instant, id tables.EndpointID, d time.Duration) {
	r := p.engineStates[id]
	if r == nil {
		return
	}
	r.unreported = r.unreported || r.polling
	r.polling, r.loadsUnordered = false, false
	r.pausedUntil = max(r.pausedUntil, now+d)
	p.pauses[id] = pause{process: r.process, until: r.pausedUntil}
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
