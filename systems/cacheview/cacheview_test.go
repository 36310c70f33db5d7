package cacheview_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/systems/cacheview"
	"github.com/carawaystile/carawaystile/tables"
)

// The fixed seed makes property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

const endpoints = 12

// referenceIndex stores exactly which blocks each endpoint was reported to hold.
type referenceIndex struct {
	held     [endpoints]map[tables.BlockHash]bool
	sequence [endpoints]uint64
	seen     [endpoints]map[uint64]bool
}

func (ref *referenceIndex) reset(at int) {
	ref.held[at] = make(map[tables.BlockHash]bool)
	ref.seen[at] = make(map[uint64]bool)
	ref.sequence[at] = 0
}

func (ref *referenceIndex) event(at int, e cacheview.Event) {
	if ref.seen[at][e.Sequence] {
		return
	}
	ref.seen[at][e.Sequence] = true
	for _, hash := range e.Evicted {
		delete(ref.held[at], hash)
	}
	if e.Sequence < ref.sequence[at] {
		return
	}
	ref.sequence[at] = e.Sequence
	for _, hash := range e.Stored {
		ref.held[at][hash] = true
	}
}

func (ref *referenceIndex) depth(at int, blocks []tables.BlockHash) int {
	for depth := len(blocks); depth > 0; depth-- {
		if ref.held[at][blocks[depth-1]] {
			return depth
		}
	}
	return 0
}

// After placements, reordered events and restarts, an index that is large enough
// must contain exactly the entries of a set that forgets nothing.
func TestIndexMatchesReferenceSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := cacheview.New(cacheview.Options{Entries: 1 << 14})
		ref := &referenceIndex{}
		for at := range endpoints {
			index.SetEndpoint(tables.EndpointIndex(at), 1000)
			ref.reset(at)
		}
		block := rapid.Custom(func(t *rapid.T) tables.BlockHash {
			return tables.BlockHash(0x1234567) * tables.BlockHash(rapid.IntRange(1, 30).Draw(t, "block"))
		})
		now := time.Second
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at := rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")
			endpoint := tables.EndpointIndex(at)
			now += 10 * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				blocks := rapid.SliceOfN(block, 0, 4).Draw(t, "placed")
				index.RecordPlacement(now, endpoint, blocks)
				for _, hash := range blocks {
					ref.held[at][hash] = true
				}
			case 3, 4, 5:
				e := cacheview.Event{
					Sequence: uint64(rapid.IntRange(1, 40).Draw(t, "sequence")),
					Stored:   rapid.SliceOfN(block, 0, 3).Draw(t, "stored"),
					Evicted:  rapid.SliceOfN(block, 0, 3).Draw(t, "evicted"),
				}
				index.ApplyEvent(now, endpoint, e)
				ref.event(at, e)
			case 6:
				hash := block.Draw(t, "peer")
				index.RecordPeerReport(now, endpoint, hash)
				ref.held[at][hash] = true
			case 7:
				blocks := rapid.SliceOfN(block, 0, 4).Draw(t, "forgotten")
				index.RemoveBlocks(endpoint, blocks)
				for _, hash := range blocks {
					delete(ref.held[at], hash)
				}
			case 8:
				index.Reset(endpoint)
				ref.reset(at)
			case 9:
				index.Sweep(now, rapid.IntRange(1, index.BucketCount()).Draw(t, "sweep"))
			}
		}
		prompt := rapid.SliceOfN(block, 0, 6).Draw(t, "prompt")
		var m cacheview.Matches
		index.Match(now, prompt, &m)
		for at := range endpoints {
			want := ref.depth(at, prompt)
			got := m.ExpectedBlocks(tables.EndpointIndex(at))
			assert.Equal(t, got > 0, want > 0, "endpoint %d: got %v, want %d", at, got, want)
			assert.Assert(t, got <= float64(want)+1e-6, "endpoint %d: got %v, want at most %d", at, got, want)
		}
	})
}

func expectedBlocks(index *cacheview.Index, now tables.Instant, at tables.EndpointIndex, blocks ...tables.BlockHash) float64 {
	var m cacheview.Matches
	index.Match(now, blocks, &m)
	return m.ExpectedBlocks(at)
}

// Cache events are lost in transit. Evictions among them leave wrong entries, and
// requests placed by such entries wait for a prefill that placement did not
// expect. The confidence in entries that only the absence of eviction events
// supports must therefore fall.
func TestLostEventsLowerConfidence(t *testing.T) {
	index := cacheview.New(cacheview.Options{})
	index.SetEndpoint(0, 20)
	index.ApplyEvent(time.Second, 0, cacheview.Event{Sequence: 1, Stored: []tables.BlockHash{7}})
	now := time.Second
	hash := tables.BlockHash(1000)
	for sequence := range uint64(100) {
		now += 100 * time.Millisecond
		hash++
		index.ApplyEvent(now, 0, cacheview.Event{Sequence: 2 + sequence, Stored: []tables.BlockHash{hash}, Evicted: []tables.BlockHash{hash - 20}})
	}
	before := expectedBlocks(index, now, 0, 7)
	assert.Assert(t, before > 0.8, "no eviction was announced, but the expected blocks are %v", before)
	now += 100 * time.Millisecond
	index.ApplyEvent(now, 0, cacheview.Event{Sequence: 140})
	after := expectedBlocks(index, now+100*time.Millisecond, 0, 7)
	assert.Assert(t, after < 0.5*before, "expected blocks before the lost events %v, after them %v", before, after)
}

// Without cache events, no evictions are announced. An entry must lose all
// confidence by the time the cache has been filled twice.
func TestEntriesWithoutEventsLoseConfidence(t *testing.T) {
	index := cacheview.New(cacheview.Options{})
	index.SetEndpoint(0, 50)
	index.RecordPlacement(time.Second, 0, []tables.BlockHash{7})
	hash := tables.BlockHash(1000)
	now := time.Second
	for range 200 {
		now += 100 * time.Millisecond
		hash++
		index.RecordPlacement(now, 0, []tables.BlockHash{hash})
	}
	assert.Equal(t, expectedBlocks(index, now, 0, 7), 0.0)
	assert.Assert(t, expectedBlocks(index, now, 0, hash) > 0.5)
}

// Insertions beyond the capacity must not grow the index.
func TestMemoryIsConstant(t *testing.T) {
	index := cacheview.New(cacheview.Options{Entries: 64})
	index.SetEndpoint(0, 10)
	size := index.MemoryBytes()
	for i := range 10000 {
		index.RecordPeerReport(time.Second, 0, tables.BlockHash(i*7919))
	}
	assert.Equal(t, index.MemoryBytes(), size)
	assert.Equal(t, size, 64*cacheview.BytesPerEntry)
}
