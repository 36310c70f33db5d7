package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// firstService is the time of a plain call before any was measured, in
	// milliseconds.
	firstService = 50.0
	// learnPart is the weight of one measurement.
	learnPart = 0.15
	// minLearnTokens is the least prefill that says something of speed.
	minLearnTokens = 400
	// baseFirst is the part of the time to a first event that is not prefill, in
	// milliseconds: network, the step that is running and the first token.
	baseFirst = 15.0
	// loadKeep is the time constant with which what an endpoint said of its
	// load loses its worth. Requests last for about a second.
	loadKeep = time.Second
)

// row is what this instance knows of an endpoint.
type endpointRow struct {
	fleet.Endpoint
	// listed is the endpoint as the fleet's table had it last.
	listed fleet.Endpoint
	// hash is that of the identity, for the choice of homes.
	hash uint64
	// own counts attempts that have not ended, tokens their memory, prefill the
	// prompt tokens of those without a first event.
	own     int
	tokens  int
	prefill float64
	// adopted is the part of own that other instances have chosen and report.
	adopted adopted
	// reported is what other instances have here, and loadReportedAt when this one's own
	// load was last reported; dirty is set while a change is to be.
	reported       reported
	loadReportedAt tables.Instant
	dirty          bool
	// others is what instances that report nothing had at the endpoint at othersAt, by
	// the endpoint's answers, and waiting how many of it had not begun.
	others   float64
	waiting  float64
	othersAt tables.Instant
	// rate is the prefill speed in tokens a millisecond, service the mean time
	// of a plain call in milliseconds.
	rate    float64
	service float64
	// averages are those of the endpoint's service.
	averages *averages
	availability
	limit limit
	// linkFree is when the transfers that are known of have ended.
	linkFree tables.Instant
	// stamp is that of the last view in which the endpoint held some beginning of the
	// prompt, and has how many parts of it.
	stamp uint64
	has   int
	// gone is set once the endpoint is no longer listed.
	gone bool
	// store is set for a store of cached prompts, which takes no requests.
	store bool
}

// SetEndpoints takes over the endpoints that are known now. It costs little where few have
// changed: it is called at every change of any of them.
func (d *Dispatcher) SetEndpoints(endpoints map[tables.EndpointID]fleet.Endpoint) {
	regroup := false
	for id, r := range d.rows {
		if _, present := endpoints[id]; !present {
			r.gone = true
			delete(d.rows, id)
			regroup = true
		}
	}
	for id, e := range endpoints {
		if d.enter(id, e) {
			regroup = true
		}
	}
	if regroup {
		d.group()
	}
	d.populated = true
}

// group lists the rows of each service anew.
func (d *Dispatcher) group() {
	clear(d.services)
	d.stores = d.stores[:0]
	for _, r := range d.rows {
		if r.store {
			d.stores = append(d.stores, r)
			continue
		}
		d.services[r.Service] = append(d.services[r.Service], r)
	}
	for _, rows := range d.services {
		slices.SortFunc(rows, func(a, b *endpointRow) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// enter takes over an endpoint, and says whether that makes a new row.
func (d *Dispatcher) enter(id tables.EndpointID, e fleet.Endpoint) bool {
	known := d.rows[id]
	if known == nil || known.Born != e.Born || known.Address != e.Address || known.Service != e.Service {
		if known != nil {
			known.gone = true
		}
		d.rows[id] = &endpointRow{
			Endpoint: e, listed: e, store: e.Store, hash: xxhash.Sum64String(string(id)), service: firstService,
			averages: d.averagesOf(e.Service), rate: d.averagesOf(e.Service).rate(),
			availability: availability{probation: d.populated},
		}
		return true
	}
	if known.listed.Equal(&e) {
		return false
	}
	known.listed = e
	// What an answer has shown is newer than what the table says.
	shown := known.Weights
	known.probation = known.probation || known.Loading && !e.Loading
	if !maps.Equal(shown, e.Weights) {
		known.relisted()
	}
	known.Endpoint = e.Clone()
	for model, version := range shown {
		known.Weights[model] = max(known.Weights[model], version)
	}
	return false
}

func (r *endpointRow) loadAnswered(now tables.Instant, load dialect.EndpointLoad) {
	r.others = float64(max(0, load.Running+load.Waiting-r.own-r.reported.running))
	r.waiting = min(float64(load.Waiting), r.others)
	r.othersAt = now
}

// othersNow is the estimate of other instances' attempts.
func (r *endpointRow) othersNow(now tables.Instant) float64 {
	return float64(r.reported.running) + r.unreportedNow(now)
}

// unreportedNow is the estimate of those that nobody reports.
func (r *endpointRow) unreportedNow(now tables.Instant) float64 {
	if r.others == 0 {
		return 0
	}
	return r.others * decay(now-r.othersAt, loadKeep)
}

func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}

// learn takes in the time to a first event or answer.
func (r *endpointRow) learn(a *Attempt, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if !a.generates {
		r.service += learnPart * (ms - r.service)
		return
	}
	work := a.prefill + a.ahead
	if work < minLearnTokens {
		return
	}
	perToken := max(ms-baseFirst, 1) / work
	r.rate = 1 / (1/r.rate + learnPart*(perToken-1/r.rate))
	r.averages.measured(perToken)
}
