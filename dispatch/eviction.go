package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// evictionHorizon is the time within which an evicted part that is requested again has to be
	// computed again, and from which a part without a request costs nothing. It is the time
	// constant of the counts of requests, so that the count of a part, over all instances, is the
	// expected number of requests in this time.
	evictionHorizon = demandDecay
	// evictionOrderTTL is how long the order in which an endpoint evicts its parts is used before
	// it is determined anew. The rates of requests change by a fifth in this time.
	evictionOrderTTL = 2 * time.Second
	// maxCharged is the number of candidates to whose cost that of evictions is added: those with
	// the lowest cost without it. The orders of all endpoints would take longer than a placement.
	maxCharged = 8
	// minTrackedKeys is the number of keys of an endpoint up to which keys of parts that it no
	// longer holds are not sought.
	minTrackedKeys = 64
)

// partDemand is the decaying count of the requests for a part, under one version of the weights:
// those that this instance has placed and those that others report. An instance reports its
// requests for a part at an endpoint once in useReportInterval, so that the count falls short only
// of parts that are almost certain to be requested again.
type partDemand struct {
	decayedCount
	// tokens is the length of the part; 0 if this instance has placed no request for it.
	tokens int
}

// evictionDemand holds what the expected cost of evictions depends on, apart from the directory.
type evictionDemand struct {
	parts   map[parts.Key]partDemand
	sweptAt tables.Instant
	// meanTokens is the moving average of the length of requested parts.
	meanTokens float64
}

// record counts a request for a part of a length; 0 if the length is not known.
func (e *evictionDemand) record(now tables.Instant, key parts.Key, tokens int) {
	if e.parts == nil {
		e.parts = map[parts.Key]partDemand{}
	}
	if now-e.sweptAt > demandTTL || len(e.parts) > maxParts {
		e.sweep(now)
	}
	known := e.parts[key]
	if tokens > 0 {
		known.tokens = tokens
		if e.meanTokens == 0 {
			e.meanTokens = float64(tokens)
		}
		e.meanTokens += averageWeight * (float64(tokens) - e.meanTokens)
	}
	known.decayedCount = decayedCount{known.decayed(now) + 1, now}
	e.parts[key] = known
}

// sweep removes expired counts, and all counts if there are still too many.
func (e *evictionDemand) sweep(now tables.Instant) {
	e.sweptAt = now
	for key, one := range e.parts {
		if now-one.at > demandTTL {
			delete(e.parts, key)
		}
	}
	if len(e.parts) > maxParts {
		clear(e.parts)
	}
}

// decayed returns the count at a time.
func (c decayedCount) decayed(now tables.Instant) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * decay(now-c.at, demandDecay)
}

// evictionOrder is the order in which an endpoint is expected to evict the shared parts that it
// holds: the least recently used first. Engines keep the other tokens of a request in the same
// order.
type evictionOrder struct {
	// keys are the parts that the endpoint may hold, some of them more than once.
	keys []parts.Key
	// steps are the parts in order and occupied the tokens of all of them, with the unshared ones;
	// valid until validUntil.
	steps      []evictionStep
	occupied   float64
	validUntil tables.Instant
}

// evictionStep is a shared part in an evictionOrder.
type evictionStep struct {
	key    parts.Key
	usedAt tables.Instant
	tokens float64
	// recomputed is the expected number of tokens that are computed again within evictionHorizon
	// if the part is evicted.
	recomputed float64
	// unshared is the expected number of other tokens that are evicted after this part and before
	// the next one.
	unshared float64
}

// track adds a part to those that an endpoint may hold.
func (h *cacheDirectory) track(now tables.Instant, key parts.Key, row *endpointRow) {
	if !h.tracksEvictions || row.isStore {
		return
	}
	order := &row.evictions
	if len(order.keys) >= minTrackedKeys && len(order.keys) >= 2*len(order.steps) {
		h.sortKeys(now, row)
	}
	order.keys = append(order.keys, key)
	order.validUntil = 0
}

// sortKeys sets the steps to the parts that an endpoint holds, the least recently used first, and
// the keys to theirs.
func (h *cacheDirectory) sortKeys(now tables.Instant, row *endpointRow) {
	order := &row.evictions
	slices.Sort(order.keys)
	order.steps = order.steps[:0]
	for _, key := range slices.Compact(order.keys) {
		for _, one := range h.holders[key] {
			if one.row == row && now-one.usedAt < holderTTL {
				order.steps = append(order.steps, evictionStep{key: key, usedAt: one.usedAt})
				break
			}
		}
	}
	order.keys = order.keys[:0]
	slices.SortFunc(order.steps, func(a, b evictionStep) int { return cmp.Compare(a.usedAt, b.usedAt) })
	for i := range order.steps {
		order.keys = append(order.keys, order.steps[i].key)
	}
}

// soleHolder reports whether no other endpoint and no store holds a part from which it can be
// fetched now and after evictions. Holders that are leaving or unreachable do not count.
func (h *cacheDirectory) soleHolder(now tables.Instant, key parts.Key, row *endpointRow) bool {
	for _, one := range h.holders[key] {
		if one.row != row && now-one.usedAt < holderTTL && !one.row.isLeaving() && one.row.canServeFetch(now) {
			return false
		}
	}
	return true
}

// evictionOrderOf returns the order of an endpoint. Parts of which no request is known cost
// nothing, and parts that this instance has placed no request for count with the mean length.
// Other tokens are taken to be spread evenly over the endpoints of the service: where many
// instances place, each sees too few requests at an endpoint to tell.
func (d *Dispatcher) evictionOrderOf(now tables.Instant, row *endpointRow) *evictionOrder {
	order := &row.evictions
	if now < order.validUntil {
		return order
	}
	d.cache.sortKeys(now, row)
	order.validUntil, order.occupied = now+evictionOrderTTL, 0
	instances := 1 + d.schedulers + d.remoteSchedulers
	unshared := row.averages.unshared.decayed(now) * instances / demandDecay.Seconds() / float64(max(1, len(d.services[row.Service])))
	for i := range order.steps {
		step, until := &order.steps[i], now
		if i+1 < len(order.steps) {
			until = order.steps[i+1].usedAt
		}
		step.unshared = unshared * max(0, until-step.usedAt).Seconds()
		demand := d.evictionDemand.parts[step.key]
		if step.tokens = float64(demand.tokens); step.tokens == 0 {
			step.tokens = d.evictionDemand.meanTokens
		}
		if now-demand.at < evictionHorizon && d.cache.soleHolder(now, step.key, row) {
			step.recomputed = step.tokens * (1 - math.Exp(-demand.decayed(now)))
		}
		order.occupied += step.tokens + step.unshared
	}
	return order
}

// recordEvictionDemand counts a placed request towards the demand for its parts and the memory
// that its other tokens take.
func (d *Dispatcher) recordEvictionDemand(now tables.Instant, r *Request, a *Attempt) {
	if !d.cache.tracksEvictions || !a.isGeneration {
		return
	}
	begin := 0
	for _, part := range r.SharedParts {
		d.evictionDemand.record(now, part.ID.KeyAt(a.WeightsVersion), part.EndTokens-begin)
		begin = part.EndTokens
	}
	a.row.averages.unshared = decayedCount{a.row.averages.unshared.decayed(now) + float64(r.memoryTokens()-begin), now}
	a.row.evictions.validUntil = 0
}

// countsEvictions reports whether the placement of a request includes the cost of evictions.
func (d *Dispatcher) countsEvictions(r *Request) bool {
	return d.cache.tracksEvictions && r.Model != "" && r.Service.KVCapacityTokens > 0 && d.enabled(d.options.Capacity.Eviction, r.Service.Name)
}

// lowestCosts holds the candidates with the lowest costs, in ascending order. The zero value is
// empty.
type lowestCosts struct {
	all   [maxCharged]candidate
	count int
}

// add adds a candidate if its cost is among the lowest. Of equal costs the first one added comes
// first.
func (l *lowestCosts) add(c *candidate) {
	if l.count == maxCharged && c.cost >= l.all[maxCharged-1].cost {
		return
	}
	at := min(l.count, maxCharged-1)
	for ; at > 0 && l.all[at-1].cost > c.cost; at-- {
		l.all[at] = l.all[at-1]
	}
	l.all[at] = *c
	l.count = min(l.count+1, maxCharged)
}

// cheapestWithEvictions returns the candidate with the lowest cost including that of evictions.
func (d *Dispatcher) cheapestWithEvictions(now tables.Instant, r *Request, rows []*endpointRow, lowest *lowestCosts) candidate {
	best := candidate{cost: math.Inf(1)}
	for i := range lowest.count {
		c := &lowest.all[i]
		if c.cost >= best.cost {
			break // evictions only add to the cost of this one and the following ones
		}
		c.cost += d.evictionCost(now, r, c.row, d.viewOf(now, r, c.row.Weights[r.Model], rows).cachedParts(c.row))
		if c.cost < best.cost {
			best = *c
		}
	}
	return best
}

// evictionCost returns the expected time, in milliseconds, to compute again what an endpoint has
// to evict for the request, given how many of the request's parts it holds. It is zero while the
// endpoint has enough free memory, and counts only parts that no other endpoint and no store
// holds.
func (d *Dispatcher) evictionCost(now tables.Instant, r *Request, row *endpointRow, cachedParts int) float64 {
	order := d.evictionOrderOf(now, row)
	capacity := float64(r.Service.KVCapacityTokens)
	free := max(0, capacity-order.occupied-float64(row.copies.tokens))
	excess := float64(r.memoryTokens()-r.sharedPrefixTokens(cachedParts)) - free
	recomputed := 0.0
	for i := range order.steps {
		if excess <= 0 {
			break
		}
		step := &order.steps[i]
		if step.tokens > 0 && !r.usesPart(step.key, row.Weights[r.Model], cachedParts) {
			recomputed += step.recomputed * min(1, excess/step.tokens)
			excess -= step.tokens
		}
		excess -= step.unshared
	}
	return recomputed / row.currentPrefillRate(now)
}

// usesPart reports whether a key is that of one of the request's first n shared parts.
func (r *Request) usesPart(key parts.Key, version uint64, n int) bool {
	for _, part := range r.SharedParts[:n] {
		if part.ID.KeyAt(version) == key {
			return true
		}
	}
	return false
}
