package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/systems/health"
	"github.com/carawaystile/carawaystile/systems/waiting"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// hedgeFactor and hedgeMargin make the wait before a second attempt out of
	// the expected time to first token.
	hedgeFactor = 2
	hedgeMargin = 300 * time.Millisecond
	// turnoverPeriod is how often the turnovers of caches are worked out.
	turnoverPeriod = time.Second
	// abortGrace is how long an aborted attempt may stay without an end before
	// its endpoint is freed of it.
	abortGrace = 30 * time.Second
)

// watch looks at everything that happens by the passing of time.
func (r *Router) watch(now tables.Instant) {
	r.view.Sweep(now, sweepBuckets)
	for i := range r.endpoints.Len() {
		row := r.endpoints.Row(tables.EndpointIndex(i))
		health.Renew(now, &row.Health)
		row.Load.Remote.Advance(now)
	}
	if now >= r.turnoverAt {
		r.turnoverAt = now + turnoverPeriod
		for _, g := range r.groups {
			r.learnTurnovers(now, g)
		}
	}
	if r.classes[tables.Urgent].schedule.Waiting() >= pressureWaiting {
		r.pressure.sign(now)
	}
	r.refuseOverdue(now)
	r.refuseConvicted(now)
	for _, row := range r.sortedRequests(func(row *tables.RequestRow) bool { return r.needsLook(now, row) }) {
		if now >= row.Request.Deadline && row.Request.Deadline > 0 {
			r.timeout(now, row)
			continue
		}
		r.watchAttempts(now, row)
	}
	r.dropLost(now)
}

// sortedRequests returns the requests in progress that are wanted, by identity,
// so that actions do not depend on the order of a map.
func (r *Router) sortedRequests(wanted func(*tables.RequestRow) bool) []*tables.RequestRow {
	var rows []*tables.RequestRow
	for _, row := range r.requests {
		if row.State != tables.Finished && wanted(row) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *tables.RequestRow) int {
		return cmp.Compare(a.Request.ID, b.Request.ID)
	})
	return rows
}

func (r *Router) needsLook(now tables.Instant, row *tables.RequestRow) bool {
	if row.Request.Deadline > 0 && now >= row.Request.Deadline {
		return true
	}
	for _, a := range row.Attempts {
		if r.hanging(now, a) || r.wantsHedge(now, row, a) {
			return true
		}
	}
	return false
}

func (r *Router) hanging(now tables.Instant, a *tables.AttemptRow) bool {
	return health.Hanging(now, r.endpoints.Row(a.Endpoint).LastProgress, a)
}

// refuseOverdue ends the waiting requests that had to start by now.
func (r *Router) refuseOverdue(now tables.Instant) {
	var overdue []waiting.Item
	for p := range r.classes {
		for f := range r.classes[p].queues {
			overdue = r.classes[p].queues[f].Expired(overdue, now)
		}
	}
	for _, item := range overdue {
		r.giveUp(now, item.Row)
	}
}

// watchAttempts deals with attempts that wait too long for a first token.
func (r *Router) watchAttempts(now tables.Instant, row *tables.RequestRow) {
	for _, a := range row.Attempts {
		if r.hanging(now, a) && row.Profile.Idempotent {
			health.Failed(now, &r.endpoints.Row(a.Endpoint).Health)
			r.abort(now, a)
			continue
		}
		if r.wantsHedge(now, row, a) && r.budget.TryWithdraw() {
			r.place(now, row, true)
			return
		}
	}
}

func (r *Router) wantsHedge(now tables.Instant, row *tables.RequestRow, a *tables.AttemptRow) bool {
	if !row.Profile.Hedge || !row.Profile.Idempotent || len(row.Attempts) > 1 {
		return false
	}
	if a.FirstTokenAt != 0 || a.Aborted || row.DeliveredTokens > 0 {
		return false
	}
	return now-a.DispatchedAt > hedgeFactor*a.ExpectedTTFT+hedgeMargin
}

// dropLost ends aborted attempts of which nothing more was heard. Without it a
// shell that lost track of one would leave its endpoint looking busy for ever.
func (r *Router) dropLost(now tables.Instant) {
	var lost []tables.AttemptID
	for id, a := range r.attempts {
		if a.Aborted && now-a.AbortedAt > abortGrace {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		r.attemptEnded(now, AttemptEnded{Attempt: id, Result: Cancelled})
	}
}
