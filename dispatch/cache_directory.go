package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// remoteReadyDelay is how long after another instance's cache update the part is
	// taken to be in the endpoint's cache: the request was sent only just before, and its
	// prompt has to be computed first.
	remoteReadyDelay = 250 * time.Millisecond
	// readyMargin is added to the expected time of the first event of this instance's own
	// attempts.
	readyMargin = 50 * time.Millisecond
	// useReportInterval is the interval at which repeated uses of a part are reported.
	// Other instances fetch from the endpoint that used the part last, which is the least
	// likely to have evicted it.
	useReportInterval = 4 * time.Second
	// storeSourceAge is the age of an engine's last use of a part from which the store is
	// the better source.
	storeSourceAge = 4 * time.Second
	// storeReadyDelay is the time from the first event of the request that computed a
	// part until the part has reached the store.
	storeReadyDelay = 400 * time.Millisecond
	// holderTTL is how long after its last use an entry of the directory is valid.
	// Engines evict the least recently used parts. Too long a TTL costs fetches that find
	// nothing, too short a TTL costs recomputation.
	holderTTL = 40 * time.Second
	// maxParts bounds the parts in the directory, at some 100 bytes each.
	maxParts = 50_000
)

// CacheUpdate is a message among instances: a part of a prompt was added to, or evicted
// from, an endpoint's cache.
type CacheUpdate struct {
	Endpoint tables.EndpointID
	Key      parts.Key
	// Evicted is set if the endpoint no longer holds the part.
	Evicted bool
}

// holder is an endpoint that has a part in its cache, or will have it once an attempt has
// computed it.
type holder struct {
	row *endpointRow
	// readyAt is when the part can be reused, usedAt when it was last used.
	readyAt tables.Instant
	usedAt  tables.Instant
	// reportedAt is when this instance last reported the entry to the others.
	reportedAt tables.Instant
	// placedAt is when a request that adds or uses the part was last known to be placed.
	placedAt tables.Instant
}

// cacheDirectory is a soft-state directory of the endpoints that hold each shared part of
// prompts. It is fed by this instance's attempts, by updates of other instances and by
// the engines' cache events. A placement is the earliest information; the engines' events
// arrive late and with gaps, and serve as corrections. Entries expire after holderTTL.
type cacheDirectory struct {
	holders map[parts.Key][]holder
	// removals remembers the parts that have no holder any more, by the service of the last one.
	removals map[string]*removedParts
	// tracksEvictions is set if the parts of each endpoint are tracked for evictionOrder.
	tracksEvictions bool
	// sweptAt is when expired entries were last removed.
	sweptAt tables.Instant
	// clearedAt is when all parts were last removed because there were too many; 0 for never.
	clearedAt tables.Instant
}

// newCacheDirectory returns an empty directory.
func newCacheDirectory(tracksEvictions bool) cacheDirectory {
	return cacheDirectory{holders: map[parts.Key][]holder{}, removals: map[string]*removedParts{}, tracksEvictions: tracksEvictions}
}

// holdersOf returns the valid holders of a part.
func (h *cacheDirectory) holdersOf(now tables.Instant, key parts.Key) []holder {
	known := h.holders[key]
	valid := known[:0]
	for _, one := range known {
		if now-one.usedAt < holderTTL && !one.row.removed {
			valid = append(valid, one)
		}
	}
	if len(valid) != len(known) {
		if len(valid) == 0 {
			h.recordInvalid(now, key, known)
		}
		h.holders[key] = valid
	}
	return valid
}

// record adds an endpoint to the holders of a part, or refreshes its last use; fresh
// reports whether it was added.
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
	h.track(now, key, r)
	return &known[len(known)-1], true
}

// markReady records that an attempt's endpoint has computed its prompt.
func (h *cacheDirectory) markReady(now tables.Instant, a *Attempt) {
	for _, key := range a.addedParts {
		for i, one := range h.holders[key] {
			if one.row != a.row {
				continue
			}
			if one.readyAt < now && one.placedAt > a.startedAt {
				h.removalsOf(a.row).add(now, readyLateKey(key, a.row), readyLate)
			}
			h.holders[key][i].readyAt = min(one.readyAt, now)
		}
	}
}

// removeAdded removes the entries of an attempt that ended before its first event.
func (h *cacheDirectory) removeAdded(a *Attempt) {
	for _, key := range a.addedParts {
		h.remove(key, a.row)
	}
}

// remove removes an endpoint from the holders of a part and returns its entry; false if
// there was none.
func (h *cacheDirectory) remove(key parts.Key, r *endpointRow) (holder, bool) {
	known := h.holders[key]
	for i, one := range known {
		if one.row == r {
			h.holders[key] = append(known[:i:i], known[i+1:]...)
			r.evictions.validUntil = 0
			return one, true
		}
	}
	return holder{}, false
}

// removeExpired removes parts without valid holders and expired records of removals, and all parts
// if there are still too many.
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
	h.removeExpiredRemovals(now)
	if len(h.holders) >= maxParts {
		// Recording each part would fill the record of removals and push out its other entries.
		h.clearedAt = now
		clear(h.holders)
	}
}

// ApplyCacheUpdate applies a cache update of another instance.
func (d *Dispatcher) ApplyCacheUpdate(now tables.Instant, p CacheUpdate) {
	r := d.endpoints[p.Endpoint]
	switch {
	case r == nil:
	case p.Evicted:
		if one, removed := d.cache.remove(p.Key, r); removed {
			d.cache.recordEvicted(now, p.Key, one)
		}
	default:
		if d.cache.tracksEvictions && !r.isStore {
			d.evictionDemand.record(now, p.Key, 0)
		}
		if _, fresh := d.cache.record(now, now+remoteReadyDelay, p.Key, r); fresh {
			d.cache.recordElsewhere(now, p.Key, r, d.updateDelayOf(r), placedElsewhere)
		}
	}
}

// TakeCacheUpdates returns this instance's cache updates since the last call, to be sent
// to the others.
func (d *Dispatcher) TakeCacheUpdates() []CacheUpdate {
	updates := d.cacheUpdates
	d.cacheUpdates = nil
	return updates
}

// recordPlacement enters the shared parts that an attempt adds to its endpoint's cache,
// or uses there, in the directory.
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

// assignStore has an attempt's endpoint copy the parts that it computes to a store, if
// one is available. cachedTokens is how much of the prompt is cached or fetched. Nothing
// is copied if that covers all shared parts: they are in the store already or are not
// worth the transfer.
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

// chooseStore returns the store that keeps a prompt, by rendezvous hashing (highest
// random weight) of the stores and the prompt's last shared part. Each store thus keeps
// prompts that the others do not, and their capacities add up.
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
		if best == nil || placement.Mix64(row.hash^last) > placement.Mix64(best.hash^last) {
			best = row
		}
	}
	return best
}

// lastUse returns when a part was last used, to rank sources. A store keeps parts for
// longer than engines, which evict them in favour of other requests' prompts, but its
// link is slower. So a store ranks behind engines that used the part within
// storeSourceAge.
func (h *holder) lastUse(now tables.Instant) tables.Instant {
	if h.row.isStore {
		return now - storeSourceAge
	}
	return h.usedAt
}

// canServeFetch reports whether other endpoints may fetch parts from this one.
func (r *endpointRow) canServeFetch(now tables.Instant) bool {
	return !r.removed && r.accepting(now) && r.presumedUp(now) && r.currentFailureScore(now) < maxSourceFailureScore
}
