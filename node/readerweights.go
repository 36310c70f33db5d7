package node

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement/rendezvous"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// An instance that has been loaded for readerLoadedTime reads the cache events of fewer
	// endpoints: its weight is divided by loadedWeightDivisor, until it has not been loaded for
	// readerRestoreTime. Each move of an endpoint costs a listing of its whole cache.
	readerLoadedTime    = 5 * time.Second
	readerRestoreTime   = 10 * time.Second
	loadedWeightDivisor = 4
)

// readerWeights holds the weights of entry instances as readers of cache events. The zero value
// has seen no instance. It is not safe for concurrent use.
type readerWeights struct {
	states map[tables.InstanceID]readerLoad
}

// readerLoad is the load of an instance: whether it is loaded and since when, and whether its
// weight is reduced.
type readerLoad struct {
	loaded  bool
	since   tables.Instant
	reduced bool
}

// observe records which of the live entry instances are loaded, and forgets those that are gone.
func (w *readerWeights) observe(now tables.Instant, entries []membership.Member) {
	states := make(map[tables.InstanceID]readerLoad, len(entries))
	for i := range entries {
		m := &entries[i]
		state, known := w.states[m.Instance]
		if !known || state.loaded != m.Loaded {
			state.loaded, state.since = m.Loaded, now
		}
		if !known && m.Loaded {
			// The others may have reduced the weight already.
			state.reduced = true
		}
		if state.loaded && now-state.since >= readerLoadedTime {
			state.reduced = true
		}
		if !state.loaded && now-state.since >= readerRestoreTime {
			state.reduced = false
		}
		states[m.Instance] = state
	}
	w.states = states
}

// readerSelection returns the selection of readers among the live entry instances.
func (c *cacheSync) readerSelection() *readerSelector {
	entries := c.node.liveEntryMembers()
	if !c.node.sizes.enabled {
		return newReaderSelector(entries)
	}
	c.weights.observe(c.node.now(), entries)
	if !membership.SizesInUse(entries) {
		return newReaderSelector(entries)
	}
	return newWeightedReaderSelector(entries, c.weights.weight)
}

// weight returns the weight of an instance, at least 1.
func (w *readerWeights) weight(m *membership.Member) int {
	weight := rendezvous.Weight(m.Size)
	if w.states[m.Instance].reduced {
		return max(1, weight/loadedWeightDivisor)
	}
	return weight
}
