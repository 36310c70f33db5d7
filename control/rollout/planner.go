// Package rollout brings the engines of a forwarding deployment to the weights
// that are wanted. One control instance at a time gives orders, under a lease.
// What to do next is decided by Plan, which is pure; Runner carries it out.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Strategy says what becomes of the requests that run at an engine when its
// weights change.
type Strategy uint8

// The strategies.
const (
	// DrainRequests lets running requests finish first; new ones are declined.
	DrainRequests Strategy = iota
	// AbortRequests breaks running requests off.
	AbortRequests
	// RetainRequests goes on with running requests under the new weights.
	RetainRequests
)

// Report is what an engine says of itself, as of a moment ago.
type Report struct {
	// Sequence counts the orders that this life of the engine has accepted, and
	// Busy is set while one is being carried out.
	Sequence uint64
	Busy     bool
	Weights  map[string]uint64
	Running  int
	Queued   int
	Born     int64
}

// Order has an engine load a version of a model's weights.
type Order struct {
	Model    string
	Version  uint64
	Strategy Strategy
	Holder   string
	Fence    tables.FencingToken
	// Sequence is the one that the engine must have; with any other it takes the
	// order for outdated.
	Sequence uint64
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

// The answers. Zero stands for none: the order may have been taken, or may be
// carried out later.
const (
	// Accepted: it is being carried out.
	Accepted OrderResult = iota + 1
	// AlreadyServing: the engine serves that version already.
	AlreadyServing
	// Conflict: another order is being carried out, or the sequence differs.
	Conflict
	// Fenced: the engine has seen a higher fencing number.
	Fenced
	// Rejected for any other reason.
	Rejected
)

const (
	// askAfterOrder is when an engine is first asked how an order goes: loading
	// takes 0.4 s at least.
	askAfterOrder = 350 * time.Millisecond
	// askPeriod is the time between two questions. Each is paid for.
	askPeriod = 150 * time.Millisecond
	// askAfterSilence is when an engine is asked that gave no answer.
	askAfterSilence = 400 * time.Millisecond
	// reportLag is how old a report may be. One that shows nothing of an
	// accepted order says that it is over only if it is younger.
	reportLag = 700 * time.Millisecond
	// closeFor is how long an engine gets no new requests before its order comes.
	// What waits there when it comes is declined and has to begin anew elsewhere.
	closeFor = 150 * time.Millisecond
	// settleFor is how long an order is believed in that was accepted and does
	// not show. Engines finish running requests first.
	settleFor = 6 * time.Second
	// loadDivisor makes the number of engines that load at once out of the
	// number of engines: more than about a fifth make each load slower where weights come
	// from one place, and requests have to go somewhere meanwhile.
	loadDivisor = 5
	minAtOnce   = 2
)

// phase is where an engine stands.
type phase uint8

const (
	// idle: nothing is known to go on.
	idle phase = iota
	// closing: the other instances send nothing new, so that what waits there is
	// read before the order comes.
	closing
	// ordering: an order was sent and not answered yet.
	ordering
	// loading: an order was accepted, or may have been.
	loading
)

type engineRow struct {
	fleet.Endpoint
	phase phase
	// model and version are what the newest order was about.
	model   string
	version uint64
	// sequence is valid if known is set.
	sequence uint64
	known    bool
	// asking is set while a question is under way; askAt is when the next is due.
	asking bool
	askAt  tables.Instant
	since  tables.Instant
	// ordered is the sequence that shows that the order was accepted.
	ordered uint64
	// silent is set while an order that got no answer has not been seen to be
	// carried out. Most such orders are lost, or wait for seconds; the engine goes
	// on serving its old weights, and declines requests if it does not.
	silent bool
}

// Planner decides whom to ask and whom to give orders. It is not safe for
// concurrent use.
type Planner struct {
	rows   map[tables.EndpointID]*engineRow
	wanted map[string]uint64
	// quiet is until when endpoints must get no orders.
	quiet map[tables.EndpointID]tables.Instant
	// MaxConcurrent overrides how many engines load at once; zero means by their number.
	MaxConcurrent int
}

// NewPlanner returns a plan that knows of no engine.
func NewPlanner() *Planner {
	return &Planner{
		rows: map[tables.EndpointID]*engineRow{}, wanted: map[string]uint64{}, quiet: map[tables.EndpointID]tables.Instant{},
	}
}

// DelayOrders keeps an endpoint from orders for a time.
func (p *Planner) DelayOrders(id tables.EndpointID, until tables.Instant) { p.quiet[id] = until }

// SetTarget notes the version that a model should be served with. It only grows.
func (p *Planner) SetTarget(model string, version uint64) {
	p.wanted[model] = max(p.wanted[model], version)
}

// UpdateEndpoints takes over the endpoints that are known now.
func (p *Planner) UpdateEndpoints(endpoints []fleet.Endpoint) {
	present := make(map[tables.EndpointID]bool, len(endpoints))
	for _, e := range endpoints {
		if len(e.Weights) == 0 {
			continue // a plain service
		}
		present[e.ID] = true
		known := p.rows[e.ID]
		if known == nil || known.Born != e.Born && e.Born != 0 {
			p.rows[e.ID] = &engineRow{Endpoint: e.Clone()}
			continue
		}
		weights := known.Weights
		known.Endpoint = e.Clone()
		for model, version := range weights {
			known.Weights[model] = max(known.Weights[model], version)
		}
	}
	for id := range p.rows {
		if !present[id] {
			delete(p.rows, id)
		}
	}
}

// Action is something to do at an engine: a question, or an order if Version is
// set.
type Action struct {
	Endpoint fleet.Endpoint
	Model    string
	Version  uint64
	Sequence uint64
}

// NextActions returns what to do now. Each action's end must be handed in by Reported
// or Ordered.
func (p *Planner) NextActions(now tables.Instant) []Action {
	if p.Converged() {
		return nil
	}
	rows := p.sorted()
	var actions []Action
	busy, closed := 0, 0
	for _, r := range rows {
		switch r.phase {
		case closing:
			closed++
		case ordering, loading:
			if !r.silent {
				busy++
			}
		}
		if p.wantsAsk(now, r) {
			r.asking = true
			actions = append(actions, Action{Endpoint: r.Endpoint})
		}
	}
	room := p.atOnce() - busy
	for _, r := range rows {
		if r.phase == closing && room > 0 && now-r.since >= closeFor {
			room--
			closed--
			actions = append(actions, p.order(now, r))
		}
	}
	for _, r := range rows {
		_, version := p.missing(r)
		if closed >= p.atOnce()/2 || version == 0 || r.phase != idle || !r.known || r.asking || r.Draining || now < p.quiet[r.ID] {
			continue
		}
		closed++
		r.phase, r.since = closing, now
	}
	return actions
}

// order gives an engine the order that is due now.
func (p *Planner) order(now tables.Instant, r *engineRow) Action {
	model, version := p.missing(r)
	r.phase, r.model, r.version, r.since, r.silent = ordering, model, version, now, false
	r.ordered = r.sequence + 1
	return Action{Endpoint: r.Endpoint, Model: model, Version: version, Sequence: r.sequence}
}

func (p *Planner) wantsAsk(now tables.Instant, r *engineRow) bool {
	if r.asking || now < r.askAt {
		return false
	}
	if r.phase == loading {
		return true
	}
	_, version := p.missing(r)
	return r.phase == idle && version != 0 && !r.known && !r.Draining
}

// missing returns a model that the engine serves in an older version, and the
// version that it should have; 0 for none.
func (p *Planner) missing(r *engineRow) (string, uint64) {
	best := ""
	for model, version := range r.Weights {
		if version < p.wanted[model] && (best == "" || model < best) {
			best = model
		}
	}
	return best, p.wanted[best]
}

// sorted orders the engines by how old their weights are, and among equals so
// that zones take turns: no zone loses all its engines at once. Without the
// first, engines that were brought up to date first would be so again when the
// next version is named meanwhile, and the last ones never.
func (p *Planner) sorted() []*engineRow {
	rows := make([]*engineRow, 0, len(p.rows))
	for _, r := range p.rows {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b *engineRow) int { return cmp.Compare(a.ID, b.ID) })
	place := make(map[tables.EndpointID]int, len(rows))
	count := map[tables.Zone]int{}
	for _, r := range rows {
		place[r.ID] = count[r.Zone]
		count[r.Zone]++
	}
	slices.SortStableFunc(rows, func(a, b *engineRow) int {
		return cmp.Or(cmp.Compare(oldest(a), oldest(b)), cmp.Compare(place[a.ID], place[b.ID]))
	})
	return rows
}

// oldest is the lowest version that an engine serves of any model.
func oldest(r *engineRow) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, version := range r.Weights {
		lowest = min(lowest, version)
	}
	return lowest
}

func (p *Planner) atOnce() int {
	if p.MaxConcurrent > 0 {
		return p.MaxConcurrent
	}
	return max(minAtOnce, (len(p.rows)+loadDivisor-1)/loadDivisor)
}

// HandleReport takes an engine's report, or nil if it gave none. It says whether an
// order is done.
func (p *Planner) HandleReport(now tables.Instant, id tables.EndpointID, report *Report) bool {
	r := p.rows[id]
	if r == nil {
		return false
	}
	r.asking = false
	if report == nil {
		r.askAt = now + askAfterSilence
		p.expire(now, r)
		return false
	}
	for model, version := range report.Weights {
		r.Weights[model] = max(r.Weights[model], version)
	}
	r.askAt = now + askPeriod
	switch {
	case r.phase == loading && r.Weights[r.model] >= r.version && !report.Busy:
		r.phase, r.known = idle, true
		r.sequence = max(report.Sequence, r.ordered)
		return true
	case r.phase == loading && report.Busy:
		r.since, r.silent = now, false
	case r.phase == loading && report.Sequence < r.ordered && now-r.since > reportLag:
		// The order was lost, or waits to be carried out late. The same sequence
		// is asked for again: whichever comes first makes the other outdated.
		r.phase, r.known, r.sequence = idle, true, report.Sequence
	case r.phase == idle:
		r.known = !report.Busy
		r.sequence = report.Sequence
	default:
		p.expire(now, r)
	}
	return false
}

func (p *Planner) expire(now tables.Instant, r *engineRow) {
	if r.phase == loading && now-r.since > settleFor {
		r.phase, r.known = idle, false
	}
}

// HandleOrderResult takes an engine's answer to an order; zero for none.
func (p *Planner) HandleOrderResult(now tables.Instant, id tables.EndpointID, taken OrderResult) {
	r := p.rows[id]
	if r == nil || r.phase != ordering {
		return
	}
	switch taken {
	case Accepted:
		r.phase, r.since, r.askAt = loading, now, now+askAfterOrder
	case AlreadyServing:
		r.phase = idle
		r.Weights[r.model] = max(r.Weights[r.model], r.version)
	case Conflict, Rejected, Fenced:
		r.phase, r.known, r.askAt = idle, false, now+askPeriod
	default:
		// The time counts from when the order was sent: a report that is younger
		// and shows nothing of it says that it was lost, or waits.
		r.phase, r.askAt, r.silent = loading, now+askPeriod, true
	}
}

// Converged says whether every engine that can be had serves what is wanted.
func (p *Planner) Converged() bool {
	for _, r := range p.rows {
		if _, version := p.missing(r); version != 0 && !r.Draining || r.phase != idle {
			return false
		}
	}
	return true
}

// Updating says whether an engine gets an order or carries one out, as far as is
// known.
func (p *Planner) Updating(id tables.EndpointID) bool {
	r := p.rows[id]
	return r != nil && r.phase != idle && !r.silent
}

// Cordoned lists the engines that get an order soon.
func (p *Planner) Cordoned() []tables.EndpointID {
	var ids []tables.EndpointID
	for id, r := range p.rows {
		if r.phase == closing {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
