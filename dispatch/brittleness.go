package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Brittleness is whether an endpoint fails if it has to reject many requests in a second.
type Brittleness struct {
	Brittle bool
	// Rejections is how many requests it can reject in a second; 0 if that is not known.
	Rejections int
}

// BrittlenessReport is one instance's knowledge of an endpoint's brittleness, by an answer that
// is Age old.
type BrittlenessReport struct {
	Brittleness
	Age time.Duration
}

// brittleness is what an endpoint's process announced last, and when: a last-writer-wins register
// that instances exchange. known is false if it has never announced that it is brittle.
type brittleness struct {
	Brittleness
	known bool
	at    tables.Instant
	// fromReport is set if another instance has reported it.
	fromReport bool
}

// update sets what a process announced at the given time unless something more recent is known,
// and reports whether that changed.
func (b *brittleness) update(at tables.Instant, announced Brittleness, fromReport bool) (changed bool) {
	if b.known && at < b.at || !b.known && !announced.Brittle {
		return false
	}
	changed = b.Brittleness != announced
	b.Brittleness, b.known, b.at, b.fromReport = announced, true, at, fromReport
	return changed
}

// brittlenessNews is how long an endpoint that is no longer brittle is reported to be so.
const brittlenessNews = 10 * time.Second

// report returns what other instances need to know; nil for nothing.
func (b *brittleness) report(now tables.Instant) *BrittlenessReport {
	if !b.known || !b.Brittle && now-b.at > brittlenessNews {
		return nil
	}
	return &BrittlenessReport{Brittleness: b.Brittleness, Age: ageOf(now, b.at, b.fromReport)}
}

// expectBrittleness takes a process that has announced nothing yet to be like the others of its
// service.
func (d *Dispatcher) expectBrittleness(row *endpointRow) {
	if row.announced.brittle.known {
		return
	}
	for _, other := range d.services[row.Service] {
		if other.announced.brittle.Brittle {
			row.announced.brittle = other.announced.brittle
			return
		}
	}
}

// RecordBrittleness records what an endpoint announced in an answer to the attempt, and reports
// whether that changed.
func (d *Dispatcher) RecordBrittleness(now tables.Instant, a *Attempt, announced Brittleness) (changed bool) {
	if a.row.announced.brittle.update(now, announced, false) {
		d.markDirty(a.row)
		return true
	}
	return false
}

// Brittleness returns the known brittleness of the attempt's endpoint.
func (d *Dispatcher) Brittleness(a *Attempt) Brittleness { return a.row.announced.brittle.Brittleness }

// AwaitPermit records that an attempt is not sent until it has a permit.
func (d *Dispatcher) AwaitPermit(a *Attempt) {
	a.awaitsPermit = true
	a.row.awaitingPermit++
}

// RecordPermit records that an attempt has its permit.
func (d *Dispatcher) RecordPermit(a *Attempt) {
	a.endPermitWait()
	d.markDirty(a.row)
}

const (
	// minPermitBackoff is the least time for which a brittle endpoint without room receives no
	// attempts of this instance, and permitBackoffPerInstance its growth with the number of
	// instances, all of which ask the same owner.
	minPermitBackoff         = 30 * time.Millisecond
	permitBackoffPerInstance = 2 * time.Millisecond
)

// RecordPermitDenied ends an attempt that got no permit.
func (d *Dispatcher) RecordPermitDenied(now tables.Instant, a *Attempt) {
	d.RecordRateLimited(now, a, max(minPermitBackoff, time.Duration(d.instances)*permitBackoffPerInstance))
}

// CountBrittle returns the number of endpoints that are known to be brittle.
func (d *Dispatcher) CountBrittle() int {
	count := 0
	for _, row := range d.endpoints {
		if row.announced.brittle.Brittle {
			count++
		}
	}
	return count
}

// EndpointOccupancy returns the slots of an endpoint and its attempts by the reports of all
// instances; listed is false for an endpoint that is not.
func (d *Dispatcher) EndpointOccupancy(id tables.EndpointID) (slots, attempts int, listed bool) {
	row := d.endpoints[id]
	if row == nil {
		return 0, 0, false
	}
	return row.Slots, row.reportedAttempts() + row.reported.running, true
}

// spareSlotsDivisor divides a brittle endpoint's slots into those up to which an instance may go by
// load reports alone: the others are a reserve for attempts that are not reported yet.
const spareSlotsDivisor = 2

// MayRiskRejection reports whether an attempt at a brittle endpoint may be sent though no instance
// coordinates the attempts there.
func (d *Dispatcher) MayRiskRejection(a *Attempt) bool {
	row := a.row
	others := row.attempts - 1 + row.reported.running
	return row.Slots == 0 || others < max(1, row.Slots/spareSlotsDivisor)
}
