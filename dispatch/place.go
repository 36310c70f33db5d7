package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Costs are in milliseconds of the client's wait.
const (
	// crossZoneCost is the cost of leaving the zone, in addition to the latency: traffic
	// between zones is billed, and a partition of the other zone takes the request with
	// it.
	crossZoneCost = 30.0
	// copyCost is the cost per token of storing another copy of a part: it evicts parts
	// that others will request, which may then have to be recomputed.
	copyCost = 0.4 * recomputeCost
	// recomputeCost is the cost per token of recomputing what another engine holds, in
	// addition to the time it takes: engines busy with recomputation cannot compute new
	// parts.
	recomputeCost = 0.6
	// waitCost is the cost of a millisecond of waiting, in addition to that of missing
	// the target. It keeps the queues balanced.
	waitCost = 0.3
	// lateCost is the cost of a late answer, for each millisecond of the route's latency
	// target. lateMidpoint is the expected wait, as a multiple of the target, at which an
	// answer is late with probability one half, and lateSteepness the exponent of the
	// log-logistic curve around it.
	lateCost      = 6.0
	lateMidpoint  = 1.3
	lateSteepness = 3.0
	// failureCost is the cost of one recent failure.
	failureCost = 250.0
	// maxMemoryFraction is the fraction of an engine's memory that placement may fill;
	// beyond it running requests preempt each other.
	maxMemoryFraction = 0.95
	// maxHomeFailureScore is the failure score above which an endpoint is excluded from
	// rendezvous hashing, and maxSourceFailureScore the one from which nothing is fetched
	// from it: a fetch from a dead source costs some tenths of a second.
	maxHomeFailureScore   = 2.0
	maxSourceFailureScore = 0.5
	// tieBreakCost is the largest pseudorandom cost by which ties are broken.
	tieBreakCost = 6.0
)

// candidate is an endpoint with the estimated cost of running a request there.
type candidate struct {
	row  *endpointRow
	path path
	cost float64
	// wait is the expected time to the first event, in milliseconds.
	wait           float64
	uncachedTokens float64
	// source is the endpoint or store that most likely holds shared parts which this
	// endpoint lacks.
	source *endpointRow
	// fetchedTokens counts the tokens that can be fetched from source. isHome is set if
	// the endpoint is the home of the first part that no endpoint holds.
	fetchedTokens int
	isHome        bool
	// transfer is how long the fetch occupies the endpoint's link, in milliseconds.
	transfer float64
	// recomputedTokens counts the tokens that the endpoint would compute although another
	// one holds or is computing them, and readyAt is when all of them can be reused.
	recomputedTokens int
	readyAt          tables.Instant
	// beginsTooLate is set if the endpoint's weights may no longer be used when the request is
	// expected to begin.
	beginsTooLate bool
}

// expectedLatency returns the expected time to the first event.
func (c *candidate) expectedLatency() time.Duration {
	return time.Duration(c.wait * float64(time.Millisecond))
}

// Place chooses the cheapest endpoint for a request and counts the attempt as load there.
// If the request cannot be placed now it returns nil and the reason.
func (d *Dispatcher) Place(now tables.Instant, r *Request) (*Attempt, RejectReason) {
	rows := d.services[r.Service.Name]
	if r.Service.KVCapacityTokens > 0 && r.memoryTokens() > r.Service.KVCapacityTokens {
		return nil, TooLarge
	}
	d.decisions++
	d.demand.recordOnce(now, r)
	d.views = d.views[:0]
	r.SaturatedFor = 0
	best, reason := d.cheapest(now, r, rows, r.ownPath())
	if best.row == nil && d.shouldRelay(now, r, rows, reason) {
		best, reason = d.cheapest(now, r, rows, relayed)
	}
	if best.row == nil {
		return nil, r.orSaturated(reason)
	}
	if r.shouldAwaitPrefill(now, &best) {
		return nil, PrefillPending
	}
	if left := float64(r.Deadline-now) / float64(time.Millisecond); best.wait > left {
		return nil, DeadlineTooSoon
	}
	return d.startAttempt(now, r, best), ""
}

// ownPath returns the path of the request without relays.
func (r *Request) ownPath() path {
	if r.Remote {
		return remote
	}
	return direct
}

// cheapest returns the endpoint with the lowest cost that is eligible over the path. A retry
// goes to a confirmed endpoint if it can, and waits for the queue of one.
func (d *Dispatcher) cheapest(now tables.Instant, r *Request, rows []*endpointRow, p path) (candidate, RejectReason) {
	best, reason := d.cheapestAmong(now, r, rows, p, r.DeliveredAttempts > 0)
	if best.row == nil && r.DeliveredAttempts > 0 && reason != Saturated && d.mayRetryUnconfirmed(now, r) {
		best, reason = d.cheapestAmong(now, r, rows, p, false)
	}
	return best, reason
}

// cheapestAmong returns the cheapest endpoint, among confirmed endpoints only if onlyConfirmed
// is set, and among those whose queue the request may join.
func (d *Dispatcher) cheapestAmong(now tables.Instant, r *Request, rows []*endpointRow, p path, onlyConfirmed bool) (candidate, RejectReason) {
	best, reason := candidate{cost: math.Inf(1), path: p}, NoEndpoint
	limit := d.queueLimit(now, r)
	evictions, lowest := d.countsEvictions(r), lowestCosts{}
	for _, row := range rows {
		if limit.passesOver(now, row) {
			continue
		}
		if r.excludes(row) || !d.isEligible(now, r, row, p) || onlyConfirmed && !d.addressConfirmed(now, row) {
			continue
		}
		if !d.hasCapacity(now, r, row) {
			reason = NoCapacity
			continue
		}
		c := d.evaluate(now, r, row, rows)
		switch {
		case c.beginsTooLate:
		case !limit.admits(now, &c):
		case evictions:
			lowest.add(&c)
		case c.cost < best.cost:
			best = c
			best.path = p
		}
	}
	if lowest.count > 0 {
		best = d.cheapestWithEvictions(now, r, rows, &lowest)
		best.path = p
	}
	return best, limit.reason(r, &best, reason)
}

// shouldAwaitPrefill reports whether the request should be held back until a part of its
// prompt that another request is computing can be reused. An engine shares a part only
// once it is computed; a request placed before that computes the part again. Waiting is
// preferred if its cost, even that of a late answer, is lower than the cost of the
// recomputation.
func (r *Request) shouldAwaitPrefill(now tables.Instant, c *candidate) bool {
	if c.recomputedTokens == 0 || c.readyAt > r.PrefillWaitUntil || c.readyAt <= now {
		return false
	}
	delay := milliseconds(c.readyAt - now)
	prefill := c.row.prefillTime(now, float64(c.recomputedTokens))
	addedLateness := r.latenessCost(now, delay+max(0, c.wait-prefill)) - r.latenessCost(now, c.wait)
	return addedLateness < recomputeCost*float64(c.recomputedTokens)
}

// isEligible reports whether the endpoint may run the request that comes over a path, apart from
// its capacity.
func (d *Dispatcher) isEligible(now tables.Instant, r *Request, row *endpointRow, p path) bool {
	if !row.acceptsRequests(now) || !row.reachableOver(now, p) || row.isBeingProbed(now) {
		return false
	}
	// A request of another instance names the endpoints that have pushed that instance back.
	if row.announced.pushedBack(now) && !r.Remote {
		return false
	}
	if r.Model == "" {
		return true
	}
	version, serves := row.Weights[r.Model]
	return serves && !row.Loading && d.mayBeginAt(now, r.Model, version)
}

// acceptsRequests reports whether the endpoint is neither draining nor unavailable, apart from
// the path to it.
func (r *endpointRow) acceptsRequests(now tables.Instant) bool {
	return !r.isLeaving() && r.accepting(now)
}

// isLeaving reports whether the endpoint is about to stop, by the platform's list or by
// its own announcement, which comes earlier.
func (r *endpointRow) isLeaving() bool { return r.Draining || r.announced.draining }

// hasCapacity reports whether the endpoint has a free slot, enough memory, and room in
// its rate limit. Memory is not checked while this instance has no attempt there.
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
	return row.attempts == 0 || used <= maxMemoryFraction*float64(r.Service.KVCapacityTokens)
}

// evaluate estimates the cost of running the request on an endpoint.
func (d *Dispatcher) evaluate(now tables.Instant, r *Request, row *endpointRow, rows []*endpointRow) candidate {
	c := candidate{row: row}
	if r.Model == "" {
		load := float64(row.attempts) + row.otherAttempts(now)
		c.wait = row.currentServiceTime(now) * (1 + load/float64(max(row.Slots, 1)))
		c.cost = c.wait
	} else {
		d.evaluateGeneration(now, r, &c, d.viewOf(now, r, row.Weights[r.Model], rows))
	}
	if row.Zone != d.options.Zone {
		c.cost += crossZoneCost
	}
	c.cost += failureCost * row.currentFailureScore(now)
	if row.announced.pushedBackAny(now) {
		c.cost += peerPushbackCost
	}
	c.cost += d.tieBreaker(row)
	return c
}

// tieBreaker returns a small pseudorandom cost that differs between instances and
// requests, so that they do not all choose the same one of several equal endpoints.
func (d *Dispatcher) tieBreaker(row *endpointRow) float64 {
	hash := placement.Mix64(row.hash ^ d.options.Seed ^ d.decisions*0x9e3779b97f4a7c15)
	return tieBreakCost * float64(hash>>40) / (1 << 24)
}

// viewOf returns the prompt view of a weights version, which is computed once for each
// request.
func (d *Dispatcher) viewOf(now tables.Instant, r *Request, version uint64, rows []*endpointRow) *promptView {
	for i := range d.views {
		if d.views[i].version == version {
			return &d.views[i]
		}
	}
	d.views = append(d.views, d.newView(now, r, version, rows))
	return &d.views[len(d.views)-1]
}

// evaluateGeneration adds the costs of a generation: the transfer and the prefill queue
// before it, its own prefill, and the recomputation of parts that another endpoint holds.
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
	c.wait += baseFirstEventTime + c.row.prefillTime(now, c.row.queuedPrefill(now)+c.uncachedTokens)
	c.cost = r.latenessCost(now, c.wait) + copyCost*float64(availableTokens-cachedTokens) + d.pauseCost(now, r, c)
	d.evaluateStaleWeights(now, r, c)
	if recomputed := max(0, v.heldTokens-availableTokens); recomputed > 0 {
		c.recomputedTokens, c.readyAt = recomputed, v.readyAt
		c.cost += recomputeCost * float64(recomputed)
	}
	if v.home != nil && c.row != v.home {
		c.cost += recomputeCost * v.collision * float64(r.sharedTokens()-max(v.heldTokens, availableTokens))
	}
}

// latenessCost returns the cost of an expected wait from now on, in milliseconds. Beside
// the linear waitCost it is a log-logistic penalty: close to zero while the answer is likely
// to meet the target, and bounded once it is likely to miss it. An unbounded cost would
// send requests that are late anyway to endpoints where they evict parts that other
// requests need.
func (r *Request) latenessCost(now tables.Instant, wait float64) float64 {
	target := milliseconds(r.Route.TargetLatency)
	if target <= 0 {
		return wait
	}
	odds := math.Pow((r.waited(now)+wait)/(lateMidpoint*target), lateSteepness)
	return waitCost*wait + lateCost*target*odds/(1+odds)
}

// waited returns how long the client has waited, in milliseconds.
func (r *Request) waited(now tables.Instant) float64 {
	if r.ArrivedAt == 0 {
		return 0
	}
	return milliseconds(max(0, now-r.ArrivedAt))
}

// queuedPrefill returns the prefill queue before a new request, in tokens.
func (r *endpointRow) queuedPrefill(now tables.Instant) float64 {
	known := r.prefillTokens + float64(r.reported.prefillTokens)
	if r.unreportedQueued == 0 {
		return known
	}
	return known + r.unreportedQueued*decay(now-r.unreportedAt, loadDecay)*r.averages.prefillTokens
}

// startAttempt creates the attempt and counts it as load of its endpoint.
func (d *Dispatcher) startAttempt(now tables.Instant, r *Request, c candidate) *Attempt {
	a := &Attempt{
		Endpoint:        c.row.Endpoint,
		ExpectedLatency: c.expectedLatency(),
		UncachedTokens:  int(c.uncachedTokens),
		Rationale:       rationaleOf(now, r, &c),
		row:             c.row,
		startedAt:       now,
		memoryTokens:    r.memoryTokens(),
		prefillTokens:   c.uncachedTokens,
		queuedPrefill:   c.row.queuedPrefill(now),
		isGeneration:    r.Model != "",
		Relayed:         c.path == relayed,
		isRemote:        r.Remote,
	}
	if !r.Remote {
		d.nameAvoided(now, &a.Rationale, c.row.Service)
	}
	a.markStream(now, r)
	c.row.recordPrompt(now, a.prefillTokens)
	if a.isGeneration {
		c.row.averages.addRequest(a.memoryTokens, a.prefillTokens)
		a.WeightsVersion = c.row.Weights[r.Model]
	}
	if c.source != nil {
		a.CacheSource, a.fetchTransfer = c.source.Endpoint, c.transfer
		d.reserveLink(now, c.row, c.transfer)
	}
	a.startProbe(now)
	if r.DeliveredAttempts > 0 && !r.Remote && !d.addressConfirmed(now, c.row) {
		d.countUnconfirmed(now, a)
	}
	d.markDirty(c.row)
	c.row.attempts++
	c.row.memoryTokens += a.memoryTokens
	c.row.prefillTokens += a.prefillTokens
	d.classifyParts(now, r, a)
	d.recordPlacement(now, r, a)
	d.recordEvictionDemand(now, r, a)
	d.recordAdmitted(now, r, a)
	d.assignStore(now, r, a, r.PromptTokens-int(c.uncachedTokens))
	d.assignBackup(now, r, a)
	return a
}
