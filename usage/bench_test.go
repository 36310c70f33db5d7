package usage

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDebit is the cost of one decision at an accountant of all organisations.
func BenchmarkDebit(b *testing.B) {
	for _, organisations := range []int{16, 8600} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			a, ids := accounts(organisations)
			now := time.Second
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				a.Debit(now, "i", Debit{Subject: ids[i%len(ids)], Cost: 900})
			}
		})
	}
}

// BenchmarkAccountMemory is the memory of an account in use.
func BenchmarkAccountMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		a, ids := accounts(8600)
		for _, id := range ids {
			a.Debit(time.Second, "i", Debit{Subject: id, Cost: 900})
			a.ApplyReport(time.Second, "remote", Report{Subject: id, BootEpoch: 1})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(ids)), "bytes/account")
		runtime.KeepAlive(a)
	}
}

func accounts(n int) (*BucketOwner, []Subject) {
	limits := map[Subject]Limit{}
	var ids []Subject
	for i := range n {
		id := Subject(fmt.Sprint("org-", i))
		limits[id] = limit
		ids = append(ids, id)
	}
	a := NewBucketOwner(0, "z", 1)
	a.SetLimits(limits)
	return a, ids
}
