package node

import (
	"maps"
	"slices"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// cacheInventory is what the endpoints keep that this instance reads, by their own reports. It is
// sent to every instance that begins to choose: after a restart of all instances the
// readers know of caches before they know who chooses.
type cacheInventory struct {
	endpoints map[tables.EndpointID]*endpointInventory
}

type endpointInventory struct {
	keys map[parts.Key]struct{}
	// order has the keys as they came; some may be gone from keys.
	order []parts.Key
}

// apply takes an endpoint's report; all is set if it is about everything that it keeps.
func (c *cacheInventory) apply(id tables.EndpointID, stored, dropped []parts.Key, all bool) {
	if c.endpoints == nil {
		c.endpoints = map[tables.EndpointID]*endpointInventory{}
	}
	p := c.endpoints[id]
	if p == nil || all {
		p = &endpointInventory{keys: map[parts.Key]struct{}{}}
		c.endpoints[id] = p
	}
	for _, key := range dropped {
		delete(p.keys, key)
	}
	for _, key := range stored {
		if _, known := p.keys[key]; !known {
			p.keys[key] = struct{}{}
			p.order = append(p.order, key)
		}
	}
	if len(p.order) > 2*maxReportedKeys {
		p.order = slices.DeleteFunc(p.order, func(key parts.Key) bool {
			_, there := p.keys[key]
			return !there
		})
	}
}

// retain forgets endpoints that are not read any more.
func (c *cacheInventory) retain(read func(tables.EndpointID) bool) {
	maps.DeleteFunc(c.endpoints, func(id tables.EndpointID, _ *endpointInventory) bool { return !read(id) })
}

// holdings lists what each endpoint keeps, the newest parts where they are many.
func (c *cacheInventory) holdings() []dispatch.EndpointCache {
	var all []dispatch.EndpointCache
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		p := c.endpoints[id]
		one := dispatch.EndpointCache{Endpoint: id}
		for _, key := range slices.Backward(p.order) {
			if _, there := p.keys[key]; there && len(one.Keys) < maxReportedKeys {
				one.Keys = append(one.Keys, key)
			}
		}
		all = append(all, one)
	}
	return all
}
