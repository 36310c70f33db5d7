package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// LoadReport is what one instance has at an endpoint at one moment.
type LoadReport struct {
	Endpoint tables.EndpointID
	// Running counts attempts that have not ended, MemoryTokens their memory, and
	// PrefillTokens the prompt tokens of those without a first event.
	Running, MemoryTokens, PrefillTokens int
	// LinkBusy is for how long the endpoint's link is busy with transfers.
	LinkBusy time.Duration
	// AbsentFor is for how long the endpoint counts as absent.
	AbsentFor time.Duration
	// Limit is what is known of the endpoint's rate limit; nil for nothing.
	Limit *RateLimitReport
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
	LoadReport
	at tables.Instant
}

// set takes the newest report of an instance.
func (r *reported) set(now tables.Instant, by tables.InstanceID, l LoadReport) {
	r.drop(by)
	if l.Running == 0 {
		return
	}
	if r.by == nil {
		r.by = map[tables.InstanceID]reportedLoad{}
	}
	r.by[by] = reportedLoad{LoadReport: l, at: now}
	r.running += l.Running
	r.tokens += l.MemoryTokens
	r.prefill += l.PrefillTokens
}

func (r *reported) drop(by tables.InstanceID) {
	before, known := r.by[by]
	if !known {
		return
	}
	delete(r.by, by)
	r.running -= before.Running
	r.tokens -= before.MemoryTokens
	r.prefill -= before.PrefillTokens
}

// sweep forgets instances that are silent.
func (r *reported) sweep(now tables.Instant) {
	for by, l := range r.by {
		if now-l.at > loadGone {
			r.drop(by)
		}
	}
}

// ApplyLoadReport takes what another instance has at an endpoint. Without it an instance
// learns of the others by answers only; where dozens of instances stand before a
// hundred engines it meets one engine every ten seconds, and queues form before
// some while others rest.
func (d *Dispatcher) ApplyLoadReport(now tables.Instant, by tables.InstanceID, l LoadReport) {
	if row := d.rows[l.Endpoint]; row != nil {
		row.reported.set(now, by, l)
		row.linkFree = max(row.linkFree, now+l.LinkBusy)
		if l.AbsentFor > 0 {
			row.absent(now + min(l.AbsentFor, maxAbsent))
		}
		row.limit.take(now, l.Limit)
	}
}

// TakeLoadReports returns what has changed of this instance's own load since the last
// call, and what has to be reported again.
func (d *Dispatcher) TakeLoadReports(now tables.Instant) []LoadReport {
	if now-d.sweptLoads > sweepLoads {
		d.sweptLoads = now
		for _, row := range d.rows {
			row.reported.sweep(now)
			if (row.own > row.adopted.own || row.limit.Limited) && now-row.loadReportedAt > loadAgain {
				d.changed(row)
			}
		}
	}
	var loads []LoadReport
	for _, row := range d.dirty {
		row.dirty = false
		row.loadReportedAt = now
		if !row.gone {
			loads = append(loads, LoadReport{
				Endpoint: row.ID, Running: row.own - row.adopted.own, MemoryTokens: row.tokens - row.adopted.tokens,
				PrefillTokens: int(row.prefill - row.adopted.prefill), LinkBusy: row.linkBusy(now), AbsentFor: row.absence(now),
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
