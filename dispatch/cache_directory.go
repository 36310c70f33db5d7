package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// remoteReadyDelay is how long after another instance reported a placement the part
	// is taken to be in the endpoint's memory: the request was just sent, and
	// its prompt has to be read.
	remoteReadyDelay = 250 * time.Millisecond
	// readyMargin is added to the expected time of an own attempt's first event.
	readyMargin = 50 * time.Millisecond
	// useReportInterval is after how long a use of a part is reported again: others fetch
	// from the endpoint that used it last, which is the least likely to have
	// dropped it.
	useReportInterval = 4 * time.Second
	// storeSourceAge is how long ago an engine must have used a part for the store to
	// be the better source.
	storeSourceAge = 4 * time.Second
	// storeReadyDelay is how long after the first event of the request that read a
	// part it has reached the store.
	storeReadyDelay = 400 * time.Millisecond
	// holderTTL is how long a placement is believed in after its last use. Engines
	// drop what was not used for the longest time; believing too long costs a
	// fetch that finds nothing, too short another reading.
	holderTTL = 40 * time.Second
	// maxParts bounds the parts that are remembered, at some 100 bytes each.
	maxParts = 50_000
)

// CacheUpdate says that a part of a prompt was brought to an endpoint's memory.
type CacheUpdate struct {
	Endpoint tables.EndpointID
	Key      parts.Key
	// Evicted is set for a part that the endpoint has no longer.
	Evicted bool
}

// holder is an endpoint that has a part in its memory, or will.
type holder struct {
	row *endpointRow
	// readyAt is when the part can be used by others, used when it last was.
	readyAt tables.Instant
	usedAt  tables.Instant
	// reportedAt is when this instance last reported it to the others.
	reportedAt tables.Instant
	// placedAt is when a request that was to bring it was last known of.
	placedAt tables.Instant
}

// cacheDirectory is where shared parts of prompts lie, as far as this instance knows
// by its own attempts, by what others report and by what engines say. A request
// that was sent somewhere is the earliest news; what engines publish comes late
// and with gaps, and corrects it.
type cacheDirectory struct {
	holders map[parts.Key][]holder
	// sweptAt is when parts that were not used for long were last dropped.
	sweptAt tables.Instant
}

// holdersOf lists the endpoints that hold a part, those that still serve it.
func (h *cacheDirectory) holdersOf(now tables.Instant, key parts.Key) []holder {
	known := h.holders[key]
	kept := known[:0]
	for _, one := range known {
		if now-one.usedAt < holderTTL && !one.row.removed {
			kept = append(kept, one)
		}
	}
	if len(kept) != len(known) {
		h.holders[key] = kept
	}
	return kept
}

// record records that a part comes to an endpoint, or is used there.
func (h *cacheDirectory) record(now, ready tables.Instant, key parts.Key, r *endpointRow) (one *holder, fresh bool) {
	h.removeExpired(now)
	known := h.holdersOf(now, key)
	for i := range known {
		if known[i].row == r {
			known[i].usedAt, known[i].placedAt = now, now
			return &known[i], false
		}
	}
	known = append(known, holder{row: r, readyAt: ready, usedAt: now, placedAt: now})
	h.holders[key] = known
	return &known[len(known)-1], true
}

// markReady notes that an attempt's endpoint has read its prompt.
func (h *cacheDirectory) markReady(now tables.Instant, a *Attempt) {
	for _, key := range a.addedParts {
		for i, one := range h.holders[key] {
			if one.row == a.row {
				h.holders[key][i].readyAt = min(one.readyAt, now)
			}
		}
	}
}

// removeAdded takes back what an attempt would have brought that never began.
func (h *cacheDirectory) removeAdded(a *Attempt) {
	for _, key := range a.addedParts {
		h.remove(key, a.row)
	}
}

// remove removes an endpoint from a part's holders and returns what was known of
// it there; false if it was none.
func (h *cacheDirectory) remove(key parts.Key, r *endpointRow) (holder, bool) {
	known := h.holders[key]
	for i, one := range known {
		if one.row == r {
			h.holders[key] = append(known[:i:i], known[i+1:]...)
			return one, true
		}
	}
	return holder{}, false
}

// removeExpired drops parts that nobody uses any more.
func (h *cacheDirectory) removeExpired(now tables.Instant) {
	if now-h.sweptAt < holderTTL && len(h.holders) < maxParts {
		return
	}
	h.sweptAt = now
	for key := range h.holders {
		if len(h.holdersOf(now, key)) == 0 {
			delete(h.holders, key)
		}
	}
	if len(h.holders) >= maxParts {
		clear(h.holders)
	}
}

// ApplyCacheUpdate takes what another instance placed.
func (d *Dispatcher) ApplyCacheUpdate(now tables.Instant, p CacheUpdate) {
	r := d.endpoints[p.Endpoint]
	switch {
	case r == nil:
	case p.Evicted:
		d.cache.remove(p.Key, r)
	default:
		d.cache.record(now, now+remoteReadyDelay, p.Key, r)
	}
}

// TakeCacheUpdates returns what this instance placed since the last call, for the others.
func (d *Dispatcher) TakeCacheUpdates() []CacheUpdate {
	news := d.cacheUpdates
	d.cacheUpdates = nil
	return news
}

// recordPlacement records the shared parts that an attempt brings to its endpoint, or
// uses there.
func (d *Dispatcher) recordPlacement(now tables.Instant, r *Request, a *Attempt) {
	for _, part := range r.SharedParts {
		key := part.ID.KeyAt(a.WeightsVersion)
		one, fresh := d.cache.record(now, now+a.ExpectedLatency+readyMargin, key, a.row)
		if fresh {
			a.addedParts = append(a.addedParts, key)
		}
		if fresh || now-one.reportedAt > useReportInterval {
			one.reportedAt = now
			d.cacheUpdates = append(d.cacheUpdates, CacheUpdate{Endpoint: a.Endpoint.ID, Key: key})
		}
	}
}

// assignStore has an attempt's endpoint send the parts that it reads to the store, if
// there is one that can take them. Parts that were had from elsewhere are there
// already, or are not worth the way.
func (d *Dispatcher) assignStore(now tables.Instant, r *Request, a *Attempt, cachedTokens int) {
	if r.sharedTokens() <= cachedTokens {
		return
	}
	store := d.chooseStore(r)
	if store == nil {
		return
	}
	a.CacheStore, a.storeRow = store.Endpoint, store
	a.storeTransfer = r.transferTime(a.row, store) * float64(r.PromptTokens)
	for _, part := range r.SharedParts {
		key := part.ID.KeyAt(a.WeightsVersion)
		one, fresh := d.cache.record(now, now+a.ExpectedLatency+storeReadyDelay, key, store)
		if fresh {
			one.reportedAt = now
			d.cacheUpdates = append(d.cacheUpdates, CacheUpdate{Endpoint: store.ID, Key: key})
		}
	}
}

// chooseStore is the store that keeps a prompt: of several the one with the highest
// draw of a hash over the store and the prompt. Each then keeps prompts that the
// others do not, and together they hold as many as their memories sum up to.
func (d *Dispatcher) chooseStore(r *Request) *endpointRow {
	if len(r.SharedParts) == 0 {
		return nil
	}
	last := uint64(r.SharedParts[len(r.SharedParts)-1].ID)
	var best *endpointRow
	for _, row := range d.stores {
		if row.Draining {
			continue
		}
		if best == nil || placement.Mix(row.hash^last) > placement.Mix(best.hash^last) {
			best = row
		}
	}
	return best
}

// lastUse is when a part was last used, for the choice of a source. A store
// keeps parts longer than engines do, which drop them for the prompts of other
// requests, but its link is slower; so it comes after engines that have used a
// part lately.
func (h *holder) lastUse(now tables.Instant) tables.Instant {
	if h.row.isStore {
		return now - storeSourceAge
	}
	return h.usedAt
}

// canServeFetch says whether something may be fetched from the endpoint.
func (r *endpointRow) canServeFetch(now tables.Instant) bool {
	return !r.removed && r.availability.available(now) && r.currentFailureScore(now) < maxSourceFailureScore
}
