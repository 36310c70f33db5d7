package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// evictionGrace is how long after the last placement of a part an eviction event of the
// endpoint is taken to be older than the placement, and ignored. Engines publish
// evictions some 100 ms late.
const evictionGrace = 500 * time.Millisecond

// cacheEventDelay is how late engines' events of stored parts usually arrive.
const cacheEventDelay = 80 * time.Millisecond

// cacheEventMargin is by how much events may exceed cacheEventDelay and still count as older than a
// placement in the account of repeated computation. It is half of the delay; not measured.
const cacheEventMargin = 40 * time.Millisecond

// RecordCacheEvents applies an engine's cache events: the parts that it holds and those
// that it has evicted of late. A directory fed by placements alone contains parts that
// were evicted meanwhile, and each request placed by such an entry recomputes its whole
// prompt.
//
// Parts that are not in the directory are ignored unless all is set, since most of them
// belong to a single request. A reader that starts to follow an endpoint cannot tell
// which parts are shared, and sets all.
func (d *Dispatcher) RecordCacheEvents(now tables.Instant, endpoint tables.EndpointID, stored, evicted []parts.Key, all bool) {
	row := d.endpoints[endpoint]
	if row == nil {
		return
	}
	for _, key := range stored {
		d.recordStored(now, row, key, all)
	}
	for _, key := range evicted {
		d.recordEvicted(now, row, key)
	}
}

// recordStored applies one event of a stored part, and reports it to the other instances
// if the part is known to be shared.
func (d *Dispatcher) recordStored(now tables.Instant, row *endpointRow, key parts.Key, all bool) {
	shared := len(d.cache.holders[key]) > 0
	if !shared && !all {
		return
	}
	if d.addHolder(now, row, key) && shared {
		d.cacheUpdates = append(d.cacheUpdates, CacheUpdate{Endpoint: row.ID, Key: key})
	}
}

// recordEvicted applies one eviction event, and reports it to the other instances if it
// changed the directory.
func (d *Dispatcher) recordEvicted(now tables.Instant, row *endpointRow, key parts.Key) {
	if d.removeHolder(now, row, key) {
		d.cacheUpdates = append(d.cacheUpdates, CacheUpdate{Endpoint: row.ID, Key: key, Evicted: true})
	}
}

// ApplyCacheEvent applies an engine's cache event that another instance has received, and
// reports whether it changed the directory. Parts that are not in the directory are
// ignored.
func (d *Dispatcher) ApplyCacheEvent(now tables.Instant, p CacheUpdate) (changed bool) {
	row := d.endpoints[p.Endpoint]
	switch {
	case row == nil:
		return false
	case len(d.cache.holders[p.Key]) == 0:
		if p.Evicted {
			d.cache.recordLateEviction(now, p.Key, row)
		}
		return false
	case p.Evicted:
		return d.removeHolder(now, row, p.Key)
	}
	return d.addHolder(now, row, p.Key)
}

// addHolder adds an endpoint to the holders of a part, and reports whether that changed
// the directory.
func (d *Dispatcher) addHolder(now tables.Instant, row *endpointRow, key parts.Key) bool {
	known := d.cache.holders[key]
	for i := range known {
		if known[i].row == row {
			known[i].readyAt = min(known[i].readyAt, now)
			return false
		}
	}
	d.cache.recordElsewhere(now, key, row, cacheEventDelay, storedElsewhere)
	d.cache.holders[key] = append(known, holder{row: row, readyAt: now, usedAt: now, reportedAt: now})
	d.cache.track(now, key, row)
	d.corrections.Added++
	return true
}

// removeHolder removes an endpoint from the holders of a part, and reports whether that
// changed the directory.
func (d *Dispatcher) removeHolder(now tables.Instant, row *endpointRow, key parts.Key) bool {
	for _, one := range d.cache.holders[key] {
		if one.row == row && now-one.placedAt < evictionGrace {
			d.cache.removalsOf(row).add(now, evictedBeforeKey(key, row), evictedBefore)
			return false
		}
	}
	one, removed := d.cache.remove(key, row)
	if !removed {
		d.cache.recordLateEviction(now, key, row)
		return false
	}
	d.corrections.Evicted++
	d.cache.recordEvicted(now, key, one)
	return true
}

// CacheCorrections counts the changes that engines' cache events have made to the
// directory.
type CacheCorrections struct {
	// Added counts parts found on endpoints where no placement was known to have added
	// them, Evicted those that were listed on endpoints which no longer held them.
	Added, Evicted int
}

// CacheCorrections returns the counts since the start.
func (d *Dispatcher) CacheCorrections() CacheCorrections { return d.corrections }

// EndpointCache lists the parts in the cache of one endpoint.
type EndpointCache struct {
	Endpoint tables.EndpointID
	Keys     []parts.Key
}

// EndpointCaches returns the directory ordered by endpoint, to initialise an instance
// that has just started.
func (d *Dispatcher) EndpointCaches(now tables.Instant) []EndpointCache {
	by := map[tables.EndpointID][]parts.Key{}
	for key := range d.cache.holders {
		for _, one := range d.cache.holdersOf(now, key) {
			if one.readyAt <= now {
				by[one.row.ID] = append(by[one.row.ID], key)
			}
		}
	}
	all := make([]EndpointCache, 0, len(by))
	for id, keys := range by {
		slices.Sort(keys)
		all = append(all, EndpointCache{Endpoint: id, Keys: keys})
	}
	slices.SortFunc(all, func(a, b EndpointCache) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
