package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// BenchmarkPlace measures the cost of one placement by the number of endpoints, for a
// request whose outer part a third of them hold and whose inner part three hold. The p99
// is over single placements.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{9, 18, 140, 1100} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) { benchmarkPlace(b, n, newTestRequest) })
	}
}

// BenchmarkPlaceWithBackup measures the same with the choice of a backup.
func BenchmarkPlaceWithBackup(b *testing.B) {
	benchmarkPlace(b, 1100, func(part uint64) *Request {
		r := newTestRequest(part)
		r.Service, r.WantsBackup = backedModels, true
		return r
	})
}

func benchmarkPlace(b *testing.B, n int, newRequest func(part uint64) *Request) {
	d, _ := newTestDispatcher(n)
	d.SetInstanceCount(n / 2)
	const prompts = 200
	for i := range n {
		id := tables.EndpointID(fmt.Sprintf("e%d", i))
		var keys []parts.Key
		if i%3 == 0 {
			keys = append(keys, parts.ID(1).KeyAt(1))
		}
		for p := range prompts {
			if (p+i)%n < 3 {
				keys = append(keys, parts.ID(100+p).KeyAt(1))
			}
		}
		d.RecordCacheEvents(time.Second, id, keys, nil, true)
	}
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	now := 2 * time.Second
	for i := range b.N {
		r := newRequest(uint64(100 + i%prompts))
		now += time.Millisecond
		began := time.Now()
		a, _ := d.Place(now, r)
		times = append(times, time.Since(began))
		if a != nil {
			d.RecordOutcome(now, a, Completed)
		}
		_ = d.TakeCacheUpdates()
		_ = d.TakeLoadReports(now)
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

// BenchmarkPlaceWithEvictions measures the cost of one placement of a prompt that evicts requested
// parts at each of 1,100 endpoints, with the cost of that off and on. Each endpoint is the only
// holder of 20 parts that fill its memory. A placement is a millisecond after the one before.
func BenchmarkPlaceWithEvictions(b *testing.B) {
	const n, refreshInterval = 1100, 4 * time.Second
	service := *models
	service.KVCapacityTokens = 62_129
	for _, eviction := range []Switch{Off, On} {
		b.Run(fmt.Sprintf("eviction=%t", eviction == On), func(b *testing.B) {
			d, all := newTestDispatcher(n)
			options := d.options
			options.Capacity.Eviction = eviction
			d = New(options)
			d.SetEndpoints(all)
			d.SetInstanceCount(n / 2)
			b.ReportAllocs()
			now, refreshed := 2*time.Second, tables.Instant(0)
			for i := range b.N {
				if refreshed == 0 || now-refreshed > refreshInterval {
					b.StopTimer()
					fillMemories(d, now)
					refreshed = now
					b.StartTimer()
				}
				r := newTestRequest(uint64(100 + i%200))
				r.Service, r.PromptTokens = &service, 9000
				now += time.Millisecond
				if a, _ := d.Place(now, r); a != nil {
					d.RecordOutcome(now, a, Completed)
				}
				_ = d.TakeCacheUpdates()
				_ = d.TakeLoadReports(now)
			}
		})
	}
}

// fillMemories records 20 requested parts of 3,000 tokens at each endpoint, which no other one holds.
func fillMemories(d *Dispatcher, now tables.Instant) {
	for i, row := range d.services["models"] {
		for part := range 20 {
			key := parts.ID(1_000_000 + 20*i + part).KeyAt(1)
			d.cache.record(now, now, key, row)
			d.evictionDemand.record(now, key, 3000)
		}
	}
}

// BenchmarkRemovedParts measures the cost of one removal and one look-up in a full record.
func BenchmarkRemovedParts(b *testing.B) {
	var p removedParts
	for i := range b.N {
		p.add(time.Duration(i), parts.ID(i).KeyAt(1), removedEvicted)
		_, _ = p.lookup(time.Duration(i), parts.ID(i/2).KeyAt(1))
	}
}

// BenchmarkPlaceBesideStreams measures the cost of one placement where streams run at all
// endpoints, with the cost of their pauses off and on. The request has a target gap.
func BenchmarkPlaceBesideStreams(b *testing.B) {
	for _, n := range []int{140, 1100} {
		for _, pauses := range []Switch{Off, On} {
			b.Run(fmt.Sprintf("endpoints=%d/pauses=%t", n, pauses == On), func(b *testing.B) {
				d, all := newTestDispatcher(n)
				d.options.Capacity.StreamPauses = pauses
				d.SetInstanceCount(n / 2)
				for id := range all {
					d.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: id, Running: 4, Streams: 3, PrefillTokens: 1000})
				}
				b.ReportAllocs()
				now := 2 * time.Second
				for i := range b.N {
					r := newTestRequest(uint64(100 + i%200))
					r.Route = &routes.Route{Kind: routes.Stream, TargetLatency: 600 * time.Millisecond, TargetEventGap: 500 * time.Millisecond}
					now += time.Millisecond
					if a, _ := d.Place(now, r); a != nil {
						d.RecordOutcome(now, a, Completed)
					}
					_ = d.TakeCacheUpdates()
					d.dirty = d.dirty[:0] // TakeLoadReports would let the other instance's reports expire
				}
			})
		}
	}
}

// BenchmarkFullDirectory measures the record that makes a directory of valid parts remove all.
func BenchmarkFullDirectory(b *testing.B) {
	d, _ := newTestDispatcher(2)
	for range b.N {
		b.StopTimer()
		fillDirectory(d, time.Second)
		b.StartTimer()
		d.cache.record(time.Second, time.Second, parts.ID(2).KeyAt(1), d.endpoints["e0"])
	}
}
