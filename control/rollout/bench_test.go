package rollout

import (
	"fmt"
	"testing"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// BenchmarkNextActionsConverged measures one planning step when all engines
// serve the target versions.
func BenchmarkNextActionsConverged(b *testing.B) {
	for _, engines := range []int{100, 1_000, 3_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			p := NewPlanner()
			p.SetTarget("m", 2)
			var all []fleet.Endpoint
			for i := range engines {
				all = append(all, fleet.Endpoint{
					ID: tables.EndpointID(fmt.Sprintf("i-%08x", uint32(i)*2654435761)), Zone: tables.Zone([]string{"a", "b", "c"}[i%3]),
					StartUnixMilli: 1, Weights: map[string]uint64{"m": 2},
				})
			}
			p.UpdateEndpoints(all)
			for b.Loop() {
				if actions := p.NextActions(1); len(actions) > 0 {
					b.Fatal(actions)
				}
			}
		})
	}
}
