package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Choice is what one instance has chosen for a request of another.
type Choice struct {
	Endpoint tables.EndpointID
	// Source and Store are those of the attempt; empty for none.
	Source, Store tables.EndpointID
	Weights       uint64
	Expected      time.Duration
	Uncached      int
	Rule          Rule
	// Limit is what is known of the endpoint's rate limit; nil for nothing.
	Limit *LimitReport
}

// Choice is the attempt as another instance needs it now.
func (a *Attempt) Choice(now tables.Instant) Choice {
	return Choice{
		Endpoint: a.Endpoint.ID, Source: a.Source.ID, Store: a.Store.ID, Weights: a.Weights,
		Expected: a.Expected, Uncached: a.Uncached, Rule: a.Known.Rule, Limit: a.row.limit.report(now),
	}
}

// adopted is what of an endpoint's own load other instances have chosen.
type adopted struct {
	own, tokens int
	prefill     float64
}

// end takes an attempt out.
func (o *adopted) end(a *Attempt) {
	o.own--
	o.tokens -= a.tokens
	if !a.first {
		o.prefill -= a.prefill
	}
}

// Adopt counts an attempt that another instance has chosen for this one's request.
// It returns nil if this instance knows that the endpoint must not have it. The
// other one counts the attempt too and tells of it, so this one does not.
func (d *Dispatcher) Adopt(now tables.Instant, r *Request, chosen Choice) *Attempt {
	row := d.rows[chosen.Endpoint]
	if row != nil {
		row.limit.take(now, chosen.Limit)
	}
	if row == nil || r.tried(row.ID) || row.Weights[r.Model] > chosen.Weights {
		return nil
	}
	if row.Weights[r.Model] < chosen.Weights {
		d.Serves(&Attempt{row: row}, r.Model, chosen.Weights)
	}
	// Whether the endpoint loads weights at this moment is left to the chooser: the
	// two learn of it at different moments.
	if !row.takes(now) || row.limit.full(now) || !d.inTime(now, r.Model, chosen.Weights) {
		return nil
	}
	a := &Attempt{
		Endpoint:  row.Endpoint,
		Weights:   chosen.Weights,
		Expected:  chosen.Expected,
		Uncached:  chosen.Uncached,
		Known:     Known{Rule: chosen.Rule, Own: row.own, Others: int(row.othersNow(now) + 0.5), Doubt: row.doubtNow(now), SinceAnswer: row.sinceAnswer(now)},
		row:       row,
		began:     now,
		tokens:    r.tokens(),
		prefill:   float64(chosen.Uncached),
		generates: true,
		adopted:   true,
	}
	if source := d.rows[chosen.Source]; source != nil && source.sound(now) {
		a.Source = source.Endpoint
	}
	if store := d.rows[chosen.Store]; store != nil && !store.Draining {
		a.Store = store.Endpoint
	}
	// Where only a confirmed endpoint was asked for, the chooser has heard from this one.
	if r.Arrivals > 0 && !r.OnlyConfirmed && !d.confirmed(now, row) {
		d.stray(now, a)
	}
	row.own++
	row.tokens += a.tokens
	row.prefill += a.prefill
	row.adopted.own++
	row.adopted.tokens += a.tokens
	row.adopted.prefill += a.prefill
	for _, part := range r.Shared {
		key := part.Name.KeyAt(a.Weights)
		if _, fresh := d.holders.note(now, now+a.Expected+ownReady, key, row); fresh {
			a.placed = append(a.placed, key)
		}
	}
	return a
}

// Placers notes how many other instances choose endpoints at the same time, each for
// an equal share of the requests: those that receive a choice at once, and those of
// other zones that receive it later.
func (d *Dispatcher) Placers(near, remote int) {
	d.placers, d.remotePlacers = float64(max(near, 0)), float64(max(remote, 0))
}
