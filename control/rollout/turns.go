package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// maxTurnWait is how long an engine waits for its order while others with older weights come first. It leaves time
// for the load before requests may no longer begin on replaced weights.
const maxTurnWait = 5 * time.Second

// oldestFirst sorts the engines by the age of their weights, oldest first. Otherwise a newer
// target in the middle of a rollout would update the engines that come first again, and the last
// ones never. Of engines with equal weights those come last that have just left an order unanswered; the
// others alternate between zones, so that no zone loses all its engines at once.
func (p *Planner) oldestFirst() []*engineState {
	engines := make([]*engineState, 0, len(p.engineStates))
	for _, r := range p.engineStates {
		engines = append(engines, r)
	}
	slices.SortFunc(engines, func(a, b *engineState) int { return cmp.Compare(a.ID, b.ID) })
	zoneRank := make(map[tables.EndpointID]int, len(engines))
	zoneCount := map[tables.Zone]int{}
	for _, r := range engines {
		zoneRank[r.ID] = zoneCount[r.Zone]
		zoneCount[r.Zone]++
	}
	slices.SortStableFunc(engines, func(a, b *engineState) int {
		return cmp.Or(cmp.Compare(lowestVersion(a), lowestVersion(b)), cmp.Compare(a.unansweredAt(), b.unansweredAt()),
			cmp.Compare(zoneRank[a.ID], zoneRank[b.ID]))
	})
	return engines
}

// unansweredAt returns when the latest order was sent if it got no answer, otherwise 0.
func (r *engineState) unansweredAt() tables.Instant {
	if !r.unanswered {
		return 0
	}
	return r.orderedAt
}

// cordon cordons up to n engines that need an order, of those given, oldest first. Engines that have waited for
// maxTurnWait come before them: engines that do not follow their orders keep the oldest weights, and would take
// all turns.
func (p *Planner) cordon(now tables.Instant, engines []*engineState, n int) {
	var overdue, others []*engineState
	for _, r := range engines {
		switch {
		case !p.needsTurn(now, r):
		case now-max(r.pendingSince, r.orderedAt) > maxTurnWait:
			overdue = append(overdue, r)
		default:
			others = append(others, r)
		}
	}
	slices.SortStableFunc(overdue, func(a, b *engineState) int {
		return cmp.Compare(max(a.pendingSince, a.orderedAt), max(b.pendingSince, b.orderedAt))
	})
	queue := append(overdue, others...)
	for _, r := range queue[:max(0, min(n, len(queue)))] {
		r.phase, r.phaseSince, r.unconfirmed = cordoned, now, false
	}
}

// needsTurn reports whether an engine waits to be cordoned, and records since when it has needed an order.
func (p *Planner) needsTurn(now tables.Instant, r *engineState) bool {
	if _, version := p.pendingUpdate(r); version == 0 {
		r.pendingSince = 0
		return false
	}
	if r.pendingSince == 0 {
		r.pendingSince = now
	}
	return r.phase == idle && r.sequenceKnown && !r.polling && p.isOrderable(now, r)
}

// compareModels orders the models that an engine lacks: one whose order it rejected last, or left unanswered several
// times, comes after the others, and then the one first whose target it has lacked longest.
func (p *Planner) compareModels(r *engineState, a, b string) int {
	rank := func(model string) int {
		if model == r.rejectedModel || model == r.orderedModel && r.unansweredInARow >= maxOrdersInARow {
			return 1
		}
		return 0
	}
	lackedSince := func(model string) tables.Instant {
		since, _ := p.history.OutdatedSince(model, r.Weights[model])
		return since
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(lackedSince(a), lackedSince(b)), cmp.Compare(a, b))
}
