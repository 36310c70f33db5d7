package node

import (
	"maps"
	"slices"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// kept is what the endpoints keep that this instance reads, by their own reports. It is
// sent to every instance that begins to choose: after a restart of all instances the
// readers know of caches before they know who chooses.
type kept struct {
	endpoints map[tables.EndpointID]*keptParts
}

type keptParts struct {
	keys map[parts.Key]struct{}
	// order has the keys as they came; some may be gone from keys.
	order []parts.Key
}

// take takes an endpoint's report; all is set if it is about everything that it keeps.
func (k *kept) take(id tables.EndpointID, stored, dropped []parts.Key, all bool) {
	if k.endpoints == nil {
		k.endpoints = map[tables.EndpointID]*keptParts{}
	}
	p := k.endpoints[id]
	if p == nil || all {
		p = &keptParts{keys: map[parts.Key]struct{}{}}
		k.endpoints[id] = p
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
	if len(p.order) > 2*maxHoldings {
		p.order = slices.DeleteFunc(p.order, func(key parts.Key) bool {
			_, there := p.keys[key]
			return !there
		})
	}
}

// only forgets endpoints that are not read any more.
func (k *kept) only(read func(tables.EndpointID) bool) {
	maps.DeleteFunc(k.endpoints, func(id tables.EndpointID, _ *keptParts) bool { return !read(id) })
}

// holdings lists what each endpoint keeps, the newest parts where they are many.
func (k *kept) holdings() []dispatch.EndpointCache {
	var all []dispatch.EndpointCache
	for _, id := range slices.Sorted(maps.Keys(k.endpoints)) {
		p := k.endpoints[id]
		one := dispatch.EndpointCache{Endpoint: id}
		for _, key := range slices.Backward(p.order) {
			if _, there := p.keys[key]; there && len(one.Keys) < maxHoldings {
				one.Keys = append(one.Keys, key)
			}
		}
		all = append(all, one)
	}
	return all
}
