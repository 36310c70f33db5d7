package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Load is what one instance has at an endpoint at one moment.
type Load struct {
	Endpoint tables.EndpointID
	// Running counts attempts that have not ended, Tokens their memory, and
	// Prefill the prompt tokens of those without a first event.
	Running, Tokens, Prefill int
	// Link is for how long the endpoint's link is busy with transfers.
	Link time.Duration
	// Absent is for how long the endpoint counts as absent.
	Absent time.Duration
	// Limit is what is known of the endpoint's rate limit; nil for nothing.
	Limit *LimitReport
}

const (
	// loadAgain is after how long a load that has not changed is reported again: a
	// datagram may be lost.
	loadAgain = time.Second
	// loadGone is after how long a load that is not reported again counts no more:
	// its instance is gone or cut off.
	loadGone = 2500 * time.Millisecond
	// sweepLoads is the time between two looks for loads that are gone.
	sweepLoads = 500 * time.Millisecond
)

// reported is what other instances have at an endpoint, by their reports.
type reported struct {
	by map[tables.InstanceID]reportedLoad
	// running, tokens and prefill are the sums.
	running, tokens, prefill int
}

type reportedLoad struct {
	Load
	at tables.Instant
}

// set takes the newest report of an instance.
func (r *reported) set(now tables.Instant, by tables.InstanceID, l Load) {
	r.drop(by)
	if l.Running == 0 {
		return
	}
	if r.by == nil {
		r.by = map[tables.InstanceID]reportedLoad{}
	}
	r.by[by] = reportedLoad{Load: l, at: now}
	r.running += l.Running
	r.tokens += l.Tokens
	r.prefill += l.Prefill
}

func (r *reported) drop(by tables.InstanceID) {
	before, known := r.by[by]
	if !known {
		return
	}
	delete(r.by, by)
	r.running -= before.Running
	r.tokens -= before.Tokens
	r.prefill -= before.Prefill
}

// sweep forgets instances that are silent.
func (r *reported) sweep(now tables.Instant) {
	for by, l := range r.by {
		if now-l.at > loadGone {
			r.drop(by)
		}
	}
}

// Loaded takes what another instance has at an endpoint. Without it an instance
// learns of the others by answers only; where dozens of instances stand before a
// hundred engines it meets one engine every ten seconds, and queues form before
// some while others rest.
func (d *Dispatcher) Loaded(now tables.Instant, by tables.InstanceID, l Load) {
	if row := d.rows[l.Endpoint]; row != nil {
		row.reported.set(now, by, l)
		row.linkFree = max(row.linkFree, now+l.Link)
		if l.Absent > 0 {
			row.absent(now + min(l.Absent, maxAbsent))
		}
		row.limit.take(now, l.Limit)
	}
}

// Loads returns what has changed of this instance's own load since the last
// call, and what has to be reported again.
func (d *Dispatcher) Loads(now tables.Instant) []Load {
	if now-d.sweptLoads > sweepLoads {
		d.sweptLoads = now
		for _, row := range d.rows {
			row.reported.sweep(now)
			if (row.own > row.adopted.own || row.limit.Limited) && now-row.loadReportedAt > loadAgain {
				d.changed(row)
			}
		}
	}
	var loads []Load
	for _, row := range d.dirty {
		row.dirty = false
		row.loadReportedAt = now
		if !row.gone {
			loads = append(loads, Load{
				Endpoint: row.ID, Running: row.own - row.adopted.own, Tokens: row.tokens - row.adopted.tokens,
				Prefill: int(row.prefill - row.adopted.prefill), Link: row.linkBusy(now), Absent: row.absence(now),
				Limit: row.limit.report(now),
			})
		}
	}
	d.dirty = d.dirty[:0]
	return loads
}

// changed notes that this instance's load of an endpoint is to be reported.
func (d *Dispatcher) changed(row *endpointRow) {
	if !row.dirty {
		row.dirty = true
		d.dirty = append(d.dirty, row)
	}
}
