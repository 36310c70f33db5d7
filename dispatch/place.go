package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Costs are in milliseconds of the caller's wait.
const (
	// crossZoneCost is what leaving the zone costs beyond the way itself: bytes between
	// zones are paid for, and a zone that is cut off takes its requests along.
	crossZoneCost = 30.0
	// copyCost is what another copy of a token costs: it pushes out what others will
	// ask for, which may then be read again.
	copyCost = 0.4 * recomputeCost
	// recomputeCost is what reading a token costs that was read before, beside the time
	// it takes: engines that read again what one of them knows cannot read what none
	// does.
	recomputeCost = 0.6
	// waitCost is the cost of a millisecond of waiting, beside that of being late: it
	// keeps queues even.
	waitCost = 0.3
	// lateCost is what a late answer costs, for each millisecond of the caller's
	// target. evenLate is the expected wait, in targets, at which an answer is as often
	// late as not, and lateSteep how fast that turns.
	lateCost      = 6.0
	lateMidpoint  = 1.3
	lateSteepness = 3.0
	// failureCost is the cost of one recent failure.
	failureCost = 250.0
	// staleGrace is how long after newer weights were named it makes no
	// difference which a request begins on, and staleCost what it costs after.
	staleGrace = 1200 * time.Millisecond
	staleCost  = 150.0
	// staleMargin is kept from the time at which older weights must not begin
	// any more.
	staleMargin = 1500 * time.Millisecond
	// maxMemoryFraction is the part of an engine's memory that is filled on purpose;
	// beyond it running requests push each other out.
	maxMemoryFraction = 0.95
	// maxHomeFailureScore is the doubt above which an endpoint is nobody's home, and
	// sourceDoubt that above which nothing is fetched from it: a dead source
	// costs some tenths of a second.
	maxHomeFailureScore   = 2.0
	maxSourceFailureScore = 0.5
	// tieBreakCost tells equals apart.
	tieBreakCost = 6.0
)

// candidate is an endpoint with what it would cost.
type candidate struct {
	row  *endpointRow
	cost float64
	// wait is the part of the cost that the caller would wait.
	wait           float64
	uncachedTokens float64
	// source most likely holds shared parts that the endpoint does not.
	source *endpointRow
	// fetchedTokens counts the tokens to be had from there, and home is set for the
	// home of a part that nobody has read.
	fetchedTokens int
	isHome        bool
	// transfer is how long the fetch holds the endpoint's link, in milliseconds.
	transfer float64
	// recomputedTokens counts tokens that would be read though another request is reading
	// them just now, and readyAt is when they can be had.
	recomputedTokens int
	readyAt          tables.Instant
}

// Place chooses an endpoint and counts the attempt there. It returns nil and
// the reason if there is none now.
func (d *Dispatcher) Place(now tables.Instant, r *Request) (*Attempt, RejectReason) {
	rows := d.services[r.Service.Name]
	if r.Service.CacheTokens > 0 && r.memoryTokens() > r.Service.CacheTokens {
		return nil, TooLarge
	}
	d.decisions++
	d.demand.recordOnce(now, r)
	d.views = d.views[:0]
	best, reason := d.cheapest(now, r, rows, r.DeliveredAttempts > 0)
	if best.row == nil && r.DeliveredAttempts > 0 && d.mayRetryUnconfirmed(now, r) {
		best, reason = d.cheapest(now, r, rows, false)
	}
	if best.row == nil {
		return nil, reason
	}
	if r.shouldAwaitPrefill(now, &best) {
		return nil, PrefillPending
	}
	if left := float64(r.Deadline-now) / float64(time.Millisecond); best.wait > left {
		return nil, DeadlineTooSoon
	}
	return d.startAttempt(now, r, best), ""
}

// cheapest is the endpoint that costs least, of those that are confirmed if only these may be
// chosen.
func (d *Dispatcher) cheapest(now tables.Instant, r *Request, rows []*endpointRow, onlyConfirmed bool) (candidate, RejectReason) {
	best, reason := candidate{cost: math.Inf(1)}, NoEndpoint
	for _, row := range rows {
		if r.hasTried(row.ID) || !d.isEligible(now, r, row) || onlyConfirmed && !d.addressConfirmed(now, row) {
			continue
		}
		if !d.hasCapacity(now, r, row) {
			reason = NoCapacity
			continue
		}
		c := d.evaluate(now, r, row, rows)
		if c.cost < best.cost {
			best = c
		}
	}
	return best, reason
}

// shouldAwaitPrefill says whether the request had better wait for a part of its prompt
// that another request is reading at this moment: an engine does not share it
// before it is read, and reads it twice. It had if that costs less than the other
// reading, be its own answer late.
func (r *Request) shouldAwaitPrefill(now tables.Instant, c *candidate) bool {
	if c.recomputedTokens == 0 || c.readyAt > r.PrefillWaitUntil || c.readyAt <= now {
		return false
	}
	delay := milliseconds(c.readyAt - now)
	prefill := float64(c.recomputedTokens) / c.row.prefillRate
	addedLateness := r.latenessCost(now, delay+max(0, c.wait-prefill)) - r.latenessCost(now, c.wait)
	return addedLateness < recomputeCost*float64(c.recomputedTokens)
}

// isEligible says whether the endpoint may get the request at all.
func (d *Dispatcher) isEligible(now tables.Instant, r *Request, row *endpointRow) bool {
	if !row.acceptsRequests(now) || row.isBeingProbed() {
		return false
	}
	if r.Model == "" {
		return true
	}
	version, serves := row.Weights[r.Model]
	return serves && !row.Loading && d.versionAllowed(now, r.Model, version)
}

// acceptsRequests says whether the endpoint is there for new requests.
func (r *endpointRow) acceptsRequests(now tables.Instant) bool {
	return !r.Draining && r.availability.available(now)
}

// versionAllowed says whether requests may still begin on a version of a model.
func (d *Dispatcher) versionAllowed(now tables.Instant, model string, version uint64) bool {
	since, outdated := d.weights.OutdatedSince(model, version)
	limit := d.options.StaleWeightsTimeout
	return !outdated || limit == 0 || now-since < limit-staleMargin
}

func (d *Dispatcher) hasCapacity(now tables.Instant, r *Request, row *endpointRow) bool {
	if row.limit.exhausted(now) {
		return false
	}
	if r.Service.Slots == 0 {
		return true
	}
	others := row.otherAttempts(now)
	if float64(row.attempts)+others >= float64(r.Service.Slots) {
		return false
	}
	used := float64(row.memoryTokens+row.reported.memoryTokens) + row.unreportedAttempts(now)*row.averages.memoryTokens + float64(r.memoryTokens())
	return row.attempts == 0 || used <= maxMemoryFraction*float64(r.Service.CacheTokens)
}

// evaluate gives the cost of an endpoint.
func (d *Dispatcher) evaluate(now tables.Instant, r *Request, row *endpointRow, rows []*endpointRow) candidate {
	c := candidate{row: row}
	if r.Model == "" {
		load := float64(row.attempts) + row.otherAttempts(now)
		c.wait = row.serviceTime * (1 + load/float64(max(row.Slots, 1)))
		c.cost = c.wait
	} else {
		d.evaluateGeneration(now, r, &c, d.viewOf(now, r, row.Weights[r.Model], rows))
	}
	if row.Zone != d.options.Zone {
		c.cost += crossZoneCost
	}
	c.cost += failureCost * row.currentFailureScore(now)
	c.cost += d.tieBreaker(row)
	return c
}

// tieBreaker is a small cost that differs between instances and requests, so that
// not all of them take the same endpoint of several equal ones.
func (d *Dispatcher) tieBreaker(row *endpointRow) float64 {
	hash := placement.Mix(row.hash ^ d.options.Seed ^ d.decisions*0x9e3779b97f4a7c15)
	return tieBreakCost * float64(hash>>40) / (1 << 24)
}

// viewOf returns the view of a version, looked up once for each request.
func (d *Dispatcher) viewOf(now tables.Instant, r *Request, version uint64, rows []*endpointRow) *promptView {
	for i := range d.views {
		if d.views[i].version == version {
			return &d.views[i]
		}
	}
	d.views = append(d.views, d.newView(now, r, version, rows))
	return &d.views[len(d.views)-1]
}

// evaluateGeneration adds up the prefill before a generation and its own, what has
// to be fetched, and what is read though it was read before.
func (d *Dispatcher) evaluateGeneration(now tables.Instant, r *Request, c *candidate, v *promptView) {
	cached := v.cachedParts(c.row)
	source, endPart := v.sourceFor(now, c.row, cached)
	cachedTokens, availableTokens := r.sharedPrefixTokens(cached), r.sharedPrefixTokens(endPart)
	c.source, c.fetchedTokens, c.isHome = source, availableTokens-cachedTokens, v.home == c.row
	if source != nil {
		c.transfer = r.transferTime(source, c.row) * float64(c.fetchedTokens)
		c.wait = milliseconds(c.row.linkBusyFor(now)) + c.transfer
	}
	c.uncachedTokens = float64(r.PromptTokens - availableTokens)
	c.wait += baseFirstEventTime + (c.row.queuedPrefill(now)+c.uncachedTokens)/c.row.prefillRate
	c.cost = r.latenessCost(now, c.wait) + copyCost*float64(availableTokens-cachedTokens) + d.staleWeightsCost(now, r, c.row)
	if recomputed := max(0, v.heldTokens-availableTokens); recomputed > 0 {
		c.recomputedTokens, c.readyAt = recomputed, v.readyAt
		c.cost += recomputeCost * float64(recomputed)
	}
	if v.home != nil && c.row != v.home {
		c.cost += recomputeCost * v.collision * float64(r.sharedTokens()-max(v.heldTokens, availableTokens))
	}
}

// latenessCost is what an expected wait from now on costs: next to nothing as long as the answer
// will most likely come in time, and no more than a late answer where it will not. A
// cost that goes on growing with each millisecond sends requests which are late
// anyway to where they push out what others need.
func (r *Request) latenessCost(now tables.Instant, wait float64) float64 {
	target := milliseconds(r.Route.Target)
	if target <= 0 {
		return wait
	}
	odds := math.Pow((r.waited(now)+wait)/(lateMidpoint*target), lateSteepness)
	return waitCost*wait + lateCost*target*odds/(1+odds)
}

// waited is how long the caller has waited, in milliseconds.
func (r *Request) waited(now tables.Instant) float64 {
	if r.ArrivedAt == 0 {
		return 0
	}
	return milliseconds(max(0, now-r.ArrivedAt))
}

// queuedPrefill is the prefill before a new request, in tokens.
func (r *endpointRow) queuedPrefill(now tables.Instant) float64 {
	known := r.prefillTokens + float64(r.reported.prefillTokens)
	if r.unreportedQueued == 0 {
		return known
	}
	return known + r.unreportedQueued*decay(now-r.unreportedAt, loadDecay)*r.averages.prefillTokens
}

func (d *Dispatcher) staleWeightsCost(now tables.Instant, r *Request, row *endpointRow) float64 {
	since, outdated := d.weights.OutdatedSince(r.Model, row.Weights[r.Model])
	if !outdated || now-since < staleGrace {
		return 0
	}
	return staleCost
}

// startAttempt counts the attempt.
func (d *Dispatcher) startAttempt(now tables.Instant, r *Request, c candidate) *Attempt {
	a := &Attempt{
		Endpoint:        c.row.Endpoint,
		ExpectedLatency: time.Duration(c.wait * float64(time.Millisecond)),
		UncachedTokens:  int(c.uncachedTokens),
		Rationale:       rationaleOf(now, r, &c),
		row:             c.row,
		startedAt:       now,
		memoryTokens:    r.memoryTokens(),
		prefillTokens:   c.uncachedTokens,
		queuedPrefill:   c.row.queuedPrefill(now),
		isGeneration:    r.Model != "",
	}
	if a.isGeneration {
		c.row.averages.addRequest(a.memoryTokens, a.prefillTokens)
		a.WeightsVersion = c.row.Weights[r.Model]
	}
	if c.source != nil {
		a.CacheSource = c.source.Endpoint
		d.reserveLink(now, c.row, c.transfer)
	}
	if c.row.halfOpen {
		a.isProbe = true
		c.row.probes++
	}
	if r.DeliveredAttempts > 0 && !r.Remote && !d.addressConfirmed(now, c.row) {
		d.countUnconfirmed(now, a)
	}
	d.markDirty(c.row)
	c.row.attempts++
	c.row.memoryTokens += a.memoryTokens
	c.row.prefillTokens += a.prefillTokens
	d.recordPlacement(now, r, a)
	d.assignStore(now, r, a, r.PromptTokens-int(c.uncachedTokens))
	return a
}
