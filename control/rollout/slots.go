package rollout

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// overdueFactor is by how much a load exceeds the average one, and updateTimeout, before it is overdue.
	overdueFactor = 8
	// overdueRetryInterval is the interval at which one more engine loads although all places are taken by
	// overdue loads.
	overdueRetryInterval = 30 * time.Second
	// concurrencyDivisor limits the engines that load at once to a fraction of all engines, at
	// least minConcurrent. More than about a fifth slow each load down where weights come from one
	// place, and requests need engines meanwhile.
	concurrencyDivisor = 5
	minConcurrent      = 2
)

// holdsSlot reports whether an engine counts against the limit of concurrent updates unless it is overdue.
func (r *engineState) holdsSlot() bool {
	if r.phase == idle {
		return r.loadsUnordered && !r.Draining
	}
	return r.phase != cordoned && !r.unconfirmed
}

// recordUnorderedLoad records whether an idle engine reports a load.
func (r *engineState) recordUnorderedLoad(now tables.Instant, busy bool) {
	r.loadsUnordered = busy
	switch {
	case !busy:
		r.loadingSince = 0
	case r.loadingSince == 0:
		r.loadingSince = now
	}
}

// slotsInUse returns the number of engines that count against the limit of concurrent updates.
func (p *Planner) slotsInUse(now tables.Instant) int {
	inUse, overdue := 0, 0
	for _, r := range p.engineStates {
		switch {
		case !r.holdsSlot():
		case p.isOverdue(now, r):
			overdue++
		default:
			inUse++
		}
	}
	switch {
	case overdue == 0:
		p.overdueSince, p.endedBesideOverdue = 0, 0
	case p.overdueSince == 0:
		p.overdueSince = now
	}
	return inUse + max(0, overdue-p.overdueAllowance(now))
}

// overdueAllowance returns how many overdue loads do not count against the limit: as many as the limit, and one more
// for each load that has begun and ended since, which shows that loads as such are not slow. As long as no load
// has ended, all may take that long.
func (p *Planner) overdueAllowance(now tables.Instant) int {
	if p.loadTime == 0 || p.overdueSince == 0 {
		return 1
	}
	return p.maxConcurrent() + p.endedBesideOverdue + int((now-p.overdueSince)/overdueRetryInterval)
}

// isOverdue reports whether an engine has been loading for far longer than the others do.
func (p *Planner) isOverdue(now tables.Instant, r *engineState) bool {
	return r.loadingSince != 0 && now-r.loadingSince > max(updateTimeout, overdueFactor*p.loadTime)
}

// recordLoad adds the load that has just ended to the average.
func (p *Planner) recordLoad(now tables.Instant, r *engineState) {
	if r.loadingSince == 0 {
		return
	}
	if p.overdueSince != 0 && r.loadingSince >= p.overdueSince {
		p.endedBesideOverdue++
	}
	took := now - r.loadingSince
	if p.loadTime == 0 {
		p.loadTime = took
	}
	p.loadTime += (took - p.loadTime) / 4
	r.loadingSince = 0
}

func (p *Planner) maxConcurrent() int {
	if p.MaxConcurrent > 0 {
		return p.MaxConcurrent
	}
	return max(minConcurrent, (len(p.engineStates)+concurrencyDivisor-1)/concurrencyDivisor)
}
