package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

func TestAllInstancesDiscoverEachOther(t *testing.T) {
	for _, n := range []int{2, 9, 100} {
		w := newSimulation(t, n)
		w.runUntil(30*time.Second, "find each other", w.allAlive)
		assert.Equal(t, w.nodes[1].LoadShare(), 1/float64(n))
	}
}

// An instance stops without a word. Its part of the load and of every limit has
// to go to the others soon, and nobody else may be given up for it.
func TestStoppedInstanceIsDetected(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "find each other", w.allAlive)
	w.nodes[4].down = true
	w.runUntil(30*time.Second, "find the dead", func() bool { return w.allSee(4, Dead) })
	assert.Assert(t, w.allAlive())
}

func TestLeaveSpreadsPromptly(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "find each other", w.allAlive)
	w.send(w.nodes[4], w.nodes[4].Leave(w.now))
	w.nodes[4].down = true
	took := w.runUntil(30*time.Second, "hear of the leave", func() bool { return w.allSee(4, Left) })
	assert.Assert(t, took <= 3*time.Second, "%v", took)
}

// Datagrams from one instance to one other are lost in one direction. Everyone
// else reaches both, so neither may be given up.
func TestOneWayLossBetweenTwoInstances(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "find each other", w.allAlive)
	w.dropped = func(from, to int) bool { return from == 2 && to == 5 }
	for range 600 {
		w.step()
		for i := range w.nodes {
			assert.Assert(t, w.state(i, 2) != Dead && w.state(i, 5) != Dead, "after %v", w.now)
		}
	}
}

// An instance sends but hears nothing. The others give it up; it must not make
// them give up each other, and must be taken back when it hears again.
func TestInstanceWithoutInboundTrafficSpreadsNoSuspicion(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "find each other", w.allAlive)
	w.dropped = func(_, to int) bool { return to == 3 }
	w.runUntil(time.Minute, "give up the deaf one", func() bool { return w.allSee(3, Dead) })
	for range 600 {
		w.step()
		for i := range w.nodes {
			for j := range w.nodes {
				assert.Assert(t, i == 3 || j == 3 || w.state(i, j) != Dead, "%d holds %d for dead", i, j)
			}
		}
	}
	w.dropped = func(int, int) bool { return false }
	w.runUntil(time.Minute, "take it back", w.allAlive)
}

// Zones are cut off from each other for long and then find together again,
// though none of the seeds lies in the second one.
func TestPartitionedZonesRejoin(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "find each other", w.allAlive)
	w.dropped = func(from, to int) bool { return (from < 3) != (to < 3) }
	w.runUntil(2*time.Minute, "hold the other zone for dead", func() bool { return w.state(8, 0) == Dead && w.state(0, 8) == Dead })
	w.run(5 * time.Minute)
	assert.Equal(t, w.state(3, 8), Alive)
	w.dropped = func(int, int) bool { return false }
	w.runUntil(2*time.Minute, "find together", w.allAlive)
}

// All instances restart within one tick and ask the same seed for everything.
func TestSimultaneousRestart(t *testing.T) {
	w := newSimulation(t, 100)
	w.runUntil(time.Minute, "find each other", w.allAlive)
	for i := range w.nodes {
		w.boot(i)
	}
	w.runUntil(time.Minute, "find each other again", w.allAlive)
}

// Every fifth datagram is lost. Suspicions come up and are refuted in time.
func TestRandomLossCausesNoFalseDeaths(t *testing.T) {
	w := newSimulation(t, 30)
	random := rand.New(rand.NewPCG(1, 2))
	w.runUntil(time.Minute, "find each other", w.allAlive)
	w.dropped = func(int, int) bool { return random.IntN(5) == 0 }
	for range 3000 {
		w.step()
		for i := range w.nodes {
			for j := range w.nodes {
				assert.Assert(t, w.state(i, j) <= Suspect, "%d holds %d for dead at %v", i, j, w.now)
			}
		}
	}
}

// A restarted instance comes back after its wall clock was set back, with a
// lower boot number. The others must not take it for its former self.
func TestBootNumberRegression(t *testing.T) {
	w := newSimulation(t, 5)
	w.runUntil(30*time.Second, "find each other", w.allAlive)
	w.boots = 0
	w.boot(3)
	w.nodes[3].SetRevision(w.now, 7, time.Unix(1, 0))
	w.runUntil(30*time.Second, "see the new process", func() bool {
		row := w.nodes[1].members.byID[w.nodes[3].self.Instance]
		return row.State == Alive && row.Revision == 7 && row.Boot == w.nodes[3].self.Boot
	})
}

// The platform's list has an instance as leaving. While it answers it is alive;
// once it does not, nobody waits any longer.
func TestPlatformListShortensSuspicion(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "find each other", w.allAlive)
	for _, node := range w.nodes {
		var list []PlatformInstance
		for i, other := range w.nodes {
			list = append(list, PlatformInstance{Address: other.address, Leaving: i == 4})
		}
		node.SetPlatformList(list)
	}
	w.run(10 * time.Second)
	assert.Assert(t, w.allAlive())
	assert.Assert(t, w.nodes[0].Members()[4].Leaving)
	w.nodes[4].down = true
	took := w.runUntil(30*time.Second, "find the dead", func() bool { return w.allSee(4, Dead) })
	assert.Assert(t, took < w.nodes[0].suspicionTimeout()+2*time.Second, "%v", took)
}

func TestRevisionReachesAllInstances(t *testing.T) {
	w := newSimulation(t, 30)
	w.runUntil(time.Minute, "find each other", w.allAlive)
	w.send(w.nodes[7], w.nodes[7].SetRevision(w.now, 12, time.Unix(1, 0)))
	w.runUntil(time.Minute, "the revision reaches all", func() bool {
		for i, node := range w.nodes {
			if i != 7 && !node.newer.IsValid() {
				return false
			}
		}
		return true
	})
}

// Placements are told once and directly; every other living instance has them
// after one message, whatever does not fit into one datagram comes in a second.
func TestPlacementsReachEntryInstances(t *testing.T) {
	w := newSimulation(t, 5)
	w.runUntil(time.Minute, "find each other", w.allAlive)
	var placements []Placement
	for block := range 100 {
		placements = append(placements, Placement{Endpoint: "e1", Boot: "b", Block: tables.BlockHash(block)})
	}
	w.nodes[4].down = true
	w.runUntil(time.Minute, "find the dead", func() bool { return w.allSee(4, Dead) })
	w.send(w.nodes[2], w.nodes[2].SendHints(w.now, Hints{Placements: placements}))
	w.run(time.Second)
	for i, node := range w.nodes {
		want := 100
		if i == 2 || i == 4 {
			want = 0
		}
		assert.Equal(t, len(node.placements), want, "instance %d", i)
	}
}

// A zone reads a prompt. Beyond WideGroup instances the others are not told one by
// one; were they not told at all, each zone would read every prompt once more.
// One instance of each other zone passes the placement on, once.
func TestPlacementsReachOtherZones(t *testing.T) {
	w := newZonedSimulation(t, 3*FullMeshLimit, 3)
	w.runUntil(2*time.Minute, "find each other", w.allAlive)
	placements := []Placement{{Endpoint: "e1", Block: 7}}
	w.send(w.nodes[2], w.nodes[2].SendHints(w.now, Hints{Placements: placements}))
	w.send(w.nodes[2], w.nodes[2].SendPlacementsToOtherZones(w.now, placements))
	w.run(time.Second)
	relays := 0
	for _, node := range w.nodes {
		if !node.relay {
			continue
		}
		relays++
		w.send(node, node.SendHints(w.now, Hints{Placements: node.placements}))
	}
	assert.Equal(t, relays, 2)
	w.run(time.Second)
	for i, node := range w.nodes {
		if i != 2 {
			assert.Equal(t, len(node.placements), 1, "instance %d", i)
		}
	}
}

// The limit for all control traffic of an instance is 29 KB a second at 340
// instances. Failure detection must stay far below it, whatever the size.
func TestTrafficDoesNotGrowWithGroupSize(t *testing.T) {
	perSecond := func(n int) (bytes, datagrams float64) {
		w := newSimulation(t, n)
		w.runUntil(2*time.Minute, "find each other", w.allAlive)
		w.bytesSent, w.datagramsSent = 0, 0
		w.run(20 * time.Second)
		seconds := 20 * float64(n)
		return float64(w.bytesSent) / seconds, float64(w.datagramsSent) / seconds
	}
	_, few := perSecond(40)
	bytes, many := perSecond(160)
	assert.Assert(t, many < 1.1*few, "%.2f datagrams a second with 160, %.2f with 40", many, few)
	assert.Assert(t, bytes < 3000, "%.0f bytes a second", bytes)
}

func TestMalformedDatagramIsRejected(t *testing.T) {
	w := newSimulation(t, 2)
	_, err := w.nodes[0].Receive(0, w.nodes[1].address, []byte{0xff})
	assert.ErrorContains(t, err, "cannot be read")
	_, err = w.nodes[0].Receive(0, w.nodes[1].address, nil)
	assert.ErrorContains(t, err, "no sender")
}
