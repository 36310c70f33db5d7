package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Costs are in milliseconds of the caller's wait.
const (
	// crossZone is what leaving the zone costs beyond the way itself: bytes between
	// zones are paid for, and a zone that is cut off takes its requests along.
	crossZone = 30.0
	// copyCost is what another copy of a token costs: it pushes out what others will
	// ask for, which may then be read again.
	copyCost = 0.4 * rereadCost
	// rereadCost is what reading a token costs that was read before, beside the time
	// it takes: engines that read again what one of them knows cannot read what none
	// does.
	rereadCost = 0.6
	// waitCost is the cost of a millisecond of waiting, beside that of being late: it
	// keeps queues even.
	waitCost = 0.3
	// lateCost is what a late answer costs, for each millisecond of the caller's
	// target. evenLate is the expected wait, in targets, at which an answer is as often
	// late as not, and lateSteep how fast that turns.
	lateCost  = 6.0
	evenLate  = 1.3
	lateSteep = 3.0
	// doubtCost is the cost of one recent failure.
	doubtCost = 250.0
	// staleSoon is how long after newer weights were named it makes no
	// difference which a request begins on, and staleCost what it costs after.
	staleSoon = 1200 * time.Millisecond
	staleCost = 150.0
	// staleMargin is kept from the time at which older weights must not begin
	// any more.
	staleMargin = 1500 * time.Millisecond
	// memoryPart is the part of an engine's memory that is filled on purpose;
	// beyond it running requests push each other out.
	memoryPart = 0.95
	// homeDoubt is the doubt above which an endpoint is nobody's home, and
	// sourceDoubt that above which nothing is fetched from it: a dead source
	// costs some tenths of a second.
	homeDoubt   = 2.0
	sourceDoubt = 0.5
	// spreadCost tells equals apart.
	spreadCost = 6.0
)

// candidate is an endpoint with what it would cost.
type candidate struct {
	row  *endpointRow
	cost float64
	// wait is the part of the cost that the caller would wait.
	wait     float64
	uncached float64
	// source most likely holds shared parts that the endpoint does not.
	source *endpointRow
	// fetched counts the tokens to be had from there, and home is set for the
	// home of a part that nobody has read.
	fetched int
	home    bool
	// transfer is how long the fetch holds the endpoint's link, in milliseconds.
	transfer float64
	// again counts tokens that would be read though another request is reading
	// them just now, and readyAt is when they can be had.
	again   int
	readyAt tables.Instant
}

// Place chooses an endpoint and counts the attempt there. It returns nil and
// the reason if there is none now.
func (d *Dispatcher) Place(now tables.Instant, r *Request) (*Attempt, RejectReason) {
	rows := d.services[r.Service.Name]
	if r.Service.CacheTokens > 0 && r.tokens() > r.Service.CacheTokens {
		return nil, TooLarge
	}
	d.picks++
	d.demand.noteOnce(now, r)
	d.views = d.views[:0]
	best, reason := d.best(now, r, rows, r.DeliveredAttempts > 0)
	if best.row == nil && r.DeliveredAttempts > 0 && d.straysAllowed(now, r) {
		best, reason = d.best(now, r, rows, false)
	}
	if best.row == nil {
		return nil, reason
	}
	if r.worthHolding(now, &best) {
		return nil, PrefillPending
	}
	if left := float64(r.Deadline-now) / float64(time.Millisecond); best.wait > left {
		return nil, DeadlineTooSoon
	}
	return d.begin(now, r, best), ""
}

// best is the endpoint that costs least, of those that are confirmed if only these may be
// chosen.
func (d *Dispatcher) best(now tables.Instant, r *Request, rows []*endpointRow, onlyConfirmed bool) (candidate, RejectReason) {
	best, reason := candidate{cost: math.Inf(1)}, NoEndpoint
	for _, row := range rows {
		if r.tried(row.ID) || !d.usable(now, r, row) || onlyConfirmed && !d.confirmed(now, row) {
			continue
		}
		if !d.hasRoom(now, r, row) {
			reason = NoCapacity
			continue
		}
		c := d.weigh(now, r, row, rows)
		if c.cost < best.cost {
			best = c
		}
	}
	return best, reason
}

// worthHolding says whether the request had better wait for a part of its prompt
// that another request is reading at this moment: an engine does not share it
// before it is read, and reads it twice. It had if that costs less than the other
// reading, be its own answer late.
func (r *Request) worthHolding(now tables.Instant, c *candidate) bool {
	if c.again == 0 || c.readyAt > r.PrefillWaitUntil || c.readyAt <= now {
		return false
	}
	held := milliseconds(c.readyAt - now)
	reading := float64(c.again) / c.row.rate
	later := r.lateness(now, held+max(0, c.wait-reading)) - r.lateness(now, c.wait)
	return later < rereadCost*float64(c.again)
}

// usable says whether the endpoint may get the request at all.
func (d *Dispatcher) usable(now tables.Instant, r *Request, row *endpointRow) bool {
	if !row.takes(now) || row.onTrial() {
		return false
	}
	if r.Model == "" {
		return true
	}
	version, serves := row.Weights[r.Model]
	return serves && !row.Loading && d.inTime(now, r.Model, version)
}

// takes says whether the endpoint is there for new requests.
func (r *endpointRow) takes(now tables.Instant) bool {
	return !r.Draining && r.availability.takes(now)
}

// inTime says whether requests may still begin on a version of a model.
func (d *Dispatcher) inTime(now tables.Instant, model string, version uint64) bool {
	since, outdated := d.weights.OutdatedSince(model, version)
	limit := d.options.StaleWeightsTimeout
	return !outdated || limit == 0 || now-since < limit-staleMargin
}

func (d *Dispatcher) hasRoom(now tables.Instant, r *Request, row *endpointRow) bool {
	if row.limit.full(now) {
		return false
	}
	if r.Service.Slots == 0 {
		return true
	}
	others := row.othersNow(now)
	if float64(row.own)+others >= float64(r.Service.Slots) {
		return false
	}
	used := float64(row.tokens+row.reported.tokens) + row.unreportedNow(now)*row.averages.tokens + float64(r.tokens())
	return row.own == 0 || used <= memoryPart*float64(r.Service.CacheTokens)
}

// weigh gives the cost of an endpoint.
func (d *Dispatcher) weigh(now tables.Instant, r *Request, row *endpointRow, rows []*endpointRow) candidate {
	c := candidate{row: row}
	if r.Model == "" {
		load := float64(row.own) + row.othersNow(now)
		c.wait = row.service * (1 + load/float64(max(row.Slots, 1)))
		c.cost = c.wait
	} else {
		d.weighGeneration(now, r, &c, d.viewOf(now, r, row.Weights[r.Model], rows))
	}
	if row.Zone != d.options.Zone {
		c.cost += crossZone
	}
	c.cost += doubtCost * row.doubtNow(now)
	c.cost += d.spread(row)
	return c
}

// spread is a small cost that differs between instances and requests, so that
// not all of them take the same endpoint of several equal ones.
func (d *Dispatcher) spread(row *endpointRow) float64 {
	hash := placement.Mix(row.hash ^ d.options.Seed ^ d.picks*0x9e3779b97f4a7c15)
	return spreadCost * float64(hash>>40) / (1 << 24)
}

// viewOf returns the view of a version, looked up once for each request.
func (d *Dispatcher) viewOf(now tables.Instant, r *Request, version uint64, rows []*endpointRow) *view {
	for i := range d.views {
		if d.views[i].version == version {
			return &d.views[i]
		}
	}
	d.views = append(d.views, d.view(now, r, version, rows))
	return &d.views[len(d.views)-1]
}

// weighGeneration adds up the prefill before a generation and its own, what has
// to be fetched, and what is read though it was read before.
func (d *Dispatcher) weighGeneration(now tables.Instant, r *Request, c *candidate, v *view) {
	has := v.at(c.row)
	source, until := v.sourceFor(now, c.row, has)
	own, got := r.sharedUntil(has), r.sharedUntil(until)
	c.source, c.fetched, c.home = source, got-own, v.home == c.row
	if source != nil {
		c.transfer = r.transferTime(source, c.row) * float64(c.fetched)
		c.wait = milliseconds(c.row.linkBusy(now)) + c.transfer
	}
	c.uncached = float64(r.PromptTokens - got)
	c.wait += baseFirst + (c.row.ahead(now)+c.uncached)/c.row.rate
	c.cost = r.lateness(now, c.wait) + copyCost*float64(got-own) + d.stale(now, r, c.row)
	if again := max(0, v.held-got); again > 0 {
		c.again, c.readyAt = again, v.readyAt
		c.cost += rereadCost * float64(again)
	}
	if v.home != nil && c.row != v.home {
		c.cost += rereadCost * v.stray * float64(r.sharedTokens()-max(v.held, got))
	}
}

// lateness is what an expected wait from now on costs: next to nothing as long as the answer
// will most likely come in time, and no more than a late answer where it will not. A
// cost that goes on growing with each millisecond sends requests which are late
// anyway to where they push out what others need.
func (r *Request) lateness(now tables.Instant, wait float64) float64 {
	target := milliseconds(r.Route.Target)
	if target <= 0 {
		return wait
	}
	odds := math.Pow((r.waited(now)+wait)/(evenLate*target), lateSteep)
	return waitCost*wait + lateCost*target*odds/(1+odds)
}

// waited is how long the caller has waited, in milliseconds.
func (r *Request) waited(now tables.Instant) float64 {
	if r.ArrivedAt == 0 {
		return 0
	}
	return milliseconds(max(0, now-r.ArrivedAt))
}

// ahead is the prefill before a new request, in tokens.
func (r *endpointRow) ahead(now tables.Instant) float64 {
	known := r.prefill + float64(r.reported.prefill)
	if r.waiting == 0 {
		return known
	}
	return known + r.waiting*decay(now-r.othersAt, loadKeep)*r.averages.prefill
}

func (d *Dispatcher) stale(now tables.Instant, r *Request, row *endpointRow) float64 {
	since, outdated := d.weights.OutdatedSince(r.Model, row.Weights[r.Model])
	if !outdated || now-since < staleSoon {
		return 0
	}
	return staleCost
}

// begin counts the attempt.
func (d *Dispatcher) begin(now tables.Instant, r *Request, c candidate) *Attempt {
	a := &Attempt{
		Endpoint:        c.row.Endpoint,
		ExpectedLatency: time.Duration(c.wait * float64(time.Millisecond)),
		UncachedTokens:  int(c.uncached),
		Rationale:       known(now, r, &c),
		row:             c.row,
		began:           now,
		tokens:          r.tokens(),
		prefill:         c.uncached,
		ahead:           c.row.ahead(now),
		generates:       r.Model != "",
	}
	if a.generates {
		c.row.averages.placed(a.tokens, a.prefill)
		a.WeightsVersion = c.row.Weights[r.Model]
	}
	if c.source != nil {
		a.CacheSource = c.source.Endpoint
		d.transfer(now, c.row, c.transfer)
	}
	if c.row.probation {
		a.trial = true
		c.row.trials++
	}
	if r.DeliveredAttempts > 0 && !r.Remote && !d.confirmed(now, c.row) {
		d.stray(now, a)
	}
	d.changed(c.row)
	c.row.own++
	c.row.tokens += a.tokens
	c.row.prefill += a.prefill
	d.place(now, r, a)
	d.keep(now, r, a, r.PromptTokens-int(c.uncached))
	return a
}
