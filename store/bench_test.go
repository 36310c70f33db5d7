package store

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/replog"
)

// BenchmarkSave writes entries of 200 bytes with real syncs. The entries of one
// write share a sync; compare entries/s of the batch sizes.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) { benchmarkSave(b, batch) })
	}
}

func benchmarkSave(b *testing.B, batch int) {
	l := createAt(b, osFileSystem{}, b.TempDir())
	l.segmentBytes = defaultSegmentBytes
	defer l.Close()
	hard := replog.HardState{Term: 2}
	index := uint64(2)
	b.ResetTimer()
	for range b.N {
		es := make([]replog.Entry, batch)
		for i := range es {
			es[i] = entry(2, index)
			index++
		}
		assert.NilError(b, l.Save(newReady(hard, es...)))
	}
	b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "entries/s")
}

// BenchmarkOpen starts a replica from logs of entries of 200 bytes and reports
// the size of the log per entry.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{1_400, 140_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) { benchmarkOpen(b, n, false) })
		b.Run(fmt.Sprintf("entries=%d,snapshot", n), func(b *testing.B) { benchmarkOpen(b, n, true) })
	}
}

const benchStateBytes = 64 << 10

func benchmarkOpen(b *testing.B, n int, compacted bool) {
	dir := b.TempDir()
	fillBenchLog(b, dir, n, compacted)
	size := int64(0)
	b.ResetTimer()
	for range b.N {
		l := openAt(b, osFileSystem{}, dir)
		saved, err := l.Load()
		assert.NilError(b, err)
		_, err = replog.NewNode(replog.Config{ID: testIdentity.Replica}, saved)
		assert.NilError(b, err)
		size = 0
		for _, s := range l.segments {
			size += s.size
		}
		assert.NilError(b, l.Close())
	}
	b.ReportMetric(float64(size)/float64(n), "log-bytes/entry")
}

// fillBenchLog writes n entries in batches of 64. If compacted is set, a
// snapshot covers all but the last 100 of them.
func fillBenchLog(b *testing.B, dir string, n int, compacted bool) {
	l := createAt(b, osFileSystem{}, dir)
	l.segmentBytes = defaultSegmentBytes
	hard := replog.HardState{Term: 2}
	for i := 0; i < n; {
		var es []replog.Entry
		for ; len(es) < 64 && i < n; i++ {
			es = append(es, entry(2, uint64(i+2)))
		}
		assert.NilError(b, l.Save(newReady(hard, es...)))
	}
	if compacted {
		s := replog.Snapshot{Index: uint64(n - 100), Term: 2, Data: make([]byte, benchStateBytes)}
		assert.NilError(b, l.Compact(s))
	}
	assert.NilError(b, l.Close())
}
