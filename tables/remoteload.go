package tables

import (
	"math"
	"time"
)

const (
	// reportTimeConstant is the time constant with which the last report loses
	// weight to the long-term mean. Most of the work in a report is done soon
	// after it, and the report lacks the work that has come since; by then the
	// mean over many reports is the better estimate.
	reportTimeConstant = 700 * time.Millisecond
	// meanTimeConstant is the time constant of the long-term mean.
	meanTimeConstant = 10 * time.Second
)

// RemoteLoad estimates the work that other instances have at an endpoint. It
// combines two exponentially weighted estimates: the last report, whose weight
// decays with its age, and a long-term mean of reports. With the last report
// alone, all instances would trust the same snapshot until the next one
// arrives, avoid the same endpoints and overload the same others. With reports
// two seconds apart, that herd effect halves the capacity of the fleet.
type RemoteLoad struct {
	reported   loadSample
	mean       loadSample
	reportedAt Instant
	// Attempts and Tokens are the current estimate: the attempts, including
	// queued ones, and their prefill work in tokens.
	Attempts float64
	Tokens   float64
}

type loadSample struct{ attempts, tokens float64 }

// Observe adds a load report that arrived at now.
func (l *RemoteLoad) Observe(now Instant, attempts, tokens int) {
	sample := loadSample{attempts: float64(attempts), tokens: float64(tokens)}
	if l.reportedAt == 0 {
		l.mean = sample
	} else {
		keep := decay(now-l.reportedAt, meanTimeConstant)
		l.mean = blend(l.mean, sample, keep)
	}
	l.reported = sample
	l.reportedAt = now
	l.Advance(now)
}

// Advance recomputes the estimate for the instant now.
func (l *RemoteLoad) Advance(now Instant) {
	estimate := blend(l.reported, l.mean, decay(now-l.reportedAt, reportTimeConstant))
	l.Attempts = estimate.attempts
	l.Tokens = estimate.tokens
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// blend returns the weighted average of old and new, with the weight keep for
// old.
func blend(old, new loadSample, keep float64) loadSample {
	return loadSample{
		attempts: old.attempts*keep + new.attempts*(1-keep),
		tokens:   old.tokens*keep + new.tokens*(1-keep),
	}
}
