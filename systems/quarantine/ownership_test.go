package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against two suspects that meet again, and crash another engine together, because their
// instances own no engine and ignore the division.
func TestEachInstanceOwnsAnEqualPartOfTheEndpoints(t *testing.T) {
	engines := []tables.EndpointID{"engine-a1", "engine-a2", "engine-b1", "engine-b2", "engine-c1", "engine-c2"}
	owners := map[tables.EndpointID]int{}
	for rank := range 3 {
		d := New(Options{})
		d.SetRank(rank, 3)
		d.SetEndpoints([][]tables.EndpointID{engines, {"press-1", "press-2", "press-3"}})
		owned := 0
		for _, id := range engines {
			if d.Admits(0, id, AvoidSuspectsOwned) {
				owned++
				owners[id]++
			}
		}
		assert.Equal(t, owned, 2, "rank %d", rank)
	}
	for _, id := range engines {
		assert.Equal(t, owners[id], 1, "%s", id)
	}
}
