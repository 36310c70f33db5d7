package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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

// Guards against sizes that count at an instance where they are switched off.
func TestEntriesHaveSizesOnlyWithTheSwitch(t *testing.T) {
	for _, on := range []bool{false, true} {
		m := New(Options{UseSizes: on, Self: InstanceInfo{Instance: "i", Zone: "a", Roles: RoleEntry, Size: 48}})
		m.SetLoaded(0, true)
		entry := m.EntriesByZone()["a"][0]
		assert.Equal(t, entry.Size, map[bool]int{true: 48}[on])
		assert.Equal(t, entry.Loaded, on)
	}
}
