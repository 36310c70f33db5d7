package membership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// countLoaded returns how many instances take the first one for loaded.
func (s *simulation) countLoaded() int {
	count := 0
	for _, node := range s.nodes {
		if row := node.members.byID[s.nodes[0].self.Instance]; row != nil && row.Loaded {
			count++
		}
	}
	return count
}

// Guards against a change of the load that some instances never learn of, and one that counts as a
// failure of the instance.
func TestLoadReachesAllInstances(t *testing.T) {
	const instances = 59
	sim := newZonedSimulation(t, instances, 3)
	sim.runUntil(2*time.Minute, "discover each other", sim.allAlive)
	for _, loaded := range []bool{true, false} {
		versions := sim.nodes[7].Version()
		sim.send(sim.nodes[0], sim.nodes[0].SetLoaded(sim.now, loaded))
		sim.runUntil(sim.now+10*time.Second, "learn of the load", func() bool { return sim.countLoaded() == map[bool]int{true: instances}[loaded] })
		assert.Equal(t, sim.nodes[7].Version(), versions)
	}
}

// Guards against instances that choose by size while others, where that is switched off, do not.
func TestSizesCountOnceAllInstancesUseThem(t *testing.T) {
	options := func(id tables.InstanceID, use bool) Options {
		return Options{UseSizes: use, Self: InstanceInfo{Instance: id, Zone: "a", Roles: RoleEntry, Size: 48, Boot: 1, Address: netip.MustParseAddrPort("10.0.0.1:1")}}
	}
	for _, one := range []struct{ use, otherUses bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		m, other := New(options("i", one.use)), New(options("j", one.otherUses))
		m.merge(0, decodeRow(encodeRow(other.self)))
		inUse := one.use && one.otherUses
		assert.Equal(t, SizesInUse(m.Members()), inUse)
		for _, entry := range m.EntriesByZone()["a"] {
			assert.Equal(t, entry.Size, 48)
			assert.Equal(t, entry.Weight, map[bool]int{true: 48}[inUse])
		}
	}
}
