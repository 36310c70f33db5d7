package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// An instance that becomes a scheduler must receive the complete cache contents. Otherwise all
// prompts are computed again after a restart, since the schedulers are not known yet when the
// caches are read.
func TestInventoryListsAllCachedParts(t *testing.T) {
	var inventory cacheInventory
	inventory.apply("e", []parts.Key{1, 2, 3}, nil, true)
	inventory.apply("e", []parts.Key{4}, []parts.Key{2}, false)
	inventory.apply("f", []parts.Key{9}, nil, true)
	all := inventory.holdings()
	assert.Equal(t, len(all), 2)
	assert.DeepEqual(t, all[0].Keys, []parts.Key{4, 3, 1})
	assert.DeepEqual(t, all[1].Keys, []parts.Key{9})
	inventory.apply("e", []parts.Key{7}, nil, true)
	assert.DeepEqual(t, inventory.holdings()[0].Keys, []parts.Key{7})
	inventory.retain(func(id tables.EndpointID) bool { return id == "f" })
	assert.Equal(t, len(inventory.holdings()), 1)
}

// The inventory must not grow with the number of parts that an endpoint has ever cached.
func TestInventoryIsBounded(t *testing.T) {
	var inventory cacheInventory
	for i := range 50 * maxReportedKeys {
		key := parts.Key(i)
		inventory.apply("e", []parts.Key{key}, []parts.Key{key - 10}, false)
	}
	assert.Assert(t, len(inventory.endpoints["e"].order) <= 2*maxReportedKeys)
	assert.Equal(t, len(inventory.holdings()[0].Keys), 10)
}
