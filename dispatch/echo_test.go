package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// exchangeReports has two dispatchers report the load of a busy endpoint to each other in each
// millisecond, and deliver the reports a millisecond later.
func exchangeReports(one, other *Dispatcher, from, until tables.Instant) {
	var toOne, toOther []LoadReport
	for now := from; now < until; now += time.Millisecond {
		for _, l := range toOne {
			one.ApplyLoadReport(now, "other", l)
		}
		for _, l := range toOther {
			other.ApplyLoadReport(now, "one", l)
		}
		one.markDirty(one.endpoints["e0"])
		other.markDirty(other.endpoints["e0"])
		toOther, toOne = one.TakeLoadReports(now), other.TakeLoadReports(now)
	}
}

// Guards against a link that counts as busy for ever, since each instance repeats what the other has
// reported, older by the time in transit.
func TestReportedTransferEnds(t *testing.T) {
	one, _ := newTestDispatcher(1)
	other, _ := newTestDispatcher(1)
	one.reserveLink(time.Second, one.endpoints["e0"], 100)
	exchangeReports(one, other, time.Second, time.Second+50*time.Millisecond)
	assert.Assert(t, other.endpoints["e0"].linkBusyFor(time.Second+50*time.Millisecond) > 0)
	exchangeReports(one, other, time.Second+50*time.Millisecond, time.Second+150*time.Millisecond)
	for _, d := range []*Dispatcher{one, other} {
		assert.Equal(t, d.endpoints["e0"].linkBusyFor(time.Second+150*time.Millisecond), time.Duration(0))
	}
}

// Guards against an endpoint that counts as absent for ever, as in TestReportedTransferEnds.
func TestReportedAbsenceEnds(t *testing.T) {
	one, _ := newTestDispatcher(1)
	other, _ := newTestDispatcher(1)
	one.RecordOutcome(time.Second, mustPlace(t, one, time.Second, newTestRequest(1)), Misdirected)
	exchangeReports(one, other, time.Second, time.Second+misdirectedAbsence/2)
	assert.Assert(t, other.endpoints["e0"].absentFor(time.Second+misdirectedAbsence/2) > 0)
	end := time.Second + misdirectedAbsence + 50*time.Millisecond
	exchangeReports(one, other, time.Second+misdirectedAbsence/2, end)
	for _, d := range []*Dispatcher{one, other} {
		assert.Equal(t, d.endpoints["e0"].absentFor(end), time.Duration(0))
	}
}

// Guards against what an endpoint has announced anew being replaced by what it announced before, which
// instances repeat to each other and which seems more recent each time.
func TestRepeatedReportsDoNotUndoAnAnnouncement(t *testing.T) {
	for _, limits := range [][2]RateLimit{{perSecond(5), {}}, {perSecond(5), perSecond(2)}, {perSecond(2), perSecond(5)}} {
		one, _ := newTestDispatcher(1)
		other, _ := newTestDispatcher(1)
		announce := func(at tables.Instant, d *Dispatcher, limit RateLimit, brittle bool) {
			a := mustPlace(t, d, at, requestWithoutParts())
			d.RecordRateLimit(at, a, limit)
			d.RecordBrittleness(at, a, Brittleness{Brittle: brittle})
			d.RecordOutcome(at, a, Completed)
		}
		announce(time.Second, one, limits[0], true)
		exchangeReports(one, other, time.Second, 2*time.Second)
		assert.Equal(t, other.RateLimit("e0"), limits[0])
		announce(2*time.Second, one, limits[1], false)
		exchangeReports(one, other, 2*time.Second, 3*time.Second)
		for _, d := range []*Dispatcher{one, other} {
			assert.Equal(t, d.RateLimit("e0"), limits[1])
			assert.Equal(t, d.CountBrittle(), 0)
		}
	}
}
