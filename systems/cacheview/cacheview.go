// Package cacheview holds what an instance believes of the endpoints' caches.
// Its rows come from the instance's own placements, are corrected by cache
// events and filled up by what peers pass on. All of it can be wrong: events
// are late, lost, duplicated and reordered, and engines restart empty. So each
// row has a confidence, and a wrong row costs time, never a wrong answer.
//
// Memory is fixed at the start: 8 bytes for each row, in buckets of 8 rows that
// fill one cache line. A full bucket loses its oldest row.
package cacheview

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// stampShift makes stamps of 2^27 ns, about 134 ms. Sixteen bits of them
	// wrap after 2.4 hours; Sweep removes rows long before.
	stampShift = 27
	// maxAge is the age, in stamps, at which a row is dropped: 36 minutes.
	maxAge = 1 << 14

	bucketRows = 8
	// BytesPerEntry is the memory of one row.
	BytesPerEntry = 8

	// wideFrom is how many homes a block may have within its bucket; with more
	// it moves to a wide set, which has room for every endpoint.
	wideFrom = 5
	// defaultWideSets bounds the blocks that are held by very many endpoints.
	defaultWideSets = 512
	// defaultEntries is used when Options name none: 8 MB.
	defaultEntries = 1 << 20
)

// Options are the sizes of a View.
type Options struct {
	// Entries is how many (block, endpoint) pairs fit, rounded up to a power of
	// two; 0 means 1 Mi.
	Entries int
	// DenseSets is how many blocks may be held by more endpoints than fit into
	// one bucket; 0 means 512. Each takes 4 bytes for each endpoint.
	DenseSets int
}

// homeID numbers one life of one endpoint's cache. Dropping everything known
// of a life is done by giving the endpoint a new number.
type homeID uint16

const (
	noHome homeID = 0
	// wideHome marks a row that points to a wide set by its stamp.
	wideHome homeID = 0xffff
)

// row packs a tag of the block's hash, a home and a stamp. Zero is empty.
type row struct {
	tag   uint32
	home  homeID
	stamp uint16
}

type bucket [bucketRows]row

// Index is the knowledge of one instance. It is not safe for concurrent use.
type Index struct {
	buckets []bucket
	shift   uint
	homes   []home
	// free holds home numbers that no row names any more; retired holds those
	// given up during the present and the former sweep.
	free    []homeID
	retired []homeID
	former  []homeID
	current []homeID
	wide    []wideSet
	share   float64
	cursor  int
}

// New returns an empty view.
func New(options Options) *Index {
	rows := options.Entries
	if rows <= 0 {
		rows = defaultEntries
	}
	wide := options.DenseSets
	if wide <= 0 {
		wide = defaultWideSets
	}
	shift := uint(64)
	buckets := 1
	for buckets*bucketRows < rows {
		buckets *= 2
		shift--
	}
	return &Index{
		buckets: make([]bucket, buckets),
		shift:   shift,
		homes:   make([]home, 1),
		wide:    make([]wideSet, min(wide, int(wideHome)-1)),
		share:   1,
	}
}

// MemoryBytes is the memory of the rows.
func (v *Index) MemoryBytes() int { return len(v.buckets) * bucketRows * BytesPerEntry }

// SetTrafficShare tells the part of all placements that this instance makes; the
// pressure on caches is worked out from it while there are no events.
func (v *Index) SetTrafficShare(share float64) { v.share = share }

// SetEndpoint declares an endpoint and the blocks that its cache can hold; 0
// means not known.
func (v *Index) SetEndpoint(index tables.EndpointIndex, capacity int) {
	for int(index) >= len(v.current) {
		v.current = append(v.current, noHome)
	}
	if v.current[index] == noHome {
		v.current[index] = v.newHome(index)
	}
	v.homes[v.current[index]].capacity = capacity
}

// Reset drops all rows of an endpoint at once, because its process is another
// one or serves other weights.
func (v *Index) Reset(index tables.EndpointIndex) {
	old := v.current[index]
	capacity := v.homes[old].capacity
	v.homes[old].live = false
	v.retired = append(v.retired, old)
	v.current[index] = v.newHome(index)
	v.homes[v.current[index]].capacity = capacity
}

func (v *Index) newHome(index tables.EndpointIndex) homeID {
	id := homeID(len(v.homes))
	switch {
	case len(v.free) > 0:
		id = v.free[len(v.free)-1]
		v.free = v.free[:len(v.free)-1]
	case len(v.homes) < int(wideHome):
		v.homes = append(v.homes, home{})
	default:
		// Every number is taken: rows of a retired life could be matched if it
		// were reused, so all rows are cleared first.
		v.clear()
		return v.newHome(index)
	}
	v.homes[id] = newHomeRow(index)
	return id
}

// clear empties the rows and frees all retired numbers.
func (v *Index) clear() {
	clear(v.buckets)
	for i := range v.wide {
		v.wide[i].used = false
	}
	v.free = append(append(v.free, v.retired...), v.former...)
	v.retired, v.former = v.retired[:0], v.former[:0]
	v.cursor = 0
}

func stampOf(now tables.Instant) uint16 { return uint16(now >> stampShift) }

func ageOf(now, stamp uint16) uint16 { return now - stamp }

func ageDuration(age uint16) time.Duration { return time.Duration(age) << stampShift }

func (v *Index) bucketOf(hash tables.BlockHash) (*bucket, uint32) {
	mixed := uint64(hash) * 0x9e3779b97f4a7c15
	return &v.buckets[mixed>>v.shift], uint32(mixed) ^ uint32(hash>>32)
}

// add makes or refreshes a row. It reports whether the row is new.
func (v *Index) add(now uint16, id homeID, hash tables.BlockHash) bool {
	b, tag := v.bucketOf(hash)
	same := 0
	free := -1
	for i := range b {
		e := &b[i]
		if e.home == noHome {
			free = i
			continue
		}
		if e.tag != tag {
			continue
		}
		if e.home == wideHome {
			return v.wide[e.stamp].add(v.homes[id].endpoint, id, now)
		}
		if e.home == id {
			e.stamp = now
			return false
		}
		same++
	}
	if same >= wideFrom && v.widen(b, tag, now) {
		return v.add(now, id, hash)
	}
	if free < 0 {
		free = v.victim(b, now)
	}
	v.release(&b[free])
	b[free] = row{tag: tag, home: id, stamp: now}
	return true
}

// victim is the position in a full bucket of a dead or else the oldest row.
func (v *Index) victim(b *bucket, now uint16) int {
	oldest, position := -1, 0
	for i := range b {
		age := int(ageOf(now, b[i].stamp))
		switch {
		case b[i].home == wideHome:
			age = int(ageOf(now, v.wide[b[i].stamp].touched))
		case !v.homes[b[i].home].live:
			return i
		}
		if age > oldest {
			oldest, position = age, i
		}
	}
	return position
}

// release frees what a row that is about to be overwritten points to.
func (v *Index) release(e *row) {
	if e.home == wideHome {
		v.wide[e.stamp].used = false
	}
	*e = row{}
}

func (v *Index) remove(id homeID, hash tables.BlockHash) {
	b, tag := v.bucketOf(hash)
	for i := range b {
		e := &b[i]
		if e.home == noHome || e.tag != tag {
			continue
		}
		if e.home == wideHome {
			v.wide[e.stamp].remove(v.homes[id].endpoint, id)
			return
		}
		if e.home == id {
			*e = row{}
			return
		}
	}
}

// Sweep looks at n buckets and clears rows that are dead or too old to have a
// meaning. Called often enough it keeps stamps from wrapping.
func (v *Index) Sweep(now tables.Instant, n int) {
	stamp := stampOf(now)
	for range min(n, len(v.buckets)) {
		v.sweepBucket(&v.buckets[v.cursor], stamp)
		v.cursor++
		if v.cursor == len(v.buckets) {
			v.cursor = 0
			v.endSweep()
		}
	}
}

func (v *Index) sweepBucket(b *bucket, now uint16) {
	for i := range b {
		e := &b[i]
		switch {
		case e.home == noHome:
		case e.home == wideHome:
			v.wide[e.stamp].sweep(v, now)
			if ageOf(now, v.wide[e.stamp].touched) > maxAge {
				v.release(e)
			}
		case !v.homes[e.home].live || ageOf(now, e.stamp) > maxAge:
			*e = row{}
		}
	}
}

// endSweep frees the numbers that were retired before the sweep began: no row
// can name them any more.
func (v *Index) endSweep() {
	v.free = append(v.free, v.former...)
	v.former, v.retired = v.retired, v.former[:0]
}

// BucketCount is how many steps of Sweep go once around.
func (v *Index) BucketCount() int { return len(v.buckets) }
