package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// LoadReport is one instance's load at an endpoint at one moment. It is a full state
// instead of a delta, so a lost report is repaired by the next one.
type LoadReport struct {
	Endpoint tables.EndpointID
	// Running counts attempts in flight, MemoryTokens the engine memory that they and copies of
	// other endpoints' runs occupy, and PrefillTokens the uncached prompt tokens of those without a first event.
	Running, MemoryTokens, PrefillTokens int
	// Streams counts the running streams that the sender has placed and reports: those that have
	// sent an event and have not ended. A scheduler that placed one of the sender's own attempts
	// reports that attempt instead.
	Streams int
	// LinkBusy is for how long the endpoint's link is busy until the sender's transfers have ended.
	LinkBusy time.Duration
	// AbsentFor is for how long the endpoint counts as absent from its address, where another
	// process answered the sender.
	AbsentFor time.Duration
	// Limit is what is known of the endpoint's rate limit; nil if nothing is.
	Limit *RateLimitReport
	// Notice is what the endpoint has announced to this instance; nil for nothing.
	Notice *Notice
	// SlowdownPercent is how long work took on the endpoint's machine SlowdownAge ago, 100 as
	// usual; zero if the sender does not know.
	SlowdownPercent int
	SlowdownAge     time.Duration
}

const (
	// loadReportInterval is the interval at which an unchanged load is reported again,
	// since a datagram may be lost.
	loadReportInterval = time.Second
	// loadReportTTL is how long a report is valid unless it is renewed. After that its
	// instance has stopped or is partitioned away.
	loadReportTTL = 2500 * time.Millisecond
	// loadSweepInterval is the time between two removals of expired reports.
	loadSweepInterval = 500 * time.Millisecond
)

// maxReportDelay exceeds the time that a report takes. Its age does not include that, so an old value
// that instances report to each other would seem more recent each time, and replace a new one.
const maxReportDelay = 250 * time.Millisecond

// ageOf returns the age with which an observation is reported. One that another instance has reported
// counts as older than it can be.
func ageOf(now, at tables.Instant, fromReport bool) time.Duration {
	if fromReport {
		return now - at + maxReportDelay
	}
	return now - at
}

// reportedLoads holds the latest load report of every other instance for one endpoint.
type reportedLoads struct {
	byInstance map[tables.InstanceID]reportedLoad
	// running, memoryTokens, prefillTokens and streams are the sums over all reports.
	running, memoryTokens, prefillTokens, streams int
}

// reportedLoad is a report with the time at which it was received.
type reportedLoad struct {
	LoadReport
	receivedAt tables.Instant
}

// set replaces an instance's report.
func (r *reportedLoads) set(now tables.Instant, by tables.InstanceID, l LoadReport) {
	r.remove(by)
	if l.Running == 0 && l.MemoryTokens == 0 {
		return
	}
	if r.byInstance == nil {
		r.byInstance = map[tables.InstanceID]reportedLoad{}
	}
	l.Streams = min(max(l.Streams, 0), l.Running)
	r.byInstance[by] = reportedLoad{LoadReport: l, receivedAt: now}
	r.running += l.Running
	r.memoryTokens += l.MemoryTokens
	r.prefillTokens += l.PrefillTokens
	r.streams += l.Streams
}

// remove removes an instance's report.
func (r *reportedLoads) remove(by tables.InstanceID) {
	previous, known := r.byInstance[by]
	if !known {
		return
	}
	delete(r.byInstance, by)
	r.running -= previous.Running
	r.memoryTokens -= previous.MemoryTokens
	r.prefillTokens -= previous.PrefillTokens
	r.streams -= previous.Streams
}

// removeExpired removes the reports of instances that have stopped reporting.
func (r *reportedLoads) removeExpired(now tables.Instant) {
	for by, l := range r.byInstance {
		if now-l.receivedAt > loadReportTTL {
			r.remove(by)
		}
	}
}

// ApplyLoadReport applies another instance's load report. Without reports an instance
// learns of the load of others only by endpoints' answers. With dozens of instances and a
// hundred engines it reaches a given engine once in ten seconds, and queues form at some
// engines while others are idle.
func (d *Dispatcher) ApplyLoadReport(now tables.Instant, by tables.InstanceID, l LoadReport) {
	if row := d.endpoints[l.Endpoint]; row != nil {
		row.recordReportedPrompts(now, by, &l)
		row.reported.set(now, by, d.copiesOnly(l, row.Service))
		row.linkFreeAt = max(row.linkFreeAt, now+l.LinkBusy)
		if l.AbsentFor > 0 {
			row.markAbsent(now+min(l.AbsentFor, maxAbsence), true)
		}
		row.limit.merge(now, l.Limit)
		d.applyNotice(now, row, l.Notice)
		d.mergeSlowdown(now, row, &l)
	}
}

// TakeLoadReports returns the reports of this instance's own load that have changed since
// the last call or are due for renewal.
func (d *Dispatcher) TakeLoadReports(now tables.Instant) []LoadReport {
	if now-d.loadsSweptAt > loadSweepInterval {
		d.loadsSweptAt = now
		d.dropOldAnnouncements(now)
		for _, row := range d.endpoints {
			row.reported.removeExpired(now)
			if (row.reportedAttempts() > 0 || row.copies.locallyPlaced() > 0 || row.limit.Limited || row.notice(now) != nil) && now-row.loadReportedAt > loadReportInterval {
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
				Endpoint: row.ID, Running: row.reportedAttempts(), MemoryTokens: row.memoryTokens - row.remotelyPlaced.memoryTokens,
				PrefillTokens: int(row.prefillTokens - row.remotelyPlaced.prefillTokens), LinkBusy: row.ownLinkUse(now), AbsentFor: row.observedAbsentFor(now),
				Streams: row.streams.reportedStreams(), Limit: row.limit.report(now), Notice: row.notice(now),
			})
			row.addSlowdown(now, &loads[len(loads)-1])
		}
	}
	d.dirty = d.dirty[:0]
	return loads
}

// reportedAttempts counts the attempts that this instance reports: not those that remote
// schedulers have placed, and not those that wait for a permit.
func (r *endpointRow) reportedAttempts() int {
	return max(0, r.attempts-r.remotelyPlaced.attempts-r.awaitingPermit)
}

// markDirty schedules a report of this instance's load at an endpoint.
func (d *Dispatcher) markDirty(row *endpointRow) {
	if !row.dirty {
		row.dirty = true
		d.dirty = append(d.dirty, row)
	}
}
