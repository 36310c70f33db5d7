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
	// defaultServiceTime is the time of a plain call before any was measured, in
	// milliseconds.
	defaultServiceTime = 50.0
	// sampleWeight is the weight of one measurement.
	sampleWeight = 0.15
	// minSampleTokens is the least prefill that says something of speed.
	minSampleTokens = 400
	// baseFirstEventTime is the part of the time to a first event that is not prefill, in
	// milliseconds: network, the step that is running and the first token.
	baseFirstEventTime = 15.0
	// loadDecay is the time constant with which what an endpoint said of its
	// load loses its worth. Requests last for about a second.
	loadDecay = time.Second
)

// row is what this instance knows of an endpoint.
type endpointRow struct {
	fleet.Endpoint
	// listed is the endpoint as the fleet's table had it last.
	listed fleet.Endpoint
	// hash is that of the identity, for the choice of homes.
	hash uint64
	// attempts counts attempts that have not ended, tokens their memory, prefill the
	// prompt tokens of those without a first event.
	attempts      int
	memoryTokens  int
	prefillTokens float64
	// remotelyPlaced is the part of own that other instances have chosen and report.
	remotelyPlaced remoteAttempts
	// reported is what other instances have here, and loadReportedAt when this one's own
	// load was last reported; dirty is set while a change is to be.
	reported       reportedLoads
	loadReportedAt tables.Instant
	dirty          bool
	// unreported is what instances that report nothing had at the endpoint at othersAt, by
	// the endpoint's answers, and waiting how many of it had not begun.
	unreported       float64
	unreportedQueued float64
	unreportedAt     tables.Instant
	// prefillRate is the prefill speed in tokens a millisecond, service the mean time
	// of a plain call in milliseconds.
	prefillRate float64
	serviceTime float64
	// averages are those of the endpoint's service.
	averages *serviceAverages
	availability
	limit rateLimitState
	// linkFreeAt is when the transfers that are known of have ended.
	linkFreeAt tables.Instant
	// viewID is that of the last view in which the endpoint held some beginning of the
	// prompt, and has how many parts of it.
	viewID      uint64
	cachedParts int
	// removed is set once the endpoint is no longer listed.
	removed bool
	// isStore is set for a isStore of cached prompts, which takes no requests.
	isStore bool
}

// SetEndpoints takes over the endpoints that are known now. It costs little where few have
// changed: it is called at every change of any of them.
func (d *Dispatcher) SetEndpoints(endpoints map[tables.EndpointID]fleet.Endpoint) {
	regroup := false
	for id, r := range d.endpoints {
		if _, present := endpoints[id]; !present {
			r.removed = true
			delete(d.endpoints, id)
			regroup = true
		}
	}
	for id, e := range endpoints {
		if d.upsert(id, e) {
			regroup = true
		}
	}
	if regroup {
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

// upsert takes over an endpoint, and says whether that makes a new row.
func (d *Dispatcher) upsert(id tables.EndpointID, e fleet.Endpoint) bool {
	known := d.endpoints[id]
	if known == nil || known.Born != e.Born || known.Address != e.Address || known.Service != e.Service {
		if known != nil {
			known.removed = true
		}
		d.endpoints[id] = &endpointRow{
			Endpoint: e, listed: e, isStore: e.Store, hash: xxhash.Sum64String(string(id)), serviceTime: defaultServiceTime,
			averages: d.averagesOf(e.Service), prefillRate: d.averagesOf(e.Service).prefillRate(),
			availability: availability{halfOpen: d.populated},
		}
		return true
	}
	if known.listed.Equal(&e) {
		return false
	}
	known.listed = e
	// What an answer has shown is newer than what the table says.
	shown := known.Weights
	known.halfOpen = known.halfOpen || known.Loading && !e.Loading
	if !maps.Equal(shown, e.Weights) {
		known.clearAbsence()
	}
	known.Endpoint = e.Clone()
	for model, version := range shown {
		known.Weights[model] = max(known.Weights[model], version)
	}
	return false
}

func (r *endpointRow) recordLoad(now tables.Instant, load dialect.EndpointLoad) {
	r.unreported = float64(max(0, load.Running+load.Waiting-r.attempts-r.reported.running))
	r.unreportedQueued = min(float64(load.Waiting), r.unreported)
	r.unreportedAt = now
}

// otherAttempts is the estimate of other instances' attempts.
func (r *endpointRow) otherAttempts(now tables.Instant) float64 {
	return float64(r.reported.running) + r.unreportedAttempts(now)
}

// unreportedAttempts is the estimate of those that nobody reports.
func (r *endpointRow) unreportedAttempts(now tables.Instant) float64 {
	if r.unreported == 0 {
		return 0
	}
	return r.unreported * decay(now-r.unreportedAt, loadDecay)
}

func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}

// recordLatency takes in the time to a first event or answer.
func (r *endpointRow) recordLatency(a *Attempt, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	if !a.isGeneration {
		r.serviceTime += sampleWeight * (ms - r.serviceTime)
		return
	}
	work := a.prefillTokens + a.queuedPrefill
	if work < minSampleTokens {
		return
	}
	perToken := max(ms-baseFirstEventTime, 1) / work
	r.prefillRate = 1 / (1/r.prefillRate + sampleWeight*(perToken-1/r.prefillRate))
	r.averages.addPrefillTime(perToken)
}
