package homes_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/placement/homes"
	"github.com/carawaystile/carawaystile/tables"
)

func members(n int) []homes.Member {
	var list []homes.Member
	for i := range n {
		list = append(list, homes.Member{ID: tables.EndpointID(fmt.Sprint("e", i)), Index: tables.EndpointIndex(i), Weight: float64(1 + i%2)})
	}
	return list
}

// When an endpoint leaves, only its prefixes may move. If prefixes of others
// moved too, the whole fleet would recompute its prefixes.
func TestRemovingMemberMovesOnlyItsPrefixes(t *testing.T) {
	before := homes.New(members(10))
	after := homes.New(members(10)[:9])
	for hash := range tables.BlockHash(20000) {
		if home := before.Home(hash, 0); home != 9 {
			assert.Equal(t, after.Home(hash, 0), home)
		}
	}
}

// The number of prefixes of a member must be proportional to its weight.
func TestPrefixesAreDistributedByWeight(t *testing.T) {
	table := homes.New(members(10))
	counts := make([]int, 10)
	const prefixes = 150000
	for hash := range tables.BlockHash(prefixes) {
		counts[table.Home(hash*7919, 0)]++
	}
	for i, count := range counts {
		want := prefixes / 15 * (1 + i%2)
		assert.Assert(t, count > want*7/10 && count < want*13/10, "%d: %d, want about %d", i, count, want)
	}
}

func TestEmptyTableAndHasMembers(t *testing.T) {
	assert.Equal(t, homes.New(nil).Home(1, 0), tables.NoEndpoint)
	assert.Assert(t, homes.New(members(3)).HasMembers(members(3)))
	assert.Assert(t, !homes.New(members(3)).HasMembers(members(4)))
}
