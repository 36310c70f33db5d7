package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/feed"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// entryMembers returns a number of entry instances in each of the given zones.
func entryMembers(perZone int, zones ...tables.Zone) []membership.Member {
	var all []membership.Member
	for _, zone := range zones {
		for i := range perZone {
			all = append(all, membership.Member{InstanceInfo: membership.InstanceInfo{
				Instance: tables.InstanceID(fmt.Sprintf("%s-%d", zone, i)), Zone: zone,
			}})
		}
	}
	return all
}

// An engine serves few readers, and traffic between zones is expensive. Each engine must have
// exactly one reader, in its own zone if that has entry instances.
func TestEngineHasOneReaderInItsZone(t *testing.T) {
	all := entryMembers(3, "a", "b")
	count := map[tables.InstanceID]int{}
	for i := range 60 {
		id := tables.EndpointID(fmt.Sprintf("e%d", i))
		reader := newReaderSelector(all).readerOf(id, "b")
		assert.Equal(t, reader[0], byte('b'))
		assert.Equal(t, newReaderSelector(all).readerOf(id, "b"), reader)
		count[reader]++
	}
	for id, n := range count {
		assert.Assert(t, n > 5, "%s reads %d of 60", id, n)
	}
	assert.Assert(t, newReaderSelector(all).readerOf("e1", "c") != "", "an endpoint in a zone without entry instances has no reader")
}

// When a reader leaves, only its engines may move to other readers. Each move costs an engine
// a full listing of its cache.
func TestLostReaderMovesOnlyItsOwnEngines(t *testing.T) {
	all := entryMembers(4, "a")
	for i := range 40 {
		id := tables.EndpointID(fmt.Sprintf("e%d", i))
		before := newReaderSelector(all).readerOf(id, "a")
		after := newReaderSelector(all[1:]).readerOf(id, "a")
		if before != all[0].Instance {
			assert.Equal(t, after, before)
		}
	}
}

// A part is stored, evicted and stored again within one response. If the order of the changes
// were ignored, the reader would report a part that has been evicted, or omit one that is
// cached.
func TestNetChangesKeepLastStateOfEachPart(t *testing.T) {
	change := func(storedBlock, evictedBlock tables.BlockHash) engine.CacheChange {
		var c engine.CacheChange
		if storedBlock != 0 {
			c.Stored = []tables.BlockHash{storedBlock}
		}
		if evictedBlock != 0 {
			c.Evicted = []tables.BlockHash{evictedBlock}
		}
		return c
	}
	stored, evicted := netChanges(feed.CacheBatch{Changes: []engine.CacheChange{change(1, 0), change(2, 0), change(0, 1), change(0, 3), change(1, 0), change(0, 2)}})
	assert.DeepEqual(t, stored, []parts.Key{1})
	assert.DeepEqual(t, evicted, []parts.Key{2, 3})
}
