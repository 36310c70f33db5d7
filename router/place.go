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
func standardPicker() placement.Picker {
	return placement.Picker{
		Filters: []placement.Filter{
			leaving.Filter{}, serves.Filter{}, health.Filter{}, tried.Filter{}, capacity.Filter{},
		},
		Scorers: []placement.Weighted{
			{Scorer: queue.Scorer{}, Weights: [placement.Preferences]float64{1, 1, 1}},
			{Scorer: compute.Scorer{}, Weights: [placement.Preferences]float64{1.5, 1.2, 3}},
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
	}
	if row.Delivered > 0 {
		q.Weights = row.Weights
	}
	return q
}

func (r *Router) candidates(_ *placement.Query) []placement.Candidate {
	r.scratch = r.scratch[:0]
	for i := range r.endpoints.Len() {
		r.scratch = append(r.scratch, placement.Candidate{Row: r.endpoints.Row(tables.EndpointIndex(i))})
	}
	return r.scratch
}

func (r *Router) dispatch(q *placement.Query, choice placement.Choice) {
	row := q.Request
	endpoint := r.endpoints.Row(choice.Endpoint)
	uncached := max(0, row.Request.PromptTokens-int(choice.CachedTokens))
	attempt := &tables.AttemptRow{
		ID:             r.newAttemptID(),
		Request:        row,
		Endpoint:       choice.Endpoint,
		Boot:           endpoint.Boot,
		Weights:        q.Weights,
		Dispatched:     q.Now,
		UncachedTokens: uncached,
		Hedge:          q.Hedge,
	}
	r.attempts[attempt.ID] = attempt
	row.Attempts = append(row.Attempts, attempt)
	row.State = tables.Flying
	row.Dispatched = true
	endpoint.Load.Own++
	endpoint.Load.OwnPrefilling++
	endpoint.Load.OwnTokens += uncached
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
