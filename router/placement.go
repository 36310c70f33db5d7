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
	// waitReuse and waitHeld are how much a second of waiting counts for work
	// that favours reuse, and for work that can be held.
	waitReuse = 0.3
	waitHeld  = 0.03
	// maxAhead is the longest queue of prefill, in weighted seconds, that work
	// which cannot be held is added to. What would wait longer waits here, where
	// its turn can pass to another organisation and where it can still be
	// refused as not run.
	maxAhead = 3.0
	// delayWeight is how much of the wait that a request means for others counts
	// against its being started. It keeps prompts that are nowhere cached from
	// overloaded endpoints, where each would take the place of many that are.
	delayWeight = 0.1
	// maxBacklog is the same for work that can be held, in seconds. It is small,
	// so that held work uses the time that is left without filling queues.
	maxBacklog = 1.5
	// coldPart is the part of a prompt above which it counts as not held, and
	// gatherFor the part of its wait for which held work then gathers.
	coldPart  = 0.25
	gatherFor = 0.3
	// promoteAfter is the part of its wait after which held work is treated like
	// work that cannot be held.
	promoteAfter = 0.7
	// lastChanceAfter is the part of its wait after which a request goes to any
	// idle endpoint.
	lastChanceAfter = 0.5
)

// recomputePrice is what a second of computing something again costs beyond the
// wait it means for the request itself, by preference. It is paid at one speed
// for all endpoints: were it paid at the endpoint's own, a fast endpoint would
// look like a cheap place for another copy, and copies push each other out.
var recomputePrice = [placement.Preferences]float64{
	tables.PreferBalanced:   5,
	tables.PreferFirstToken: 5,
	tables.PreferReuse:      10,
}

// standardPicker puts the filters and scorers together. Weights are in the
// order of tables.Preference: balanced, first token, reuse.
func standardPicker(suspects *quarantine.Detector) placement.Picker {
	return placement.Picker{
		Filters: []placement.Filter{
			leaving.Filter{}, serves.Filter{}, health.Filter{}, tried.Filter{}, capacity.Filter{}, idle.Filter{},
			suspectFilter{suspects: suspects},
		},
		Scorers: []placement.Weighted{
			{Scorer: recompute.Scorer{}, Weights: recomputePrice},
			{Scorer: compute.Scorer{}, Weights: [placement.Preferences]float64{1, 1, 1}},
			{Scorer: queue.Scorer{}, Weights: [placement.Preferences]float64{1, 1, 1}},
			{Scorer: eviction.Scorer{}, Weights: [placement.Preferences]float64{0.5, 0, 1}},
			{Scorer: zone.Scorer{}, Weights: [placement.Preferences]float64{1, 1, 1}},
		},
	}
}

// place dispatches an attempt of the request if any endpoint may take it now.
func (r *Router) place(now tables.Instant, row *tables.RequestRow, hedge bool) bool {
	if row.Profile.MaxWait > 0 && row.DeliveredTokens == 0 && r.pressure.on(now) && !r.pressure.room() {
		return false
	}
	q := r.query(now, row, hedge)
	candidates := r.candidates(&q)
	choice := r.picker.Pick(&q, candidates)
	if choice.Endpoint == tables.NoEndpoint && !r.suspects.Empty() {
		q.AnyOwner = true
		choice = r.picker.Pick(&q, candidates)
	}
	if choice.Endpoint == tables.NoEndpoint || r.better(&q, &choice) {
		if !lastChance(now, row) {
			r.explainWait(&q, candidates)
			return false
		}
		q.LastChance = true
		if choice = r.picker.Pick(&q, candidates); choice.Endpoint == tables.NoEndpoint {
			return false
		}
	}
	r.explain(&q, candidates, choice.Endpoint)
	r.dispatch(&q, choice)
	return true
}

// better says whether it is better to wait for the chosen endpoint than to add
// to its queue. Work that can wait keeps out of the way of work that cannot.
func (r *Router) better(q *placement.Query, choice *placement.Choice) bool {
	if q.Request.DeliveredTokens > 0 {
		return false
	}
	if q.Request.Profile.MaxWait <= 0 || q.Promoted {
		ahead := choice.Row.Load.PrefillTokensAhead(priority(q), &q.Mix) / choice.PrefillRate()
		return q.WaitWeight*(ahead+delayWeight*compute.Delay(q, &choice.Candidate)) > maxAhead
	}
	if r.gathers(q, choice) {
		return true
	}
	return float64(choice.Row.Load.PrefillBacklog())/choice.PrefillRate() > maxBacklog
}

// gathers says whether held work stays held so that more of its group comes
// together before its prefix is computed. A prefix that is asked for rarely is
// pushed out between two requests; held, several are served by one computation.
func (r *Router) gathers(q *placement.Query, choice *placement.Choice) bool {
	if choice.UncachedTokens(q) <= coldPart*float64(q.Request.Request.PromptTokens) {
		return false
	}
	return float64(q.Now-q.Request.SubmittedAt) < gatherFor*float64(q.Request.Profile.MaxWait)
}

// promoted says whether work has been held for so long that it no longer
// yields. Without it a steady stream of urgent work would keep every endpoint
// just busy enough for held work never to start.
func promoted(now tables.Instant, row *tables.RequestRow) bool {
	if row.Profile.MaxWait <= 0 || !row.Queued {
		return false
	}
	return float64(now-row.SubmittedAt) > promoteAfter*float64(row.Profile.MaxWait)
}

// lastChance says whether a request has waited almost as long as it may.
func lastChance(now tables.Instant, row *tables.RequestRow) bool {
	if !row.Queued || row.Profile.MaxWait > 0 {
		return false
	}
	return float64(now-row.SubmittedAt) > lastChanceAfter*float64(row.StartBy-row.SubmittedAt)
}

// priority is the urgency with which the endpoint is asked to run the request.
func priority(q *placement.Query) tables.Priority {
	if q.Promoted {
		return min(q.Request.Priority, tables.Normal)
	}
	return q.Request.Priority
}

func waitWeight(p *tables.Profile) float64 {
	switch {
	case p.MaxWait > 0:
		return waitHeld
	case p.Prefer == tables.PreferReuse:
		return waitReuse
	default:
		return 1
	}
}

// anyServes says whether any endpoint could take the request if it had room.
func (r *Router) anyServes(now tables.Instant, row *tables.RequestRow) bool {
	q := r.query(now, row, false)
	for _, c := range r.candidates(&q) {
		if (leaving.Filter{}).Keep(&q, &c) && (serves.Filter{}).Keep(&q, &c) {
			return true
		}
	}
	return false
}

func (r *Router) query(now tables.Instant, row *tables.RequestRow, hedge bool) placement.Query {
	q := placement.Query{
		Now:     now,
		Request: row,
		Weights: r.weights[row.Profile.Model],
		Zone:    r.options.Zone,
		Spread:  placement.Mix(r.options.Seed + r.lastID),
		Share:   r.share,
		Hedge:   hedge,
		Mix:     r.mix,

		WaitWeight: waitWeight(row.Profile),
		Promoted:   promoted(now, row),
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
		Priority:           priority(q),
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
	r.learnMix(row.Priority, uncached)
	life := quarantine.Incarnation{Endpoint: endpoint.Endpoint.ID, Boot: endpoint.Boot}
	r.suspects.Started(q.Now, attempt.ID, life, row.Request.Fingerprint)
	r.news.placed(endpoint, row.Request.Blocks, &choice.Candidate)
	r.view.Placed(q.Now, choice.Endpoint, row.Request.Blocks)
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

// expectedFirstToken is the time from dispatch to the first token.
func expectedFirstToken(q *placement.Query, c *placement.Candidate) time.Duration {
	seconds := queue.Wait(q, c) + c.UncachedTokens(q)/c.PrefillRate()
	return time.Duration(seconds * float64(time.Second))
}

// newAttemptID makes an identity that no other instance and no other life of
// this one makes, as long as seeds differ.
func (r *Router) newAttemptID() tables.AttemptID {
	r.lastID++
	var buf [64]byte
	id := append(buf[:0], r.options.Instance...)
	id = append(id, '-')
	id = strconv.AppendUint(id, r.options.Seed, 36)
	id = append(id, '-')
	id = strconv.AppendUint(id, r.lastID, 36)
	return tables.AttemptID(id)
}
