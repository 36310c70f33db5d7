package router

import (
	"time"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// initialHomeHitRatio is the value of homeHitRatio before the first sample.
	initialHomeHitRatio = 0.5
	// homeHitRatioAlpha, prefillRateAlpha and serviceTimeAlpha are the
	// smoothing factors of exponentially weighted moving averages: the weight
	// of one sample.
	homeHitRatioAlpha = 0.02
	prefillRateAlpha  = 0.1
	serviceTimeAlpha  = 0.05
	// minPrefillSampleTokens is the least prefill work whose duration is a
	// useful sample of speed.
	minPrefillSampleTokens = 2000
	// prefillWorkAlpha is the smoothing factor of the averages over the prefill
	// work of dispatches.
	prefillWorkAlpha = 0.02
	// maxRemoteWorkRatio limits the prefill work attributed to an attempt of
	// another instance, relative to the mean of this instance's attempts.
	// Engines count a prefix that several queued attempts share once per
	// attempt. Without the limit, the queue at the home of a hot prefix looks
	// many times longer than it is, and requests move to endpoints that must
	// compute the prefix again.
	maxRemoteWorkRatio = 1.5
)

// recordFirstToken updates the cache and speed estimates of an endpoint from an
// attempt's first token. cachedTokens is the number of prompt tokens that the
// endpoint had cached.
func (r *Router) recordFirstToken(now tables.Instant, a *tables.AttemptRow, cachedTokens int) {
	row := r.endpoints.Row(a.Endpoint)
	if a.Boot == row.Boot {
		r.cacheIndex.RecordCachedTokens(a.Endpoint, a.KnownTokens, cachedTokens)
	}
	if a.HomeTokens > 0 && a.KnownTokens == 0 {
		hitRatio := min(1, float64(cachedTokens)/float64(a.HomeTokens))
		r.homeHitRatio += homeHitRatioAlpha * (hitRatio - r.homeHitRatio)
	}
	uncached := max(0, a.Request.Request.PromptTokens-cachedTokens)
	if a.PrefillTokensAhead <= uncached {
		r.updatePrefillRate(row, a.PrefillTokensAhead+uncached, now-a.DispatchedAt)
	}
}

// updatePrefillRate adds a sample to the moving average of the time per token
// of prefill work. tokens includes the work queued ahead of the attempt.
func (r *Router) updatePrefillRate(row *tables.EndpointRow, tokens int, took time.Duration) {
	if tokens < minPrefillSampleTokens || took <= 0 {
		return
	}
	speed := &row.Throughput
	rate := speed.PrefillRate
	if rate <= 0 {
		rate = placement.DefaultPrefillRate
	}
	seconds := took.Seconds() / float64(tokens)
	speed.PrefillRate = 1 / (1/rate + prefillSampleWeight(row)*(seconds-1/rate))
	speed.PrefillSamples++
}

// prefillSampleWeight returns the weight of the next sample of an endpoint's
// prefill rate. A declared rate is a good initial value, so samples replace it
// slowly. Without a declared rate, the first samples are averaged with equal
// weight: the default rate may be far off for all endpoints, and a slow
// endpoint would look like the others, with callers queued at it, until the
// average has forgotten the default.
func prefillSampleWeight(row *tables.EndpointRow) float64 {
	if row.Endpoint.PrefillRate > 0 {
		return prefillRateAlpha
	}
	return max(prefillRateAlpha, 1/float64(row.Throughput.PrefillSamples+1))
}

// recordAttemptEnd updates the estimates from the end of an attempt. After an
// attempt without a first token, it removes the blocks that the cache index
// gained when the attempt was placed.
func (r *Router) recordAttemptEnd(now tables.Instant, a *tables.AttemptRow, in AttemptEnded) {
	row := r.endpoints.Row(a.Endpoint)
	if in.Result == Completed {
		r.updateServiceTime(row, now-a.DispatchedAt)
		return
	}
	if a.FirstTokenAt == 0 && a.Boot == row.Boot {
		known := min(len(a.Request.Request.Blocks), a.KnownTokens/prefix.BlockTokens)
		r.cacheIndex.RemoveBlocks(a.Endpoint, a.Request.Request.Blocks[known:])
	}
}

func (r *Router) updateServiceTime(row *tables.EndpointRow, took time.Duration) {
	if row.Throughput.MeanServiceTime == 0 {
		row.Throughput.MeanServiceTime = took
		return
	}
	row.Throughput.MeanServiceTime += time.Duration(serviceTimeAlpha * float64(took-row.Throughput.MeanServiceTime))
}

// busyWindow is the time constant of BusyFraction.
const busyWindow = 10 * time.Second

// updateBusyFraction adds to BusyFraction whether an endpoint reported queued
// prefill work.
func (r *Router) updateBusyFraction(now tables.Instant, row *tables.EndpointRow, busy bool) {
	alpha := float64(min(now-row.Load.ReportedAt, busyWindow)) / float64(busyWindow)
	target := 0.0
	if busy {
		target = 1
	}
	row.Load.BusyFraction += alpha * (target - row.Load.BusyFraction)
}

// updatePriorityMix adds the prefill work of a dispatch to the averages.
func (r *Router) updatePriorityMix(p tables.Priority, uncached int) {
	r.meanUncachedTokens += prefillWorkAlpha * (float64(uncached) - r.meanUncachedTokens)
	if uncached == 0 {
		return
	}
	weight := prefillWorkAlpha * min(1, float64(uncached)/prefix.BlockTokens)
	for i := range r.priorityMix {
		r.priorityMix[i] -= weight * r.priorityMix[i]
	}
	r.priorityMix[p] += weight
}
