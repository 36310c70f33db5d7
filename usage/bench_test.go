package usage

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDebit measures the cost of one decision by the owner of all organisations'
// buckets.
func BenchmarkDebit(b *testing.B) {
	for _, organisations := range []int{16, 8600} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			owner, ids := ownerWithLimits(organisations)
			now := time.Second
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				owner.Debit(now, "i", Debit{Subject: ids[i%len(ids)], Cost: 900})
			}
		})
	}
}

// BenchmarkAccountMemory measures the memory that a bucket in use takes.
func BenchmarkAccountMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		owner, ids := ownerWithLimits(8600)
		for _, id := range ids {
			owner.Debit(time.Second, "i", Debit{Subject: id, Cost: 900})
			owner.ApplyReport(time.Second, "remote", Report{Subject: id, BootEpoch: 1})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(ids)), "bytes/account")
		runtime.KeepAlive(owner)
	}
}

// ownerWithLimits returns an owner with limits for n organisations, and their subjects.
func ownerWithLimits(n int) (*BucketOwner, []Subject) {
	limits := map[Subject]Limit{}
	var ids []Subject
	for i := range n {
		id := Subject(fmt.Sprint("org-", i))
		limits[id] = limit
		ids = append(ids, id)
	}
	owner := NewBucketOwner(0, "z", 1)
	owner.SetLimits(limits)
	return owner, ids
}
