package router

import (
	"strconv"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/placement/filter/capacity"
	"github.com/carawaystile/carawaystile/systems/placement/filter/health"
	"github.com/carawaystile/carawaystile/systems/placement/filter/leaving"
	"github.com/carawaystile/carawaystile/systems/placement/filter/serves"
	"github.com/carawaystile/carawaystile/systems/placement/filter/tried"
	"github.com/carawaystile/carawaystile/systems/placement/score/compute"
	"github.com/carawaystile/carawaystile/systems/placement/score/queue"
	"github.com/carawaystile/carawaystile/systems/placement/score/zone"
	"github.com/carawaystile/carawaystile/tables"
)

// standardPicker puts the filters and scorers together. Weights are in the
// order of tables.Preference: balanced, first token, reuse.
var (
	TuneP = 3.0
	TuneW = 0.2
	TuneB = 0.75
)

func standardPicker() placement.Picker {
	return placement.Picker{
		Filters: []placement.Filter{
			leaving.Filter{}, serves.Filter{}, health.Filter{}, tried.Filter{}, capacity.Filter{},
		},
		Scorers: []placement.Weighted{
			{Scorer: queue.Scorer{}, Weights: [placement.Preferences]float64{1, 1, 1}},
			{Scorer: compute.Scorer{}, Weights: [placement.Preferences]float64{1, 1, 1}},
			{Scorer: zone.Scorer{}, Weights: [placement.Preferences]float64{1, 1, 1}},
		},
	}
}

// place dispatches an attempt of the request if any endpoint may take it.
func (r *Router) place(now tables.Instant, row *tables.RequestRow, hedge bool) bool {
	q := r.query(now, row, hedge)
	candidates := r.candidates(&q)
	choice := r.picker.Pick(&q, candidates)
	r.explain(&q, candidates, choice.Endpoint)
	if choice.Endpoint == tables.NoEndpoint {
		return false
	}
	if row.Profile.MaxWait > 0 && float64(choice.Row.Load.Backlog())/choice.PrefillRate() > TuneB {
		return false
	}
	r.dispatch(&q, choice)
	return true
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
	}
	q.WaitWeight = 1
	q.Price = TuneP
	if row.Profile.MaxWait > 0 {
		q.WaitWeight = TuneW
	}
	if row.Delivered > 0 {
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
		ID:             r.newAttemptID(),
		Request:        row,
		Endpoint:       choice.Endpoint,
		Priority:       row.Urgency(),
		Boot:           endpoint.Boot,
		Weights:        q.Weights,
		Dispatched:     q.Now,
		UncachedTokens: uncached,
		KnownTokens:    int(choice.KnownTokens),
		HomeTokens:     int(choice.HomeTokens),
		WorkAhead:      load.Backlog(),
		Hedge:          q.Hedge,
	}
	r.attempts[attempt.ID] = attempt
	row.Attempts = append(row.Attempts, attempt)
	row.State = tables.Flying
	row.Dispatched = true
	load.Own++
	load.OwnPrefilling++
	load.OwnTokens[row.Urgency()] += uncached
	r.learnMix(row.Urgency(), uncached)
	r.view.Placed(q.Now, choice.Endpoint, row.Request.Blocks)
	r.actions = append(r.actions, Dispatch{
		Request:    row.Request.ID,
		Attempt:    attempt.ID,
		Endpoint:   endpoint.Endpoint,
		Boot:       endpoint.Boot,
		Weights:    q.Weights,
		Priority:   row.Urgency(),
		ResumeFrom: row.Delivered,
		Hedge:      q.Hedge,
	})
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
