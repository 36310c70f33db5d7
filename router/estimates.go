package router

import (
	"time"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// initialHomeTrust is the part of a prefix that is supposed to be at its
	// home before that was ever seen to be so.
	initialHomeTrust = 0.5
	// learnHome, learnSpeed and learnService are the weights of one sample.
	learnHome    = 0.02
	learnSpeed   = 0.1
	learnService = 0.05
	// minSampleTokens is the least prefill work that says something of speed.
	minSampleTokens = 2000
	// learnWork is the weight of one dispatch in the means of prefill work.
	learnWork = 0.02
	// otherMargin is how much more prefill work than own attempts those of
	// other instances are believed to bring. Engines count a prefix that several
	// queued attempts share once for each; without the bound the queue of a hot
	// prefix's home looks many times longer than it is, and its requests flee to
	// endpoints that must compute the prefix anew.
	otherMargin = 1.5
)

// learn takes in what the first token of an attempt shows of the endpoint's
// cache and speed.
func (r *Router) learn(now tables.Instant, a *tables.AttemptRow, found int) {
	row := r.endpoints.Row(a.Endpoint)
	if a.Boot == row.Boot {
		r.view.Learn(a.Endpoint, a.KnownTokens, found)
	}
	if a.HomeTokens > 0 && a.KnownTokens == 0 {
		part := min(1, float64(found)/float64(a.HomeTokens))
		r.homeTrust += learnHome * (part - r.homeTrust)
	}
	uncached := max(0, a.Request.Request.PromptTokens-found)
	if a.PrefillTokensAhead <= uncached {
		r.learnPrefill(row, a.PrefillTokensAhead+uncached, now-a.DispatchedAt)
	}
}

// learnPrefill averages the time for a token of prefill work, the work that
// was ahead included.
func (r *Router) learnPrefill(row *tables.EndpointRow, tokens int, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	speed := &row.Throughput
	rate := speed.PrefillRate
	if rate <= 0 {
		rate = placement.DefaultPrefillRate
	}
	seconds := took.Seconds() / float64(tokens)
	speed.PrefillRate = 1 / (1/rate + sampleWeight(row)*(seconds-1/rate))
	speed.PrefillSamples++
}

// sampleWeight is the weight of the next sample of an endpoint's speed. A
// declared speed is a good first guess and gives way slowly. Where none is
// declared the first samples are averaged: the default in its place can be far
// off for all endpoints alike, and a slow one among them would look like the
// others until the default is forgotten, with callers waiting at it meanwhile.
func sampleWeight(row *tables.EndpointRow) float64 {
	if row.Endpoint.PrefillRate > 0 {
		return learnSpeed
	}
	return max(learnSpeed, 1/float64(row.Throughput.PrefillSamples+1))
}

// learnEnd takes in what the end of an attempt shows.
func (r *Router) learnEnd(now tables.Instant, a *tables.AttemptRow, in AttemptEnded) {
	row := r.endpoints.Row(a.Endpoint)
	if in.Result == Completed {
		r.learnService(row, now-a.DispatchedAt)
		return
	}
	if a.FirstTokenAt == 0 && a.Boot == row.Boot {
		known := min(len(a.Request.Request.Blocks), a.KnownTokens/prefix.BlockTokens)
		r.view.Forget(a.Endpoint, a.Request.Request.Blocks[known:])
	}
}

func (r *Router) learnService(row *tables.EndpointRow, took time.Duration) {
	if row.Throughput.MeanServiceTime == 0 {
		row.Throughput.MeanServiceTime = took
		return
	}
	row.Throughput.MeanServiceTime += time.Duration(learnService * float64(took-row.Throughput.MeanServiceTime))
}

// busyWindow is the time constant over which the use of endpoints is averaged.
const busyWindow = 10 * time.Second

// learnBusy takes in whether an endpoint had prefill work at its last report.
func (r *Router) learnBusy(now tables.Instant, row *tables.EndpointRow, busy bool) {
	passed := float64(min(now-row.Load.ReportedAt, busyWindow)) / float64(busyWindow)
	target := 0.0
	if busy {
		target = 1
	}
	row.Load.BusyFraction += passed * (target - row.Load.BusyFraction)
}

// learnMix takes in the prefill work of a dispatch.
func (r *Router) learnMix(p tables.Priority, uncached int) {
	r.meanUncached += learnWork * (float64(uncached) - r.meanUncached)
	if uncached == 0 {
		return
	}
	weight := learnWork * min(1, float64(uncached)/prefix.BlockTokens)
	for i := range r.mix {
		r.mix[i] -= weight * r.mix[i]
	}
	r.mix[p] += weight
}
