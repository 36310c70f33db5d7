package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkUpdates measures the cost, to a control instance with 100 replicas, of the deltas
// after one change of an endpoint, and of full updates for as many replicas that have just started.
func BenchmarkUpdates(b *testing.B) {
	const replicas = 100
	for _, endpoints := range []int{100, 1_000, 3_000} {
		table := NewTable(1)
		var all []Endpoint
		for i := range endpoints {
			all = append(all, engine(fmt.Sprintf("i-%08x", uint32(i)*2654435761), 1))
		}
		table.ApplyList(all)
		weights := uint64(1)
		b.Run(fmt.Sprintf("change/endpoints=%d", endpoints), func(b *testing.B) {
			for i := range b.N {
				_, before := position(table)
				weights++
				table.RecordWeights(all[i%endpoints].ID, 0, "m", weights)
				for range replicas {
					update, _ := table.UpdateSince(1, before)
					if len(update.GetEndpoints()) != 1 {
						b.Fatal(len(update.GetEndpoints()))
					}
				}
			}
		})
		b.Run(fmt.Sprintf("all/endpoints=%d", endpoints), func(b *testing.B) {
			for range b.N {
				for range replicas {
					update, _ := table.UpdateSince(0, 0)
					if len(update.GetEndpoints()) != endpoints {
						b.Fatal(len(update.GetEndpoints()))
					}
				}
			}
		})
	}
}

// position returns the position of an up-to-date replica.
func position(t *Table) (source, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.source, t.version
}
