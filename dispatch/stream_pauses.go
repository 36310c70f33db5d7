package dispatch

import (
	"cmp"
	"time"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// An engine computes a long prompt in chunks, one in each step, and a step also yields a token
// of each running stream. An event holds the tokens of several steps, so a long prompt delays
// the next event of every stream at the endpoint by as many chunks.

const (
	// defaultEventStride is the assumed number of output tokens in an event, and
	// defaultPrefillChunk the assumed number of prompt tokens that an engine computes in one
	// step, where the configuration does not say.
	defaultEventStride  = 4
	defaultPrefillChunk = 2048
	// lateStreamWeight is the weight of a running stream that a prompt may make late, against a
	// late first event. The stream has only a part of its time left, and may be paused as long by
	// another prompt. At full weight long prompts gathered at the few endpoints without streams
	// and were late there.
	lateStreamWeight = 0.3
)

// streamCounts counts the streams with a target gap of this instance's attempts at an endpoint that
// have sent an event and have not ended. remotelyPlaced is the part that remote schedulers have placed and
// report.
type streamCounts struct {
	own, remotelyPlaced int
}

// reportedStreams returns the number of streams that this instance reports.
func (s streamCounts) reportedStreams() int { return max(0, s.own-s.remotelyPlaced) }

// runningStreams returns the number of streams at the endpoint, as far as known. Schedulers
// report the streams that they have placed for this instance; while their reports are missing
// its own count is the larger one.
func (r *endpointRow) runningStreams() int {
	return max(r.streams.own, r.streams.reportedStreams()+r.reported.streams)
}

// isStream reports whether the response is a stream with a target gap. Other streams do not count,
// since a pause cannot make them late. A request of another instance does not name the kind of its
// route.
func (r *Request) isStream() bool {
	return r.Model != "" && r.Route.TargetEventGap > 0 && (r.Remote || r.Route.Kind == routes.Stream)
}

// streamTargets are the targets of the streams of a service with the smallest known target gap.
type streamTargets struct {
	gap, latency time.Duration
	// eventTokens is the largest number of prompt tokens that are computed between two events.
	eventTokens float64
	// validUntil is the latest deadline of these streams. Afterwards none of them runs, and
	// another gap replaces this one.
	validUntil tables.Instant
}

// observe updates the targets with those of a stream that has been placed.
func (t *streamTargets) observe(now tables.Instant, r *Request) {
	gap := r.Route.TargetEventGap
	switch {
	case gap <= 0:
	case t.gap == 0 || gap < t.gap || now > t.validUntil:
		*t = streamTargets{gap: gap, latency: r.Route.TargetLatency, eventTokens: eventTokens(r.Service), validUntil: r.Deadline}
	case gap == t.gap:
		t.validUntil = max(t.validUntil, r.Deadline)
	}
}

// markStream records whether a new attempt is a stream, and the targets of its route.
func (a *Attempt) markStream(now tables.Instant, r *Request) {
	if a.isStream = r.isStream(); a.isStream {
		a.row.averages.streams.observe(now, r)
		a.outputTokens = r.OutputTokens
	}
}

// countStream counts the attempt as a running stream if it is one. It is called when the
// response starts.
func (a *Attempt) countStream() { a.addStreams(1) }

// endStream stops counting the attempt as a running stream.
func (a *Attempt) endStream() {
	if a.responseStarted {
		a.addStreams(-1)
	}
}

func (a *Attempt) addStreams(n int) {
	if !a.isStream {
		return
	}
	a.row.streams.own += n
	if a.remotelyPlaced {
		a.row.streams.remotelyPlaced += n
	}
}

// QueuedPrefill returns the prompt tokens that were placed at the attempt's endpoint and have
// no first event yet, as far as known.
func (d *Dispatcher) QueuedPrefill(now tables.Instant, a *Attempt) int {
	return int(max(0, a.row.deduplicatedPrefill(now)-a.reportedPrefill()))
}

// reportedPrefill returns the attempt's own prompt tokens if its response has started and the
// latest report of the scheduler that placed it still contains them; zero otherwise.
func (a *Attempt) reportedPrefill() float64 {
	if !a.remotelyPlaced || !a.responseStarted {
		return 0
	}
	report, known := a.row.reported.byInstance[a.scheduler]
	if !known || report.receivedAt < a.startedAt || report.receivedAt > a.respondedAt {
		return 0
	}
	return min(a.prefillTokens, float64(report.PrefillTokens))
}

// deduplicatedPrefill returns the prefill queue without the prompts that queuedPrefill counts
// twice: schedulers' reports contain what they have placed for this instance.
func (r *endpointRow) deduplicatedPrefill(now tables.Instant) float64 {
	duplicates := min(r.remotelyPlaced.prefillTokens, float64(r.reported.prefillTokens))
	return max(0, r.queuedPrefill(now)-duplicates)
}

// pauseTerms are the terms of pauseCost that are equal for all candidates of a placement.
type pauseTerms struct {
	// decision is the placement for which the terms hold.
	decision uint64
	enabled  bool
	// lateStreamCost is the cost of one late stream, and midpoint the pause at which a stream is
	// late with probability one half, both in milliseconds.
	lateStreamCost, midpoint float64
	// eventTokens is the largest number of prompt tokens that are computed between two events.
	eventTokens float64
}

// newPauseTerms returns the terms for the request. They are disabled if no target gap is known.
func (d *Dispatcher) newPauseTerms(now tables.Instant, r *Request, averages *serviceAverages) pauseTerms {
	terms := pauseTerms{decision: d.decisions}
	targets := averages.streams
	if r.isStream() {
		targets.observe(now, r)
	}
	if targets.gap <= 0 || !d.options.Capacity.StreamPauses.Enabled(d.reportsSlowdown(r.Service.Name)) {
		return terms
	}
	terms.enabled = true
	terms.lateStreamCost = lateCost * milliseconds(cmp.Or(targets.latency, targets.gap))
	terms.midpoint = lateMidpoint * milliseconds(targets.gap)
	terms.eventTokens = targets.eventTokens
	return terms
}

// eventTokens returns the largest number of prompt tokens that an engine of the service computes
// between two events of a stream.
func eventTokens(s *routes.Service) float64 {
	return float64(cmp.Or(s.EventStride, defaultEventStride) * cmp.Or(s.PrefillChunk, defaultPrefillChunk))
}

// pauseCost returns the cost of the pauses that a request's prompt causes in the streams that
// run at a candidate, and of those that its own stream has to expect there, in milliseconds of a
// client's wait. The former is the number of streams times the
// cost of a late one times the increase of the probability that a pause makes it late. A
// backlog that pauses the streams for the time of a whole event already is not made worse.
func (d *Dispatcher) pauseCost(now tables.Instant, r *Request, c *candidate) float64 {
	if d.options.Capacity.StreamPauses == Off {
		return 0
	}
	streams := c.row.runningStreams()
	if streams == 0 && c.row.pauses.sum == 0 {
		return 0
	}
	if d.pauses.decision != d.decisions {
		d.pauses = d.newPauseTerms(now, r, c.row.averages)
	}
	terms := &d.pauses
	if !terms.enabled {
		return 0
	}
	risk := d.pauseRiskCost(now, r, c.row, terms.lateStreamCost)
	backlog := c.row.deduplicatedPrefill(now)
	if streams == 0 || backlog >= terms.eventTokens {
		return risk
	}
	scale := 1 / (c.row.currentPrefillRate(now) * terms.midpoint)
	before := lateProbability(backlog * scale)
	after := lateProbability(min(backlog+c.uncachedTokens, terms.eventTokens) * scale)
	return risk + lateStreamWeight*float64(streams)*terms.lateStreamCost*(after-before)
}

// lateProbability returns the probability that a wait makes a response late, by the curve of
// latenessCost. The wait is a multiple of the one at which the probability is one half. The
// power is written out for the steepness of 3, since math.Pow for each candidate would cost a
// tenth of a placement.
func lateProbability(wait float64) float64 {
	odds := wait * wait * wait
	return odds / (1 + odds)
}
