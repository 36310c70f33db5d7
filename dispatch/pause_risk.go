package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// A stream that runs at an endpoint is paused by the prompts that arrive there meanwhile. Where
// they were long of late, they will most likely be long again: prompts with the same beginning
// go to the same endpoints. So streams prefer endpoints with few long prompts, and as long prompts
// prefer endpoints with few streams (pauseCost), both gather apart as far as the load calls for it.

const (
	// pauseRateDecay is the time constant of the decaying sum of pauses at an endpoint. It covers
	// a few streams, so that the sum follows a change of the load within seconds.
	pauseRateDecay = 3 * time.Second
	// defaultStreamTime is the assumed time of a stream for each output token that it may have,
	// until one was measured, in milliseconds.
	defaultStreamTime = 10.0
)

// pauseRate is a decaying sum of the probabilities with which prompts that were placed at an
// endpoint make a stream there late.
type pauseRate struct {
	sum float64
	at  tables.Instant
}

func (p *pauseRate) add(now tables.Instant, probability float64) {
	p.sum, p.at = p.value(now)+probability, now
}

func (p *pauseRate) value(now tables.Instant) float64 {
	if p.sum == 0 {
		return 0
	}
	return p.sum * decay(now-p.at, pauseRateDecay)
}

// recordPrompt records that a prompt with so many tokens to compute was placed at the endpoint.
func (r *endpointRow) recordPrompt(now tables.Instant, tokens float64) {
	targets := &r.averages.streams
	if targets.gap <= 0 || tokens <= 0 {
		return
	}
	pause := min(tokens, targets.eventTokens) / r.currentPrefillRate(now)
	r.pauses.add(now, lateProbability(pause/(lateMidpoint*milliseconds(targets.gap))))
}

// recordReportedPrompts records the prompts that another instance has placed since its last
// report, before the new report replaces that.
func (r *endpointRow) recordReportedPrompts(now tables.Instant, by tables.InstanceID, l *LoadReport) {
	r.recordPrompt(now, float64(l.PrefillTokens-r.reported.byInstance[by].PrefillTokens))
}

// recordStreamTime records the time from the first event of a stream to its end, by the number of
// output tokens that it may have.
func (a *serviceAverages) recordStreamTime(outputTokens int, took time.Duration) {
	if outputTokens <= 0 {
		return
	}
	a.streamTime += averageWeight * (milliseconds(took)/float64(outputTokens) - a.streamTime)
}

// pauseRiskCost returns the cost of the pauses that a stream has to expect at a candidate from
// prompts that arrive while it runs, in milliseconds of a client's wait.
func (d *Dispatcher) pauseRiskCost(now tables.Instant, r *Request, row *endpointRow, lateStreamCost float64) float64 {
	if row.pauses.sum == 0 || !r.isStream() {
		return 0
	}
	duration := float64(r.OutputTokens) * row.averages.streamTime
	expected := row.pauses.value(now) * duration / milliseconds(pauseRateDecay)
	return lateStreamCost * (1 - math.Exp(-expected))
}
