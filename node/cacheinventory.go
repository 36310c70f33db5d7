package node

import (
	"maps"
	"slices"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// cacheInventory holds the cache contents of the endpoints that this instance reads, as the
// endpoints report them. Every instance that becomes a scheduler receives it: after a restart
// of all instances the readers know the caches before they know the schedulers. The zero value
// is empty.
type cacheInventory struct {
	endpoints map[tables.EndpointID]*endpointInventory
}

// endpointInventory is the set of keys in one endpoint's cache, in the order of their
// insertion.
type endpointInventory struct {
	keys map[parts.Key]struct{}
	// order lists the keys from the oldest to the newest. It may contain keys that have been
	// evicted, and contains a key twice that was stored again after an eviction.
	order []parts.Key
}

// apply records the changes of an endpoint's cache; all is set if stored is the complete
// cache. Once the order has more than 2*maxReportedKeys entries, evicted keys are removed from
// it.
func (c *cacheInventory) apply(id tables.EndpointID, stored, evicted []parts.Key, all bool) {
	if c.endpoints == nil {
		c.endpoints = map[tables.EndpointID]*endpointInventory{}
	}
	inventory := c.endpoints[id]
	if inventory == nil || all {
		inventory = &endpointInventory{keys: map[parts.Key]struct{}{}}
		c.endpoints[id] = inventory
	}
	for _, key := range evicted {
		delete(inventory.keys, key)
	}
	for _, key := range stored {
		if _, known := inventory.keys[key]; !known {
			inventory.keys[key] = struct{}{}
			inventory.order = append(inventory.order, key)
		}
	}
	if len(inventory.order) > 2*maxReportedKeys {
		inventory.order = slices.DeleteFunc(inventory.order, func(key parts.Key) bool {
			_, cached := inventory.keys[key]
			return !cached
		})
	}
}

// retain removes the endpoints that this instance no longer reads.
func (c *cacheInventory) retain(read func(tables.EndpointID) bool) {
	maps.DeleteFunc(c.endpoints, func(id tables.EndpointID, _ *endpointInventory) bool { return !read(id) })
}

// holdings lists the cache contents of each endpoint, newest first and at most
// maxReportedKeys.
func (c *cacheInventory) holdings() []dispatch.EndpointCache {
	var all []dispatch.EndpointCache
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		inventory := c.endpoints[id]
		contents := dispatch.EndpointCache{Endpoint: id}
		for _, key := range slices.Backward(inventory.order) {
			if _, cached := inventory.keys[key]; cached && len(contents.Keys) < maxReportedKeys {
				contents.Keys = append(contents.Keys, key)
			}
		}
		all = append(all, contents)
	}
	return all
}
