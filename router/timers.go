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
	// An attempt is hedged after hedgeFactor times its expected time to first
	// token plus hedgeMargin.
	hedgeFactor = 2
	hedgeMargin = 300 * time.Millisecond
	// turnoverPeriod is the interval at which cache turnover times are
	// recomputed.
	turnoverPeriod = time.Second
	// abortGrace is how long an aborted attempt may take to end before the
	// router releases its endpoint.
	abortGrace = 30 * time.Second
)

// runTimers handles everything that depends on the passing of time.
func (r *Router) runTimers(now tables.Instant) {
	r.cacheIndex.Sweep(now, sweepBucketsPerRun)
	for i := range r.endpoints.Len() {
		row := r.endpoints.Row(tables.EndpointIndex(i))
		health.EndEjection(now, &row.Health)
		row.Load.Remote.Advance(now)
	}
	if now >= r.nextTurnover {
		r.nextTurnover = now + turnoverPeriod
		for _, p := range r.pools {
			r.refreshTurnovers(now, p)
		}
	}
	if r.classes[tables.Urgent].scheduler.QueueLength() >= overloadQueueLength {
		r.overload.trigger(now)
	}
	r.refuseOverdue(now)
	r.refuseQuarantined(now)
	for _, row := range r.sortedRequests(func(row *tables.RequestRow) bool { return r.needsAttention(now, row) }) {
		if now >= row.Request.Deadline && row.Request.Deadline > 0 {
			r.expireDeadline(now, row)
			continue
		}
		r.checkAttempts(now, row)
	}
	r.dropUnconfirmedAborts(now)
}

// sortedRequests returns the unfinished requests that match the filter, sorted
// by ID, so that actions don't depend on map order.
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

func (r *Router) needsAttention(now tables.Instant, row *tables.RequestRow) bool {
	if row.Request.Deadline > 0 && now >= row.Request.Deadline {
		return true
	}
	for _, a := range row.Attempts {
		if r.isHung(now, a) || r.shouldHedge(now, row, a) {
			return true
		}
	}
	return false
}

func (r *Router) isHung(now tables.Instant, a *tables.AttemptRow) bool {
	return health.IsHung(now, r.endpoints.Row(a.Endpoint).LastProgress, a)
}

// refuseOverdue ends the queued requests whose start-by time has passed.
func (r *Router) refuseOverdue(now tables.Instant) {
	var overdue []waiting.Item
	for p := range r.classes {
		for f := range r.classes[p].queues {
			overdue = r.classes[p].queues[f].Expired(overdue, now)
		}
	}
	for _, item := range overdue {
		r.expireQueued(now, item.Row)
	}
}

// checkAttempts aborts hung attempts and hedges slow ones.
func (r *Router) checkAttempts(now tables.Instant, row *tables.RequestRow) {
	for _, a := range row.Attempts {
		if r.isHung(now, a) && row.Profile.Idempotent {
			r.countFailure(now, a)
			if r.reserveRetry(a) {
				r.abort(now, a)
			}
			continue
		}
		if r.shouldHedge(now, row, a) && r.retryBudget.TryWithdraw() {
			r.tryPlace(now, row, true)
			return
		}
	}
}

func (r *Router) shouldHedge(now tables.Instant, row *tables.RequestRow, a *tables.AttemptRow) bool {
	if !row.Profile.Hedge || !row.Profile.Idempotent || len(row.Attempts) > 1 {
		return false
	}
	if a.FirstTokenAt != 0 || a.Aborted || row.DeliveredTokens > 0 {
		return false
	}
	return now-a.DispatchedAt > hedgeFactor*a.ExpectedTTFT+hedgeMargin
}

// dropUnconfirmedAborts ends aborted attempts whose end was never reported.
// Otherwise, an attempt that the caller of Tick lost track of would count as
// load on its endpoint for ever.
func (r *Router) dropUnconfirmedAborts(now tables.Instant) {
	var lost []tables.AttemptID
	for id, a := range r.attempts {
		if a.Aborted && now-a.AbortedAt > abortGrace {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		r.observeAttemptEnded(now, AttemptEnded{Attempt: id, Result: Cancelled})
	}
}
