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
	// loadReportInterval is after how long a load that has not changed is reported again: a
	// datagram may be lost.
	loadReportInterval = time.Second
	// loadReportTTL is after how long a load that is not reported again counts no more:
	// its instance is gone or cut off.
	loadReportTTL = 2500 * time.Millisecond
	// loadSweepInterval is the time between two looks for loads that are gone.
	loadSweepInterval = 500 * time.Millisecond
)

// reportedLoads is what other instances have at an endpoint, by their reports.
type reportedLoads struct {
	byInstance map[tables.InstanceID]reportedLoad
	// running, memoryTokens and prefillTokens are the sums.
	running, memoryTokens, prefillTokens int
}

type reportedLoad struct {
	LoadReport
	receivedAt tables.Instant
}

// set takes the newest report of an instance.
func (r *reportedLoads) set(now tables.Instant, by tables.InstanceID, l LoadReport) {
	r.remove(by)
	if l.Running == 0 {
		return
	}
	if r.byInstance == nil {
		r.byInstance = map[tables.InstanceID]reportedLoad{}
	}
	r.byInstance[by] = reportedLoad{LoadReport: l, receivedAt: now}
	r.running += l.Running
	r.memoryTokens += l.MemoryTokens
	r.prefillTokens += l.PrefillTokens
}

func (r *reportedLoads) remove(by tables.InstanceID) {
	before, known := r.byInstance[by]
	if !known {
		return
	}
	delete(r.byInstance, by)
	r.running -= before.Running
	r.memoryTokens -= before.MemoryTokens
	r.prefillTokens -= before.PrefillTokens
}

// removeExpired forgets instances that are silent.
func (r *reportedLoads) removeExpired(now tables.Instant) {
	for by, l := range r.byInstance {
		if now-l.receivedAt > loadReportTTL {
			r.remove(by)
		}
	}
}

// ApplyLoadReport takes what another instance has at an endpoint. Without it an instance
// learns of the others by answers only; where dozens of instances stand before a
// hundred engines it meets one engine every ten seconds, and queues form before
// some while others rest.
func (d *Dispatcher) ApplyLoadReport(now tables.Instant, by tables.InstanceID, l LoadReport) {
	if row := d.endpoints[l.Endpoint]; row != nil {
		row.reported.set(now, by, l)
		row.linkFreeAt = max(row.linkFreeAt, now+l.LinkBusy)
		if l.AbsentFor > 0 {
			row.markAbsent(now + min(l.AbsentFor, maxAbsence))
		}
		row.limit.merge(now, l.Limit)
	}
}

// TakeLoadReports returns what has changed of this instance's own load since the last
// call, and what has to be reported again.
func (d *Dispatcher) TakeLoadReports(now tables.Instant) []LoadReport {
	if now-d.loadsSweptAt > loadSweepInterval {
		d.loadsSweptAt = now
		for _, row := range d.endpoints {
			row.reported.removeExpired(now)
			if (row.attempts > row.remotelyPlaced.attempts || row.limit.Limited) && now-row.loadReportedAt > loadReportInterval {
				d.markDirty(row)
			}
		}
	}
	var loads []LoadReport
	for _, row := range d.dirty {
		row.dirty = false
		row.loadReportedAt = now
		if !row.removed {
			loads = append(loads, LoadReport{
				Endpoint: row.ID, Running: row.attempts - row.remotelyPlaced.attempts, MemoryTokens: row.memoryTokens - row.remotelyPlaced.memoryTokens,
				PrefillTokens: int(row.prefillTokens - row.remotelyPlaced.prefillTokens), LinkBusy: row.linkBusyFor(now), AbsentFor: row.absentFor(now),
				Limit: row.limit.report(now),
			})
		}
	}
	d.dirty = d.dirty[:0]
	return loads
}

// markDirty notes that this instance's load of an endpoint is to be reported.
func (d *Dispatcher) markDirty(row *endpointRow) {
	if !row.dirty {
		row.dirty = true
		d.dirty = append(d.dirty, row)
	}
}
