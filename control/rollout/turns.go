package rollout

import (
	"cmp"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// oldestFirst sorts the engines by the age of their weights, oldest first. Otherwise a newer
// target in the middle of a rollout would update the engines that come first again, and the last
// ones never. Engines with equal weights alternate between zones, so that no zone loses all its
// engines at once.
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
		return cmp.Or(cmp.Compare(lowestVersion(a), lowestVersion(b)), cmp.Compare(zoneRank[a.ID], zoneRank[b.ID]))
	})
	return engines
}

// cordon cordons up to n engines that need an order, of those given, oldest first. Every other turn goes to the
// engine whose latest order is longest ago: engines that do not follow their orders keep the oldest weights, and
// would take all turns.
func (p *Planner) cordon(now tables.Instant, engines []*engineState, n int) {
	if n <= 0 {
		return
	}
	var oldest []*engineState
	for _, r := range engines {
		if r.phase == idle && r.sequenceKnown && !r.polling && p.isOrderable(now, r) {
			oldest = append(oldest, r)
		}
	}
	longestAgo := slices.Clone(oldest)
	slices.SortStableFunc(longestAgo, func(a, b *engineState) int { return cmp.Compare(a.orderedAt, b.orderedAt) })
	for ; n > 0 && len(oldest) > 0; n-- {
		queue := &oldest
		if p.turns%2 == 1 {
			queue = &longestAgo
		}
		p.turns++
		r := (*queue)[0]
		r.phase, r.phaseSince, r.unconfirmed = cordoned, now, false
		isCordoned := func(e *engineState) bool { return e.phase == cordoned }
		oldest = slices.DeleteFunc(oldest, isCordoned)
		longestAgo = slices.DeleteFunc(longestAgo, isCordoned)
	}
}
