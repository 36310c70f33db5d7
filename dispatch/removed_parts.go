package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// removalTTL is how long the removal of a part from the directory is remembered.
	removalTTL = 60 * time.Second
	// maxRemovals bounds the remembered removals of a service, at 24 bytes each and 4 bytes of
	// the hash table. Keys do not name the model; a service usually serves one.
	maxRemovals = 65_536
	// minRemovals is the size of the record before it grows.
	minRemovals = 256
)

// removalCause is why a part is not in the directory, or what other instances and engines have
// reported of it after this instance had used it.
type removalCause uint8

const (
	// removedNever: nothing is known of the part.
	removedNever removalCause = iota
	// removedEvicted: its last known holder has evicted it.
	removedEvicted
	// removedLost: its last known holder has stopped or was replaced.
	removedLost
	// removedExpired: its last entry has expired; the engine may hold it still.
	removedExpired
	// evictedBefore: an endpoint had evicted it before a request was placed there that was to use
	// it. The key is that of evictedBeforeKey.
	evictedBefore
	// placedElsewhere and storedElsewhere: another instance has placed a request that computes
	// it, or another engine has stored it, so shortly after this instance has placed such a
	// request that it happened before. The key is that of elsewhereKey.
	placedElsewhere
	storedElsewhere
	// readyLate: an endpoint had not computed it when a request was placed that was to use it, since
	// the computation took longer than expected. The key is that of readyLateKey.
	readyLate
)

// evictedBeforeKey is the key of the cause evictedBefore for an endpoint.
func evictedBeforeKey(key parts.Key, row *endpointRow) parts.Key {
	return parts.Key(placement.Mix64(uint64(key) ^ row.hash))
}

// readyLateKey is the key of the cause readyLate for an endpoint.
func readyLateKey(key parts.Key, row *endpointRow) parts.Key {
	return parts.Key(placement.Mix64(^uint64(key) ^ row.hash))
}

// elsewhereKey is the key of the causes placedElsewhere and storedElsewhere.
func elsewhereKey(key parts.Key) parts.Key { return parts.Key(placement.Mix64(^uint64(key))) }

// removal is one entry of removedParts, of 24 bytes.
type removal struct {
	key parts.Key
	at  tables.Instant
	// next is one more than the index of the next older entry of the same bucket; 0 for none.
	next  uint32
	cause removalCause
}

// removedParts remembers the latest removals of parts for removalTTL, at most maxRemovals of
// them; the oldest are dropped first. It is a ring whose entries are chained by the hash of
// their keys. The zero value is ready to use.
type removedParts struct {
	// entries is the ring and heads its buckets: one more than the index of the newest entry, or
	// 0. Both have the same length, a power of two.
	entries []removal
	heads   []uint32
	// first is the index of the oldest entry.
	first, count int
}

// add remembers a removal.
func (p *removedParts) add(now tables.Instant, key parts.Key, cause removalCause) {
	for p.count > 0 && now-p.entries[p.first].at > removalTTL {
		p.dropOldest()
	}
	switch {
	case p.count < len(p.entries):
	case p.count < maxRemovals:
		p.grow()
	default:
		p.dropOldest()
	}
	p.append(removal{key: key, at: now, cause: cause})
}

// append adds an entry to a ring that is not full.
func (p *removedParts) append(one removal) {
	index := (p.first + p.count) & (len(p.entries) - 1)
	head := p.head(one.key)
	one.next = *head
	p.entries[index] = one
	*head = uint32(index) + 1
	p.count++
}

// head returns the bucket of a key. Keys are hashes already.
func (p *removedParts) head(key parts.Key) *uint32 {
	return &p.heads[int(uint64(key)&uint64(len(p.heads)-1))]
}

// dropOldest drops the oldest entry, which is the last of its bucket.
func (p *removedParts) dropOldest() {
	link := p.head(p.entries[p.first].key)
	for int(*link) != p.first+1 {
		link = &p.entries[*link-1].next
	}
	*link = 0
	p.first = (p.first + 1) & (len(p.entries) - 1)
	p.count--
}

// grow doubles the ring.
func (p *removedParts) grow() {
	old := *p
	size := max(minRemovals, 2*len(old.entries))
	*p = removedParts{entries: make([]removal, size), heads: make([]uint32, size)}
	for i := range old.count {
		p.append(old.entries[(old.first+i)&(len(old.entries)-1)])
	}
}

// lookup returns the latest cause that is remembered for a key, and when it was added.
func (p *removedParts) lookup(now tables.Instant, key parts.Key) (removalCause, tables.Instant) {
	if p == nil || p.count == 0 {
		return removedNever, 0
	}
	for link := *p.head(key); link != 0; link = p.entries[link-1].next {
		if one := &p.entries[link-1]; one.key == key {
			if now-one.at > removalTTL {
				return removedNever, 0
			}
			return one.cause, one.at
		}
	}
	return removedNever, 0
}

// expired reports whether all entries have expired.
func (p *removedParts) expired(now tables.Instant) bool {
	if p.count == 0 {
		return true
	}
	newest := (p.first + p.count - 1) & (len(p.entries) - 1)
	return now-p.entries[newest].at > removalTTL
}

// removalsOf returns the removals of an endpoint's service.
func (h *cacheDirectory) removalsOf(row *endpointRow) *removedParts {
	known := h.removals[row.Service]
	if known == nil {
		known = &removedParts{}
		h.removals[row.Service] = known
	}
	return known
}

// removeExpiredRemovals deletes the records whose newest entry has expired.
func (h *cacheDirectory) removeExpiredRemovals(now tables.Instant) {
	for service, known := range h.removals {
		if known.expired(now) {
			delete(h.removals, service)
		}
	}
}

// recentlyCleared reports whether all parts were removed within removalTTL because there were too
// many. Each part may have been one of them.
func (h *cacheDirectory) recentlyCleared(now tables.Instant) bool {
	return h.clearedAt > 0 && now-h.clearedAt <= removalTTL
}

// recordInvalid remembers why a part has no valid holder any more. The holders are those that
// were dropped; one that had not computed the part yet counts for nothing.
func (h *cacheDirectory) recordInvalid(now tables.Instant, key parts.Key, dropped []holder) {
	cause, row := removedNever, (*endpointRow)(nil)
	for i := range dropped {
		one := &dropped[i]
		switch {
		case one.readyAt > now:
		case !one.row.removed:
			cause, row = removedExpired, one.row
		case cause == removedNever:
			cause, row = removedLost, one.row
		}
	}
	if row != nil {
		h.removalsOf(row).add(now, key, cause)
	}
}

// recordEvicted remembers that a holder has evicted a part that it had computed, if it was the
// last one.
func (h *cacheDirectory) recordEvicted(now tables.Instant, key parts.Key, evicted holder) {
	if evicted.readyAt <= now && len(h.holders[key]) == 0 {
		h.removalsOf(evicted.row).add(now, key, removedEvicted)
	}
}

// recordLateEviction remembers the eviction of a part whose entry had expired.
func (h *cacheDirectory) recordLateEviction(now tables.Instant, key parts.Key, row *endpointRow) {
	known := h.removals[row.Service]
	if cause, _ := known.lookup(now, key); cause == removedExpired {
		known.add(now, key, removedEvicted)
	}
}

// recordElsewhere remembers that another endpoint computes a part, or has computed it, if a
// request that computes it was placed less than the delay ago by the directory. The other
// endpoint's request is then likely to be the earlier one.
func (h *cacheDirectory) recordElsewhere(now tables.Instant, key parts.Key, row *endpointRow, delay time.Duration, cause removalCause) {
	if row.isStore {
		return // it gets the part from an engine that has computed it
	}
	for _, one := range h.holders[key] {
		if one.row != row && one.placedAt > 0 && now-one.placedAt <= delay {
			h.removalsOf(row).add(now, elsewhereKey(key), cause)
			return
		}
	}
}
