package datagram

import "testing"

// BenchmarkPick measures the choice of an owner among the 59 instances of a zone.
func BenchmarkPick(b *testing.B) {
	for name, entries := range map[string]int{"equal": 1, "sizes": 2} {
		all := entriesOfSizes([]int{48, 14}[:entries]...)
		b.Run(name, func(b *testing.B) {
			for key := range uint64(b.N) {
				PickWeighted(key, all, none)
			}
		})
	}
}
