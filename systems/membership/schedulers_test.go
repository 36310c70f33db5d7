package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// isScheduler reports whether the instance considers itself a scheduler.
func (n *node) isScheduler() bool {
	for _, s := range n.Schedulers() {
		if s.Instance == n.self.Instance {
			return true
		}
	}
	return false
}

// TestZoneAgreesOnSchedulers guards against choices that are spread over instances
// which do not know of each other's choices, because their views elect different
// schedulers.
func TestZoneAgreesOnSchedulers(t *testing.T) {
	sim := newSimulationWithSchedulers(t, 4*FullMeshLimit, 3, true)
	sim.runUntil(2*time.Minute, "discover each other", sim.allAlive)
	byZone := map[tables.Zone][]EntryInstance{}
	for _, node := range sim.nodes {
		zone := node.self.Zone
		if byZone[zone] == nil {
			byZone[zone] = node.Schedulers()
		}
		assert.Assert(t, len(byZone[zone]) == 2, "got %d schedulers for 32 instances of a zone, want 2", len(byZone[zone]))
		assert.DeepEqual(t, node.Schedulers()[0].Instance, byZone[zone][0].Instance)
		assert.DeepEqual(t, node.Schedulers()[1].Instance, byZone[zone][1].Instance)
	}
	assert.Equal(t, len(byZone), 3)
}

// TestSmallGroupHasNoSchedulers guards against the extra hop to a scheduler in groups where
// each instance receives all choices anyway.
func TestSmallGroupHasNoSchedulers(t *testing.T) {
	sim := newSimulationWithSchedulers(t, FullMeshLimit, 3, true)
	sim.runUntil(2*time.Minute, "discover each other", sim.allAlive)
	for _, node := range sim.nodes {
		assert.Equal(t, len(node.Schedulers()), 0)
		assert.Equal(t, node.HintReceiverCount(), FullMeshLimit-1)
	}
}

// TestDeadSchedulerIsReplaced guards against a zone that keeps sending requests to
// a scheduler that is dead.
func TestDeadSchedulerIsReplaced(t *testing.T) {
	sim := newSimulationWithSchedulers(t, 4*FullMeshLimit, 3, true)
	sim.runUntil(2*time.Minute, "discover each other", sim.allAlive)
	gone := sim.nodes[0].Schedulers()[0].Instance
	for i, node := range sim.nodes {
		if node.self.Instance == gone {
			node.down = true
			sim.runUntil(time.Minute, "detect the stopped scheduler", func() bool { return sim.allSee(i, Dead) })
		}
	}
	for _, node := range sim.nodes {
		for _, s := range node.Schedulers() {
			assert.Assert(t, node.down || s.Instance != gone)
		}
	}
}

// TestPlacementsReachRemoteSchedulers guards against a prompt that each zone
// computes again because its schedulers did not receive the placement, and against
// hints to instances that choose no endpoints.
func TestPlacementsReachRemoteSchedulers(t *testing.T) {
	sim := newSimulationWithSchedulers(t, 3*FullMeshLimit, 3, true)
	sim.runUntil(2*time.Minute, "discover each other", sim.allAlive)
	placements := []Placement{{Endpoint: "e1", Block: 7}}
	sim.send(sim.nodes[2], sim.nodes[2].SendHints(sim.now, Hints{Placements: placements}))
	sim.send(sim.nodes[2], sim.nodes[2].SendPlacementsToOtherZones(sim.now, placements))
	sim.run(time.Second)
	relays := 0
	for _, node := range sim.nodes {
		if node.relay {
			relays++
			assert.Assert(t, node.isScheduler())
			sim.send(node, node.SendHints(sim.now, Hints{Placements: node.placements}))
		}
	}
	assert.Equal(t, relays, 2)
	sim.run(time.Second)
	for i, node := range sim.nodes {
		want := 0
		if i != 2 && node.isScheduler() {
			want = 1
		}
		assert.Equal(t, len(node.placements), want, "instance %d", i)
	}
}

// TestLargestInstancesAreElectedSchedulers guards against schedulers on the
// smallest machines, which would delay the choices of the whole zone.
func TestLargestInstancesAreElectedSchedulers(t *testing.T) {
	var entries []*member
	for i, size := range []int{1, 1, 3, 1, 3, 1} {
		id := tables.InstanceID(rune('a' + i))
		entries = append(entries, &member{Member: Member{InstanceInfo: InstanceInfo{Instance: id, Size: size}}, hash: hashOf(id)})
	}
	picked := electSchedulers(entries)
	assert.Equal(t, len(picked), 2)
	assert.Equal(t, picked[0].Size, 3)
	assert.Equal(t, picked[1].Size, 3)
}
