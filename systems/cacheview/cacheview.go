// Package cacheview is an approximate index of the prompt blocks that endpoints
// have cached. It learns from the instance's own placements, from cache events
// of endpoints and from peers. All of these can be wrong: events are late, lost,
// duplicated and reordered, and engines restart with an empty cache. Therefore
// a lookup weights each entry by the probability that it is right. A wrong entry
// costs time, but never leads to a wrong answer.
//
// The index is a set-associative hash table of constant size: 8 bytes per entry,
// in buckets of 8 entries that fill one 64-byte cache line of the CPU. A full
// bucket replaces its least recently refreshed entry.
package cacheview

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// timestampShift makes timestamps count ticks of 2^27 ns, about 134 ms. 16
	// bits of ticks wrap around after 2.4 hours; Sweep removes entries long
	// before.
	timestampShift = 27
	// maxAgeTicks is the age at which Sweep removes an entry: 36 minutes.
	maxAgeTicks = 1 << 14

	bucketEntries = 8
	// BytesPerEntry is the memory of one entry.
	BytesPerEntry = 8

	// maxSparseHolders is the maximum number of entries that a block may have in
	// its bucket. A block with more holders moves to a dense set, which has room
	// for every endpoint, unless all dense sets are in use.
	maxSparseHolders = 5
	// defaultDenseSets limits the number of blocks with very many holders.
	defaultDenseSets = 512
	// defaultEntries is the default of Options.Entries: 8 MB of memory.
	defaultEntries = 1 << 20
)

// Options are the sizes of an Index.
type Options struct {
	// Entries is the capacity in (block, endpoint) pairs, rounded up to a power
	// of two; 0 means 1 Mi.
	Entries int
	// DenseSets is the maximum number of blocks with more holders than fit into a
	// bucket; 0 means 512. Each set takes 4 bytes per endpoint.
	DenseSets int
}

// generationID identifies a generation of an endpoint's cache, from one reset to
// the next. A new generation invalidates all entries of the old one at once.
type generationID uint16

const (
	noGeneration generationID = 0
	// denseMarker marks an entry whose timestamp field is the index of a dense
	// set.
	denseMarker generationID = 0xffff
)

// entry is a tag of the block's hash, a cache generation and the time of the last
// refresh. The zero value is an empty entry.
type entry struct {
	tag        uint32
	generation generationID
	timestamp  uint16
}

// bucket is one set of the set-associative table.
type bucket [bucketEntries]entry

// Index is the cache index of one instance. It is not safe for concurrent use.
type Index struct {
	buckets []bucket
	// shift reduces a 64-bit hash to the index of a bucket.
	shift uint
	// generations is indexed by generationID; index 0 is unused.
	generations []generation
	// freeIDs are generation IDs that no entry refers to. retiredIDs were given
	// up during the current sweep, retiredBeforeSweep during the one before.
	freeIDs            []generationID
	retiredIDs         []generationID
	retiredBeforeSweep []generationID
	// currentIDs holds the present generation of each endpoint.
	currentIDs   []generationID
	denseSets    []denseSet
	trafficShare float64
	// sweepCursor is the next bucket that Sweep scans.
	sweepCursor int
}

// New returns an empty index without endpoints.
func New(options Options) *Index {
	entries := options.Entries
	if entries <= 0 {
		entries = defaultEntries
	}
	denseSets := options.DenseSets
	if denseSets <= 0 {
		denseSets = defaultDenseSets
	}
	shift := uint(64)
	buckets := 1
	for buckets*bucketEntries < entries {
		buckets *= 2
		shift--
	}
	return &Index{
		buckets:      make([]bucket, buckets),
		shift:        shift,
		generations:  make([]generation, 1),
		denseSets:    make([]denseSet, min(denseSets, int(denseMarker)-1)),
		trafficShare: 1,
	}
}

// MemoryBytes returns the memory of the buckets.
func (x *Index) MemoryBytes() int { return len(x.buckets) * bucketEntries * BytesPerEntry }

// SetTrafficShare sets the fraction of all placements that this instance makes.
// The index uses it to extrapolate insertions into a cache that sends no events.
func (x *Index) SetTrafficShare(share float64) { x.trafficShare = share }

// SetEndpoint declares an endpoint and the capacity of its cache in blocks; 0
// means unknown.
func (x *Index) SetEndpoint(index tables.EndpointIndex, capacity int) {
	for int(index) >= len(x.currentIDs) {
		x.currentIDs = append(x.currentIDs, noGeneration)
	}
	if x.currentIDs[index] == noGeneration {
		x.currentIDs[index] = x.allocateGeneration(index)
	}
	x.generations[x.currentIDs[index]].capacity = capacity
}

// Reset invalidates all entries of an endpoint at once, because its process was
// replaced or serves other weights.
func (x *Index) Reset(index tables.EndpointIndex) {
	old := x.currentIDs[index]
	capacity := x.generations[old].capacity
	x.generations[old].live = false
	x.retiredIDs = append(x.retiredIDs, old)
	x.currentIDs[index] = x.allocateGeneration(index)
	x.generations[x.currentIDs[index]].capacity = capacity
}

// allocateGeneration starts a generation of the endpoint's cache under a free
// ID.
func (x *Index) allocateGeneration(index tables.EndpointIndex) generationID {
	id := generationID(len(x.generations))
	switch {
	case len(x.freeIDs) > 0:
		id = x.freeIDs[len(x.freeIDs)-1]
		x.freeIDs = x.freeIDs[:len(x.freeIDs)-1]
	case len(x.generations) < int(denseMarker):
		x.generations = append(x.generations, generation{})
	default:
		// All IDs are in use. Entries of a retired generation would match if its
		// ID were reused, so all entries are cleared first.
		x.clearAll()
		return x.allocateGeneration(index)
	}
	x.generations[id] = newGeneration(index)
	return id
}

// clearAll empties the index and frees all retired generation IDs.
func (x *Index) clearAll() {
	clear(x.buckets)
	for i := range x.denseSets {
		x.denseSets[i].inUse = false
	}
	x.freeIDs = append(append(x.freeIDs, x.retiredIDs...), x.retiredBeforeSweep...)
	x.retiredIDs, x.retiredBeforeSweep = x.retiredIDs[:0], x.retiredBeforeSweep[:0]
	x.sweepCursor = 0
}

// timestampOf returns the instant as a 16-bit count of ticks that wraps around.
func timestampOf(now tables.Instant) uint16 { return uint16(now >> timestampShift) }

// ageOf returns the ticks since a timestamp, modulo 2^16.
func ageOf(now, timestamp uint16) uint16 { return now - timestamp }

// ageDuration converts an age in ticks to a duration.
func ageDuration(age uint16) time.Duration { return time.Duration(age) << timestampShift }

// bucketOf returns the bucket of a block and the tag that identifies the block
// within it.
func (x *Index) bucketOf(hash tables.BlockHash) (*bucket, uint32) {
	mixed := uint64(hash) * 0x9e3779b97f4a7c15
	return &x.buckets[mixed>>x.shift], uint32(mixed) ^ uint32(hash>>32)
}

// add creates or refreshes an entry. It reports whether the entry is new.
func (x *Index) add(now uint16, id generationID, hash tables.BlockHash) bool {
	b, tag := x.bucketOf(hash)
	holders := 0
	free := -1
	for i := range b {
		e := &b[i]
		if e.generation == noGeneration {
			free = i
			continue
		}
		if e.tag != tag {
			continue
		}
		if e.generation == denseMarker {
			return x.denseSets[e.timestamp].add(x.generations[id].endpoint, id, now)
		}
		if e.generation == id {
			e.timestamp = now
			return false
		}
		holders++
	}
	if holders >= maxSparseHolders && x.moveToDense(b, tag, now) {
		return x.add(now, id, hash)
	}
	if free < 0 {
		free = x.victim(b, now)
	}
	x.clearEntry(&b[free])
	b[free] = entry{tag: tag, generation: id, timestamp: now}
	return true
}

// victim selects the entry of a full bucket to be replaced: one of a retired
// generation, or else the one that was refreshed least recently.
func (x *Index) victim(b *bucket, now uint16) int {
	oldest, position := -1, 0
	for i := range b {
		age := int(ageOf(now, b[i].timestamp))
		switch {
		case b[i].generation == denseMarker:
			age = int(ageOf(now, x.denseSets[b[i].timestamp].updatedAt))
		case !x.generations[b[i].generation].live:
			return i
		}
		if age > oldest {
			oldest, position = age, i
		}
	}
	return position
}

// clearEntry empties an entry and frees the dense set that it may refer to.
func (x *Index) clearEntry(e *entry) {
	if e.generation == denseMarker {
		x.denseSets[e.timestamp].inUse = false
	}
	*e = entry{}
}

// remove removes the entry of a block for a generation, if there is one.
func (x *Index) remove(id generationID, hash tables.BlockHash) {
	b, tag := x.bucketOf(hash)
	for i := range b {
		e := &b[i]
		if e.generation == noGeneration || e.tag != tag {
			continue
		}
		if e.generation == denseMarker {
			x.denseSets[e.timestamp].remove(x.generations[id].endpoint, id)
			return
		}
		if e.generation == id {
			*e = entry{}
			return
		}
	}
}

// Sweep scans the next n buckets and removes entries that are too old or belong
// to retired generations. Callers must sweep often enough that each bucket is
// visited before timestamps wrap around.
func (x *Index) Sweep(now tables.Instant, n int) {
	timestamp := timestampOf(now)
	for range min(n, len(x.buckets)) {
		x.sweepBucket(&x.buckets[x.sweepCursor], timestamp)
		x.sweepCursor++
		if x.sweepCursor == len(x.buckets) {
			x.sweepCursor = 0
			x.endSweep()
		}
	}
}

// sweepBucket removes the old and retired entries of a bucket.
func (x *Index) sweepBucket(b *bucket, now uint16) {
	for i := range b {
		e := &b[i]
		switch {
		case e.generation == noGeneration:
		case e.generation == denseMarker:
			x.denseSets[e.timestamp].sweep(x, now)
			if ageOf(now, x.denseSets[e.timestamp].updatedAt) > maxAgeTicks {
				x.clearEntry(e)
			}
		case !x.generations[e.generation].live || ageOf(now, e.timestamp) > maxAgeTicks:
			*e = entry{}
		}
	}
}

// endSweep frees the generation IDs that were retired before the completed sweep
// began: no entry refers to them any more.
func (x *Index) endSweep() {
	x.freeIDs = append(x.freeIDs, x.retiredBeforeSweep...)
	x.retiredBeforeSweep, x.retiredIDs = x.retiredIDs, x.retiredBeforeSweep[:0]
}

// BucketCount returns the number of buckets, the n for which Sweep visits every
// bucket once.
func (x *Index) BucketCount() int { return len(x.buckets) }
