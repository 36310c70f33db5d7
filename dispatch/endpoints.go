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
	// defaultServiceTime is the assumed time of a plain call until one was measured, in
	// milliseconds.
	defaultServiceTime = 50.0
	// sampleWeight is the smoothing factor of an endpoint's moving averages.
	sampleWeight = 0.15
	// minSampleTokens is the smallest prefill from which the speed is estimated.
	minSampleTokens = 400
	// baseFirstEventTime is the part of the time to the first event that is not prefill,
	// in milliseconds: the network, the step that the engine is running, and the first
	// output token.
	baseFirstEventTime = 15.0
	// loadDecay is the time constant with which an endpoint's load answer loses its
	// weight. A request lasts for about a second.
	loadDecay = time.Second
)

// endpointRow is the entry of the endpoint table: what this instance knows of one
// endpoint.
type endpointRow struct {
	fleet.Endpoint
	// listed is the endpoint as last received in an endpoint list.
	listed fleet.Endpoint
	// hash is the hash of the identity, for rendezvous hashing.
	hash uint64
	// attempts counts this instance's attempts in flight, memoryTokens the engine memory
	// that they occupy, and prefillTokens the uncached prompt tokens of those without a
	// first event.
	attempts int
	// awaitingPermit is the part of attempts that is not sent until it has a permit, and is not
	// reported.
	awaitingPermit int
	memoryTokens   int
	prefillTokens  float64
	// copies is the part of memoryTokens that copies of other endpoints' runs occupy.
	copies copyLoad
	// remotelyPlaced is the part of attempts that remote schedulers have placed and
	// report.
	remotelyPlaced remoteAttempts
	// pauses is the rate of prompts that pause streams at the endpoint.
	pauses pauseRate
	// streams counts the running streams of this instance's attempts.
	streams streamCounts
	// reported is the load of other instances by their reports, and loadReportedAt when
	// this instance last reported its own; dirty is set while a change waits to be
	// reported.
	reported       reportedLoads
	loadReportedAt tables.Instant
	dirty          bool
	// unreported is the number of requests at unreportedAt that no load report explains,
	// by the endpoint's load answers, and unreportedQueued how many of them had not
	// begun.
	unreported       float64
	unreportedQueued float64
	unreportedAt     tables.Instant
	// prefillRate is the prefill speed in tokens a millisecond, serviceTime the mean time
	// of a plain call in milliseconds; both are moving averages.
	prefillRate float64
	serviceTime float64
	// averages are those of the endpoint's service.
	averages *serviceAverages
	availability
	// links are the state of this instance's links to all endpoints.
	links *linkMonitor
	limit rateLimitState
	// slowdown is that of the endpoint's machine.
	slowdown slowdown
	// announced is what the endpoint has announced in responses.
	announced *announcements
	// linkFreeAt is when the known transfers on the endpoint's link have ended, and
	// ownTransfersEndAt when those of this instance have.
	linkFreeAt, ownTransfersEndAt tables.Instant
	// viewID identifies the last prompt view in which the endpoint held a prefix of the
	// prompt, and cachedParts counts the parts of that prefix.
	viewID      uint64
	cachedParts int
	// evictions is the order in which the endpoint evicts parts.
	evictions evictionOrder
	// removed is set once the endpoint is no longer listed.
	removed bool
	// isStore is set for a store of cached prompts, which receives no requests.
	isStore bool
}

// SetEndpoints replaces the set of known endpoints. It is called at every change of any
// endpoint, so its cost for unchanged endpoints is low.
func (d *Dispatcher) SetEndpoints(endpoints map[tables.EndpointID]fleet.Endpoint) {
	changed := false
	for id, r := range d.endpoints {
		if _, present := endpoints[id]; !present {
			r.removed = true
			delete(d.endpoints, id)
			changed = true
		}
	}
	for id, e := range endpoints {
		if d.upsert(id, e) {
			changed = true
		}
	}
	if changed {
		d.rebuildServices()
	}
	d.populated = true
}

// rebuildServices lists the rows of each service anew.
func (d *Dispatcher) rebuildServices() {
	clear(d.services)
	d.stores = d.stores[:0]
	for _, r := range d.endpoints {
		if r.isStore {
			d.stores = append(d.stores, r)
			continue
		}
		d.services[r.Service] = append(d.services[r.Service], r)
	}
	for _, rows := range d.services {
		slices.SortFunc(rows, func(a, b *endpointRow) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// upsert inserts or updates an endpoint, and reports whether that made a new row.
func (d *Dispatcher) upsert(id tables.EndpointID, e fleet.Endpoint) bool {
	known := d.endpoints[id]
	if known == nil || known.StartUnixMilli != e.StartUnixMilli || known.Address != e.Address || known.Service != e.Service {
		if known != nil {
			known.removed = true
		}
		d.endpoints[id] = &endpointRow{
			Endpoint: e, listed: e, announced: d.announcementsOf(&e), isStore: e.IsKVStore, hash: xxhash.Sum64String(string(id)), serviceTime: defaultServiceTime,
			averages: d.averagesOf(e.Service), prefillRate: d.averagesOf(e.Service).prefillRate(),
			availability: availability{halfOpen: d.populated}, links: &d.links,
		}
		d.expectBrittleness(d.endpoints[id])
		return true
	}
	if known.listed.Equal(&e) {
		return false
	}
	before := known.listed.Weights
	known.listed = e
	// A version shown by an answer is more recent than the version in the table, unless that has
	// been lowered.
	shown := known.Weights
	known.halfOpen = known.halfOpen || known.Loading && !e.Loading
	if !maps.Equal(shown, e.Weights) {
		known.clearAbsence()
	}
	known.Endpoint = e.Clone()
	for model, version := range shown {
		if e.Weights[model] >= before[model] {
			known.Weights[model] = max(known.Weights[model], version)
		}
	}
	return false
}

// recordLoad derives from an endpoint's load answer the requests that no load report
// explains.
func (r *endpointRow) recordLoad(now tables.Instant, load dialect.EndpointLoad) {
	r.unreported = float64(max(0, load.Running+load.Waiting-r.attempts-r.reported.running))
	r.unreportedQueued = min(float64(load.Waiting), r.unreported)
	r.unreportedAt = now
}

// otherAttempts estimates the number of attempts of other instances.
func (r *endpointRow) otherAttempts(now tables.Instant) float64 {
	return float64(r.reported.running) + r.unreportedAttempts(now)
}

// unreportedAttempts estimates the number of those that no load report explains.
func (r *endpointRow) unreportedAttempts(now tables.Instant) float64 {
	if r.unreported == 0 {
		return 0
	}
	return r.unreported * decay(now-r.unreportedAt, loadDecay)
}

// decay returns the factor by which a value has decayed exponentially at an age.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}

// recordLatency updates the moving averages with the time to a first event or an answer. A
// momentary slowdown of the machine does not count. No sample is taken while a slowdown is in force
// that exceeds the bounds of its effect: a constant wrong value would give a wrong steady rate.
func (r *endpointRow) recordLatency(a *Attempt, took time.Duration) {
	if r.slowdown.exceedsEffect(a.startedAt + took) {
		return
	}
	ms := float64(took) / float64(time.Millisecond)
	slowed := r.slowdown.factor(a.startedAt + took)
	if !a.isGeneration {
		r.serviceTime += sampleWeight * (ms/slowed - r.serviceTime)
		return
	}
	work := a.prefillTokens + a.queuedPrefill
	if work < minSampleTokens {
		return
	}
	perToken := max(ms-baseFirstEventTime, 1) / work / slowed
	r.prefillRate = 1 / (1/r.prefillRate + sampleWeight*(perToken-1/r.prefillRate))
	r.averages.addPrefillTime(perToken)
}
