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

// The seed is fixed, so that a change is judged the same way every time.
func init() { _ = flag.Set("rapid.seed", "1") }

const endpoints = 12

// naive knows exactly which blocks each endpoint was said to hold.
type naive struct {
	held     [endpoints]map[tables.BlockHash]bool
	sequence [endpoints]uint64
	seen     [endpoints]map[uint64]bool
}

func (n *naive) reset(at int) {
	n.held[at] = make(map[tables.BlockHash]bool)
	n.seen[at] = make(map[uint64]bool)
	n.sequence[at] = 0
}

func (n *naive) event(at int, e cacheview.Event) {
	if n.seen[at][e.Sequence] {
		return
	}
	n.seen[at][e.Sequence] = true
	for _, hash := range e.Evicted {
		delete(n.held[at], hash)
	}
	if e.Sequence < n.sequence[at] {
		return
	}
	n.sequence[at] = e.Sequence
	for _, hash := range e.Stored {
		n.held[at][hash] = true
	}
}

func (n *naive) depth(at int, blocks []tables.BlockHash) int {
	for depth := len(blocks); depth > 0; depth-- {
		if n.held[at][blocks[depth-1]] {
			return depth
		}
	}
	return 0
}

// Placements, events in any order and restarts must leave a view that is large
// enough with exactly the rows of a set that forgets nothing.
func TestViewAgreesWithSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := cacheview.New(cacheview.Options{Entries: 1 << 14})
		n := &naive{}
		for at := range endpoints {
			v.SetEndpoint(tables.EndpointIndex(at), 1000)
			n.reset(at)
		}
		block := rapid.Custom(func(t *rapid.T) tables.BlockHash {
			return tables.BlockHash(0x1234567) * tables.BlockHash(rapid.IntRange(1, 30).Draw(t, "block"))
		})
		now := time.Second
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at := rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")
			index := tables.EndpointIndex(at)
			now += 10 * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				blocks := rapid.SliceOfN(block, 0, 4).Draw(t, "placed")
				v.RecordPlacement(now, index, blocks)
				for _, hash := range blocks {
					n.held[at][hash] = true
				}
			case 3, 4, 5:
				e := cacheview.Event{
					Sequence: uint64(rapid.IntRange(1, 40).Draw(t, "sequence")),
					Stored:   rapid.SliceOfN(block, 0, 3).Draw(t, "stored"),
					Evicted:  rapid.SliceOfN(block, 0, 3).Draw(t, "evicted"),
				}
				v.ApplyEvent(now, index, e)
				n.event(at, e)
			case 6:
				hash := block.Draw(t, "peer")
				v.RecordPeerReport(now, index, hash)
				n.held[at][hash] = true
			case 7:
				blocks := rapid.SliceOfN(block, 0, 4).Draw(t, "forgotten")
				v.RemoveBlocks(index, blocks)
				for _, hash := range blocks {
					delete(n.held[at], hash)
				}
			case 8:
				v.Reset(index)
				n.reset(at)
			case 9:
				v.Sweep(now, rapid.IntRange(1, v.BucketCount()).Draw(t, "sweep"))
			}
		}
		prompt := rapid.SliceOfN(block, 0, 6).Draw(t, "prompt")
		var m cacheview.Matches
		v.Match(now, prompt, &m)
		for at := range endpoints {
			want := n.depth(at, prompt)
			got := m.ExpectedBlocks(tables.EndpointIndex(at))
			assert.Equal(t, got > 0, want > 0, "endpoint %d: got %v, want %d", at, got, want)
			assert.Assert(t, got <= float64(want)+1e-6, "endpoint %d: got %v, want %d", at, got, want)
		}
	})
}

func expected(v *cacheview.Index, now tables.Instant, at tables.EndpointIndex, blocks ...tables.BlockHash) float64 {
	var m cacheview.Matches
	v.Match(now, blocks, &m)
	return m.ExpectedBlocks(at)
}

// An instance loses cache events on the way. Evictions among them leave rows
// that are wrong; requests sent there would wait for a prefill that placement
// did not count on, so rows that only the silence of events vouches for must
// count for less.
func TestLostEventsLowerConfidence(t *testing.T) {
	v := cacheview.New(cacheview.Options{})
	v.SetEndpoint(0, 20)
	v.ApplyEvent(time.Second, 0, cacheview.Event{Sequence: 1, Stored: []tables.BlockHash{7}})
	now := time.Second
	hash := tables.BlockHash(1000)
	for sequence := range uint64(100) {
		now += 100 * time.Millisecond
		hash++
		v.ApplyEvent(now, 0, cacheview.Event{Sequence: 2 + sequence, Stored: []tables.BlockHash{hash}, Evicted: []tables.BlockHash{hash - 20}})
	}
	before := expected(v, now, 0, 7)
	assert.Assert(t, before > 0.8, "an eviction would have been announced: %v", before)
	now += 100 * time.Millisecond
	v.ApplyEvent(now, 0, cacheview.Event{Sequence: 140})
	after := expected(v, now+100*time.Millisecond, 0, 7)
	assert.Assert(t, after < 0.5*before, "before %v, after %v", before, after)
}

// Without events nobody tells of evictions. A row must lose its worth by the
// time the cache has been filled twice over.
func TestRowsWithoutEventsDecayUnderPressure(t *testing.T) {
	v := cacheview.New(cacheview.Options{})
	v.SetEndpoint(0, 50)
	v.RecordPlacement(time.Second, 0, []tables.BlockHash{7})
	hash := tables.BlockHash(1000)
	now := time.Second
	for range 200 {
		now += 100 * time.Millisecond
		hash++
		v.RecordPlacement(now, 0, []tables.BlockHash{hash})
	}
	assert.Equal(t, expected(v, now, 0, 7), 0.0)
	assert.Assert(t, expected(v, now, 0, hash) > 0.5)
}

func TestMemoryIsBounded(t *testing.T) {
	v := cacheview.New(cacheview.Options{Entries: 64})
	v.SetEndpoint(0, 10)
	size := v.MemoryBytes()
	for i := range 10000 {
		v.RecordPeerReport(time.Second, 0, tables.BlockHash(i*7919))
	}
	assert.Equal(t, v.MemoryBytes(), size)
	assert.Equal(t, size, 64*cacheview.BytesPerEntry)
}
