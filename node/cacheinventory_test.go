package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// TestInventoryListsAllCachedParts guards against prompts that are all read again
// after a restart, since those that choose were not known when caches were read.
func TestInventoryListsAllCachedParts(t *testing.T) {
	var k cacheInventory
	k.apply("e", []parts.Key{1, 2, 3}, nil, true)
	k.apply("e", []parts.Key{4}, []parts.Key{2}, false)
	k.apply("f", []parts.Key{9}, nil, true)
	all := k.holdings()
	assert.Equal(t, len(all), 2)
	assert.DeepEqual(t, all[0].Keys, []parts.Key{4, 3, 1})
	assert.DeepEqual(t, all[1].Keys, []parts.Key{9})
	k.apply("e", []parts.Key{7}, nil, true)
	assert.DeepEqual(t, k.holdings()[0].Keys, []parts.Key{7})
	k.retain(func(id tables.EndpointID) bool { return id == "f" })
	assert.Equal(t, len(k.holdings()), 1)
}

// TestInventoryIsBounded guards against an instance that remembers every part that ever
// was at an endpoint.
func TestInventoryIsBounded(t *testing.T) {
	var k cacheInventory
	for i := range 50 * maxReportedKeys {
		key := parts.Key(i)
		k.apply("e", []parts.Key{key}, []parts.Key{key - 10}, false)
	}
	assert.Assert(t, len(k.endpoints["e"].order) <= 2*maxReportedKeys)
	assert.Equal(t, len(k.holdings()[0].Keys), 10)
}
