package tables

import (
	"math"
	"time"
)

const (
	// othersKeep is the time constant with which a report of others' work loses
	// its worth. What it showed is done soon after, and what came since is not
	// in it; the mean over many reports is the better guess then.
	othersKeep = 700 * time.Millisecond
	// othersMean is the time constant of that mean.
	othersMean = 10 * time.Second
)

// RemoteLoad is what other instances have at an endpoint: as last reported, its
// mean, and the estimate that decisions use. Without the mean, all instances
// would hold the same snapshot for true until the next one comes, avoid the
// same endpoints and crowd the same others; with reports two seconds apart that
// halves what the fleet can do.
type RemoteLoad struct {
	reported othersSample
	mean     othersSample
	at       Instant
	// Attempts and Tokens are the estimate: attempts, queued ones included, and
	// their prefill work.
	Attempts float64
	Tokens   float64
}

type othersSample struct{ attempts, tokens float64 }

// Observe takes in a load report.
func (o *RemoteLoad) Observe(now Instant, attempts, tokens int) {
	sample := othersSample{attempts: float64(attempts), tokens: float64(tokens)}
	if o.at == 0 {
		o.mean = sample
	} else {
		keep := decay(now-o.at, othersMean)
		o.mean = blend(o.mean, sample, keep)
	}
	o.reported = sample
	o.at = now
	o.Advance(now)
}

// Advance moves the estimate on to now.
func (o *RemoteLoad) Advance(now Instant) {
	estimate := blend(o.reported, o.mean, decay(now-o.at, othersKeep))
	o.Attempts = estimate.attempts
	o.Tokens = estimate.tokens
}

func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}

// blend keeps a part of old and fills up with new.
func blend(old, new othersSample, keep float64) othersSample {
	return othersSample{
		attempts: old.attempts*keep + new.attempts*(1-keep),
		tokens:   old.tokens*keep + new.tokens*(1-keep),
	}
}
