package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against long prompts beside streams that the instance could know of, and against endpoints
// that get no long prompts for streams which have ended, because the peer that reports the streams
// is killed, frozen or cut off.
func TestLongPromptsAvoidStreamsWithoutTheirPeer(t *testing.T) {
	const reportedAt = time.Second
	report := LoadReport{Endpoint: "e0", Running: 8, Streams: 8}
	for name, c := range map[string]struct {
		fail    func(t *testing.T, d *Dispatcher)
		at      tables.Instant
		avoided bool
	}{
		"alive":                             {func(*testing.T, *Dispatcher) {}, reportedAt, true},
		"killed, its streams have ended":    {func(*testing.T, *Dispatcher) {}, reportedAt + loadReportTTL + time.Millisecond, false},
		"frozen, reports what was before":   {func(_ *testing.T, d *Dispatcher) { d.ApplyLoadReport(reportedAt+time.Second, "peer", report) }, reportedAt + time.Second + loadReportTTL + time.Millisecond, false},
		"cut off, own streams at e0 remain": {runStreams, reportedAt + loadReportTTL, true},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newTestDispatcher(3) // e0 and e2 are in the instance's zone
			d.options.Capacity.StreamPauses = On
			d.endpoints["e0"].averages.streams.observe(reportedAt+time.Minute, newPromptRequest(reportedAt+time.Minute, streamRoute, 260))
			d.ApplyLoadReport(reportedAt, "peer", report)
			c.fail(t, d)
			d.TakeLoadReports(c.at) // drops expired reports
			atE0 := 0
			for range 40 {
				a := mustPlace(t, d, c.at, newPromptRequest(c.at, promptRoute, 14_000))
				if a.Endpoint.ID == "e0" {
					atE0++
				}
				d.RecordOutcome(c.at, a, Cancelled)
			}
			assert.Equal(t, atE0 == 0, c.avoided, "%d of 40 at e0", atE0)
		})
	}
}

// runStreams has the instance run streams of its own at e0.
func runStreams(t *testing.T, d *Dispatcher) {
	t.Helper()
	r := newPromptRequest(time.Second, streamRoute, 260)
	for range 8 {
		a := d.AcceptDecision(time.Second, r, Decision{Endpoint: "e0", WeightsVersion: 1})
		assert.Assert(t, a != nil)
		d.RecordResponseStart(time.Second, a)
	}
}
