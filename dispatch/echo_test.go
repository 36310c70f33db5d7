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
