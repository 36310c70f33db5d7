package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// evictionGrace is how long after a request was sent to bring or use a part an
// endpoint's word that it has dropped the part is taken to be older than the
// request. Such words come some 100 ms late.
const evictionGrace = 500 * time.Millisecond

// RecordCacheEvents takes what an endpoint says that it keeps and has dropped of late. Belief
// by placement alone counts on parts that were pushed out meanwhile, and each
// request that follows it reads its whole prompt again.
//
// Parts that nobody has asked for here are passed over, unless all is set: they
// are mostly the requests' own. A reader that begins with an endpoint cannot know
// which are shared, and takes all.
func (d *Dispatcher) RecordCacheEvents(now tables.Instant, endpoint tables.EndpointID, kept, dropped []parts.Key, all bool) {
	row := d.endpoints[endpoint]
	if row == nil {
		return
	}
	for _, key := range kept {
		d.recordStored(now, row, key, all)
	}
	for _, key := range dropped {
		d.recordEvicted(now, row, key)
	}
}

func (d *Dispatcher) recordStored(now tables.Instant, row *endpointRow, key parts.Key, all bool) {
	shared := len(d.cache.holders[key]) > 0
	if !shared && !all {
		return
	}
	if d.addHolder(now, row, key) && shared {
		d.cacheUpdates = append(d.cacheUpdates, CacheUpdate{Endpoint: row.ID, Key: key})
	}
}

func (d *Dispatcher) recordEvicted(now tables.Instant, row *endpointRow, key parts.Key) {
	if d.removeHolder(now, row, key) {
		d.cacheUpdates = append(d.cacheUpdates, CacheUpdate{Endpoint: row.ID, Key: key, Evicted: true})
	}
}

// ApplyCacheEvent takes an endpoint's word that another instance has read, and says whether
// it changed the belief. Parts that nobody has asked for here are passed over.
func (d *Dispatcher) ApplyCacheEvent(now tables.Instant, p CacheUpdate) (changed bool) {
	row := d.endpoints[p.Endpoint]
	switch {
	case row == nil || len(d.cache.holders[p.Key]) == 0:
		return false
	case p.Evicted:
		return d.removeHolder(now, row, p.Key)
	}
	return d.addHolder(now, row, p.Key)
}

// addHolder believes that an endpoint keeps a part, and says whether that is new.
func (d *Dispatcher) addHolder(now tables.Instant, row *endpointRow, key parts.Key) bool {
	known := d.cache.holders[key]
	for i := range known {
		if known[i].row == row {
			known[i].readyAt = min(known[i].readyAt, now)
			return false
		}
	}
	d.cache.holders[key] = append(known, holder{row: row, readyAt: now, usedAt: now, reportedAt: now})
	d.corrected.Added++
	return true
}

// removeHolder believes that an endpoint keeps a part no longer, and says whether that is
// new.
func (d *Dispatcher) removeHolder(now tables.Instant, row *endpointRow, key parts.Key) bool {
	for _, one := range d.cache.holders[key] {
		if one.row == row && now-one.placedAt < evictionGrace {
			return false
		}
	}
	_, believed := d.cache.remove(key, row)
	if believed {
		d.corrected.Evicted++
	}
	return believed
}

// CacheCorrections count what endpoints' words have changed of the belief in where
// parts are.
type CacheCorrections struct {
	// Added counts parts that were found where nobody was known to have brought
	// them, Evicted those that were believed to be where they are no longer.
	Added, Evicted int
}

// CacheCorrections returns the counts since the start.
func (d *Dispatcher) CacheCorrections() CacheCorrections { return d.corrected }

// EndpointCache is what one endpoint keeps.
type EndpointCache struct {
	Endpoint tables.EndpointID
	Keys     []parts.Key
}

// EndpointCaches lists what endpoints are believed to keep, by endpoint, for an
// instance that has just started.
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
