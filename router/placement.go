package router

import (
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/placement/filter/capacity"
	"github.com/carawaystile/carawaystile/systems/placement/filter/health"
	"github.com/carawaystile/carawaystile/systems/placement/filter/idle"
	"github.com/carawaystile/carawaystile/systems/placement/filter/leaving"
	"github.com/carawaystile/carawaystile/systems/placement/filter/serves"
	"github.com/carawaystile/carawaystile/systems/placement/filter/tried"
	"github.com/carawaystile/carawaystile/systems/placement/score/compute"
	"github.com/carawaystile/carawaystile/systems/placement/score/eviction"
	"github.com/carawaystile/carawaystile/systems/placement/score/queue"
	"github.com/carawaystile/carawaystile/systems/placement/score/recompute"
	"github.com/carawaystile/carawaystile/systems/placement/score/zone"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// waitWeightReuse and waitWeightDeferrable are the weights of a second of
	// waiting for profiles that prefer cache reuse, and for deferrable work.
	waitWeightReuse      = 0.3
	waitWeightDeferrable = 0.03
	// maxQueueSeconds is the longest prefill queue at an endpoint, in weighted
	// seconds, that work which is not deferrable may join. Work that would wait
	// longer stays queued in the router, where another organisation can go
	// first and the request can still be refused as not run.
	maxQueueSeconds = 3.0
	// delayImposedWeight is the weight of the delay that a request imposes on
	// others in the decision whether to start it. It keeps uncached prompts
	// away from overloaded endpoints, where each would displace many cached
	// ones.
	delayImposedWeight = 0.1
	// maxDeferrableQueueSeconds is the limit for deferrable work, in seconds.
	// It is low, so that deferrable work uses idle time without filling queues.
	maxDeferrableQueueSeconds = 1.5
	// coldPromptFraction is the uncached fraction above which a prompt counts
	// as uncached. Deferrable work with an uncached prompt waits for
	// batchingFraction of its maximum wait, so that requests with the same
	// prefix accumulate.
	coldPromptFraction = 0.25
	batchingFraction   = 0.3
	// promoteAfterFraction is the fraction of its maximum wait after which
	// deferrable work is treated as not deferrable.
	promoteAfterFraction = 0.7
	// lastChanceFraction is the fraction of its maximum wait after which a
	// request may go to any idle endpoint.
	lastChanceFraction = 0.5
)

// recomputeWeights is, by preference, the cost of a second of recomputation
// beyond the delay to the request itself. The recompute scorer applies it at
// one reference speed for all endpoints. At the endpoint's own speed, a fast
// endpoint would look like a cheap place for another copy of the prefix, and
// copies evict each other.
var recomputeWeights = [placement.PreferenceCount]float64{
	tables.PreferBalanced:   5,
	tables.PreferFirstToken: 5,
	tables.PreferReuse:      10,
}

// newPicker combines the filters and scorers of placement. Weights are in the
// order of tables.Preference: balanced, first token, reuse.
func newPicker(suspects *quarantine.Detector) placement.Picker {
	return placement.Picker{
		Filters: []placement.Filter{
			leaving.Filter{}, serves.Filter{}, health.Filter{}, tried.Filter{}, capacity.Filter{}, idle.Filter{},
			quarantineFilter{suspects: suspects},
		},
		Scorers: []placement.WeightedScorer{
			{Scorer: recompute.Scorer{}, Weights: recomputeWeights},
			{Scorer: compute.Scorer{}, Weights: [placement.PreferenceCount]float64{1, 1, 1}},
			{Scorer: queue.Scorer{}, Weights: [placement.PreferenceCount]float64{1, 1, 1}},
			{Scorer: eviction.Scorer{}, Weights: [placement.PreferenceCount]float64{0.5, 0, 1}},
			{Scorer: zone.Scorer{}, Weights: [placement.PreferenceCount]float64{1, 1, 1}},
		},
	}
}

// tryPlace dispatches an attempt of the request if an endpoint may take it now,
// and reports whether it did.
func (r *Router) tryPlace(now tables.Instant, row *tables.RequestRow, hedge bool) bool {
	if row.Profile.MaxWait > 0 && row.DeliveredTokens == 0 && r.overload.active(now) && !r.overload.admitsDeferrable() {
		return false
	}
	q := r.newQuery(now, row, hedge)
	candidates := r.candidates(&q)
	choice := r.picker.Pick(&q, candidates)
	if choice.Endpoint == tables.NoEndpoint && !r.suspects.Empty() {
		q.IgnoreOwnership = true
		choice = r.picker.Pick(&q, candidates)
	}
	if choice.Endpoint == tables.NoEndpoint || r.shouldWait(&q, &choice) {
		if !isLastChance(now, row) {
			r.explainWait(&q, candidates)
			return false
		}
		q.LastChance = true
		if choice = r.picker.Pick(&q, candidates); choice.Endpoint == tables.NoEndpoint {
			return false
		}
	}
	r.recordExplanation(&q, candidates, choice.Endpoint)
	r.dispatch(&q, choice)
	return true
}

// shouldWait reports whether the request should stay queued in the router
// instead of joining the chosen endpoint's queue. Deferrable work yields to
// other work.
func (r *Router) shouldWait(q *placement.Query, choice *placement.Choice) bool {
	if q.Request.DeliveredTokens > 0 {
		return false
	}
	if q.Request.Profile.MaxWait <= 0 || q.Promoted {
		ahead := choice.Row.Load.PrefillTokensAhead(dispatchPriority(q), &q.PriorityMix) / choice.PrefillRate()
		return q.WaitWeight*(ahead+delayImposedWeight*compute.ImposedDelay(q, &choice.Candidate)) > maxQueueSeconds
	}
	if r.shouldBatch(q, choice) {
		return true
	}
	return float64(choice.Row.Load.PrefillBacklog())/choice.PrefillRate() > maxDeferrableQueueSeconds
}

// shouldBatch reports whether deferrable work stays queued to accumulate more
// requests of its group before their prefix is computed. A prefix that is
// rarely requested is evicted between two requests; batched requests share one
// computation.
func (r *Router) shouldBatch(q *placement.Query, choice *placement.Choice) bool {
	if choice.UncachedTokens(q) <= coldPromptFraction*float64(q.Request.Request.PromptTokens) {
		return false
	}
	return float64(q.Now-q.Request.SubmittedAt) < batchingFraction*float64(q.Request.Profile.MaxWait)
}

// isPromoted reports whether deferrable work has waited so long that it no
// longer yields to other work. Without promotion, a steady stream of urgent
// work would keep every endpoint just busy enough to starve deferrable work.
func isPromoted(now tables.Instant, row *tables.RequestRow) bool {
	if row.Profile.MaxWait <= 0 || !row.Queued {
		return false
	}
	return float64(now-row.SubmittedAt) > promoteAfterFraction*float64(row.Profile.MaxWait)
}

// isLastChance reports whether a request that is not deferrable has used
// lastChanceFraction of its maximum wait.
func isLastChance(now tables.Instant, row *tables.RequestRow) bool {
	if !row.Queued || row.Profile.MaxWait > 0 {
		return false
	}
	return float64(now-row.SubmittedAt) > lastChanceFraction*float64(row.StartBy-row.SubmittedAt)
}

// dispatchPriority returns the priority at which the endpoint is asked to run
// the request.
func dispatchPriority(q *placement.Query) tables.Priority {
	if q.Promoted {
		return min(q.Request.Priority, tables.Normal)
	}
	return q.Request.Priority
}

func waitWeight(p *tables.Profile) float64 {
	switch {
	case p.MaxWait > 0:
		return waitWeightDeferrable
	case p.Prefer == tables.PreferReuse:
		return waitWeightReuse
	default:
		return 1
	}
}

// hasEligibleEndpoint reports whether any endpoint could take the request if it
// had capacity.
func (r *Router) hasEligibleEndpoint(now tables.Instant, row *tables.RequestRow) bool {
	q := r.newQuery(now, row, false)
	for _, c := range r.candidates(&q) {
		if (leaving.Filter{}).Keep(&q, &c) && (serves.Filter{}).Keep(&q, &c) {
			return true
		}
	}
	return false
}

func (r *Router) newQuery(now tables.Instant, row *tables.RequestRow, hedge bool) placement.Query {
	q := placement.Query{
		Now:          now,
		Request:      row,
		Weights:      r.weights[row.Profile.Model],
		Zone:         r.options.Zone,
		TieBreakSeed: placement.Mix64(r.options.Seed + r.lastAttempt),
		TrafficShare: r.trafficShare,
		Hedge:        hedge,
		PriorityMix:  r.priorityMix,

		WaitWeight: waitWeight(row.Profile),
		Promoted:   isPromoted(now, row),
	}
	if row.DeliveredTokens > 0 {
		q.Weights = row.Weights
	}
	return q
}

func (r *Router) dispatch(q *placement.Query, choice placement.Choice) {
	row := q.Request
	endpoint := r.endpoints.Row(choice.Endpoint)
	uncached := int(choice.UncachedTokens(q))
	load := &endpoint.Load
	attempt := &tables.AttemptRow{
		ID:                 r.newAttemptID(),
		Request:            row,
		Endpoint:           choice.Endpoint,
		Priority:           dispatchPriority(q),
		Boot:               endpoint.Boot,
		Weights:            q.Weights,
		DispatchedAt:       q.Now,
		UncachedTokens:     uncached,
		KnownTokens:        int(choice.KnownTokens),
		HomeTokens:         int(choice.HomeTokens),
		PrefillTokensAhead: load.PrefillBacklog(),

		ExpectedTTFT: expectedFirstToken(q, &choice.Candidate),
		Hedge:        q.Hedge,
	}
	r.attempts[attempt.ID] = attempt
	row.Attempts = append(row.Attempts, attempt)
	row.State = tables.InFlight
	row.Dispatched = true
	load.LocalAttempts++
	load.LocalPrefilling++
	load.LocalPrefillTokens[attempt.Priority] += uncached
	r.updatePriorityMix(row.Priority, uncached)
	incarnation := quarantine.Incarnation{Endpoint: endpoint.Endpoint.ID, Boot: endpoint.Boot}
	r.suspects.Started(q.Now, attempt.ID, incarnation, workOf(row.Request))
	r.gossip.add(endpoint, row.Request.Blocks, &choice.Candidate)
	r.cacheIndex.RecordPlacement(q.Now, choice.Endpoint, row.Request.Blocks)
	r.actions = append(r.actions, Dispatch{
		Request:    row.Request.ID,
		Attempt:    attempt.ID,
		Endpoint:   endpoint.Endpoint,
		Boot:       endpoint.Boot,
		Weights:    q.Weights,
		Priority:   attempt.Priority,
		ResumeFrom: row.DeliveredTokens,
		Hedge:      q.Hedge,
	})
}

// expectedFirstToken returns the expected time from dispatch to the first
// token.
func expectedFirstToken(q *placement.Query, c *placement.Candidate) time.Duration {
	seconds := queue.ExpectedWait(q, c) + c.UncachedTokens(q)/c.PrefillRate()
	return time.Duration(seconds * float64(time.Second))
}

// newAttemptID returns a globally unique ID, as long as the seeds of instances
// and of their runs differ.
func (r *Router) newAttemptID() tables.AttemptID {
	r.lastAttempt++
	var buf [64]byte
	id := append(buf[:0], r.options.Instance...)
	id = append(id, '-')
	id = strconv.AppendUint(id, r.options.Seed, 36)
	id = append(id, '-')
	id = strconv.AppendUint(id, r.lastAttempt, 36)
	return tables.AttemptID(id)
}
