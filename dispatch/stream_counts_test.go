package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
)

// costBeside returns the pause cost of a prompt at an endpoint where another instance runs 8
// streams, and which has a backlog.
func costBeside(pauses Switch, streams, backlog, prompt int) float64 {
	d, _ := newTestDispatcher(1)
	d.options.Capacity.StreamPauses = pauses
	row := d.endpoints["e0"]
	row.averages.streams.observe(0, newPromptRequest(0, streamRoute, 260))
	d.ApplyLoadReport(0, "other", LoadReport{Endpoint: "e0", Running: 8, Streams: streams, PrefillTokens: backlog})
	d.decisions++
	return d.pauseCost(0, newPromptRequest(0, promptRoute, prompt), &candidate{row: row, uncachedTokens: float64(prompt)})
}

// Guards against a pause that is charged to a prompt which does not cause it: a short one, one
// behind a backlog that pauses the streams anyway, or one at an endpoint without streams.
func TestPauseCostIsOnlyForPausesThatThePromptAdds(t *testing.T) {
	long := costBeside(On, 8, 0, 14_000)
	assert.Assert(t, long > 8*lateStreamWeight*lateCost*400*0.3, "%v", long)
	assert.Assert(t, costBeside(On, 8, 0, 260) < 1)
	assert.Equal(t, costBeside(On, 8, 5*defaultPrefillChunk, 14_000), 0.0)
	assert.Equal(t, costBeside(On, 0, 0, 14_000), 0.0)
	assert.Equal(t, costBeside(Off, 8, 0, 14_000), 0.0)
	assert.Equal(t, costBeside(On, 8, 0, 100_000), long, "a pause lasts for one event")
	r := newPromptRequest(0, streamRoute, 260)
	assert.Assert(t, r.latenessCost(0, 700)-waitCost*700-lateCost*400*lateProbability(700/(lateMidpoint*400)) < 1e-6, "the curve of latenessCost")
}

// Guards against a prompt that a scheduler has placed for this instance and that counts as two: the
// pause of the streams there would seem to last for a whole event already, and a long prompt would
// cost nothing.
func TestPauseCostCountsAScheduledPromptOnce(t *testing.T) {
	const backlog = 6_000 // above half of the tokens between two events
	d, _ := newTestDispatcher(1)
	d.options.Capacity.StreamPauses = On
	row := d.endpoints["e0"]
	row.averages.streams.observe(0, newPromptRequest(0, streamRoute, 260))
	long := newPromptRequest(0, promptRoute, backlog)
	assert.Assert(t, d.AcceptDecision(0, long, Decision{Endpoint: "e0", WeightsVersion: 1, UncachedTokens: backlog}) != nil)
	d.ApplyLoadReport(0, "scheduler", LoadReport{Endpoint: "e0", Running: 9, Streams: 8, PrefillTokens: backlog})
	d.decisions++
	cost := d.pauseCost(0, long, &candidate{row: row, uncachedTokens: 14_000})
	assert.Equal(t, cost, costBeside(On, 8, backlog, 14_000))
	assert.Assert(t, cost > 0)
	assert.Equal(t, row.queuedPrefill(0), 2.0*backlog, "other decisions are as before")
}

// Guards against streams that count twice, at the scheduler and at the sender, and against
// streams that stay counted: after their end, a lost report, a scheduler that was killed or cut
// off, or one that froze and reports an earlier state again.
func TestStreamsAreCountedOnceAndExpire(t *testing.T) {
	scheduler, _ := newTestDispatcher(1)
	sender, _ := newTestDispatcher(1)
	r := newPromptRequest(0, streamRoute, 260)
	placed := *r
	placed.Remote, placed.Route = true, &routes.Route{TargetEventGap: r.Route.TargetEventGap}
	chosen := mustPlace(t, scheduler, 0, &placed)
	accepted := sender.AcceptDecision(0, r, chosen.Decision(0))
	row := sender.endpoints["e0"]
	scheduler.RecordResponseStart(time.Second, chosen)
	sender.RecordResponseStart(time.Second, accepted)
	assert.Equal(t, row.runningStreams(), 1, "the scheduler's report is lost")
	report := scheduler.TakeLoadReports(time.Second)[0]
	assert.Equal(t, report.Streams, 1)
	for range 2 {
		sender.ApplyLoadReport(time.Second, "scheduler", report)
		assert.Equal(t, row.runningStreams(), 1)
	}
	assert.Equal(t, row.streams.reportedStreams(), 0)
	sender.ApplyLoadReport(time.Second, "earlier version", LoadReport{Endpoint: "e0", Running: 3})
	sender.ApplyLoadReport(time.Second, "faulty", LoadReport{Endpoint: "e0", Running: 2, Streams: 4_000_000})
	assert.Equal(t, row.runningStreams(), 3)
	sender.RecordOutcome(2*time.Second, accepted, Broken)
	assert.Equal(t, row.streams, streamCounts{})
	sender.TakeLoadReports(2*time.Second + loadReportTTL)
	assert.Equal(t, row.runningStreams(), 0)
	unstarted := mustPlace(t, scheduler, 3*time.Second, newPromptRequest(3*time.Second, streamRoute, 260))
	scheduler.RecordOutcome(4*time.Second, unstarted, ConnectionRefused)
	scheduler.RecordOutcome(4*time.Second, chosen, Cancelled)
	assert.Equal(t, scheduler.endpoints["e0"].streams, streamCounts{}, "an attempt without a response is no stream")
}

// Guards against a target gap that outlives the streams of a route which is no longer used.
func TestSmallestTargetGapIsForgottenWithItsStreams(t *testing.T) {
	var targets streamTargets
	strict, lax := newPromptRequest(0, streamRoute, 260), newPromptRequest(0, streamRoute, 260)
	lax.Route = &routes.Route{Kind: routes.Stream, TargetEventGap: time.Second}
	targets.observe(0, strict)
	targets.observe(strict.Deadline, lax)
	assert.Equal(t, targets.gap, strict.Route.TargetEventGap)
	targets.observe(strict.Deadline+1, lax)
	assert.Equal(t, targets.gap, time.Second)
}

// Guards against streams without a target gap, which no pause makes late, that count where they are
// placed locally and so keep long prompts away.
func TestStreamsWithoutATargetGapDoNotCount(t *testing.T) {
	for _, remote := range []bool{false, true} {
		for gap, want := range map[time.Duration]int{0: 0, time.Second: 1} {
			d, _ := newTestDispatcher(1)
			r := newPromptRequest(0, &routes.Route{Kind: routes.Stream, TargetEventGap: gap}, 260)
			r.Remote = remote
			d.RecordResponseStart(time.Second, mustPlace(t, d, 0, r))
			assert.Equal(t, d.endpoints["e0"].runningStreams(), want, "remote: %t, gap: %v", remote, gap)
			assert.Equal(t, d.TakeLoadReports(time.Second)[0].Streams, want)
		}
	}
}

// Guards against a stream's own prompt among those beside it, because the report of the scheduler that
// placed the stream contains the prompt until the next one.
func TestOwnPromptIsNotQueuedBesideItsStream(t *testing.T) {
	sender, _ := newTestDispatcher(1)
	stream := newPromptRequest(0, streamRoute, 900)
	chosen := Decision{Endpoint: "e0", WeightsVersion: 1, UncachedTokens: 900, Scheduler: "s"}
	sender.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: "e0", Running: 1, PrefillTokens: 14_000})
	a := sender.AcceptDecision(time.Second, stream, chosen)
	now := time.Second + 20*time.Millisecond
	sender.ApplyLoadReport(now, "s", LoadReport{Endpoint: "e0", Running: 1, PrefillTokens: 900})
	assert.Equal(t, sender.QueuedPrefill(now, a), 14_900)
	now += 50 * time.Millisecond
	sender.RecordResponseStart(now, a)
	assert.Equal(t, sender.QueuedPrefill(now, a), 14_000, "the report contains the prompt")
	now += 20 * time.Millisecond
	sender.ApplyLoadReport(now, "s", LoadReport{Endpoint: "e0", Running: 2, PrefillTokens: 700})
	assert.Equal(t, sender.QueuedPrefill(now, a), 14_700, "the report contains another prompt")

	missing := sender.AcceptDecision(now+1, stream, chosen)
	sender.RecordResponseStart(now+2, missing)
	assert.Equal(t, sender.QueuedPrefill(now+2, missing), 14_700, "the report with the prompt is lost")
}
