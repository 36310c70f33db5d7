package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against instances that do not find each other through the seed, or that
// disagree on their shares of the load.
func TestAllInstancesDiscoverEachOther(t *testing.T) {
	for _, n := range []int{2, 9, 100} {
		w := newSimulation(t, n)
		w.runUntil(30*time.Second, "discover each other", w.allAlive)
		assert.Equal(t, w.nodes[1].LoadShare(), 1/float64(n))
	}
}

// An instance stops without a leave message. Its share of the load and of every
// limit must pass to the others soon, and no other instance may be declared dead
// because of it.
func TestStoppedInstanceIsDetected(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "discover each other", w.allAlive)
	w.nodes[4].down = true
	w.runUntil(30*time.Second, "detect the stopped instance", func() bool { return w.allSee(4, Dead) })
	assert.Assert(t, w.allAlive())
}

// Guards against a leave that the others notice only through failure detection.
func TestLeaveSpreadsPromptly(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "discover each other", w.allAlive)
	w.send(w.nodes[4], w.nodes[4].Leave(w.now))
	w.nodes[4].down = true
	took := w.runUntil(30*time.Second, "learn of the leave", func() bool { return w.allSee(4, Left) })
	assert.Assert(t, took <= 3*time.Second, "%v", took)
}

// All datagrams from one instance to one other are lost, in this direction only.
// All other instances reach both, so neither may be declared dead.
func TestOneWayLossBetweenTwoInstances(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "discover each other", w.allAlive)
	w.dropped = func(from, to int) bool { return from == 2 && to == 5 }
	for range 600 {
		w.step()
		for i := range w.nodes {
			assert.Assert(t, w.state(i, 2) != Dead && w.state(i, 5) != Dead, "declared dead at %v", w.now)
		}
	}
}

// An instance sends datagrams but receives none. The others declare it dead. It
// must not make them declare each other dead, and must be accepted again once it
// receives datagrams.
func TestInstanceWithoutInboundTrafficSpreadsNoSuspicion(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "discover each other", w.allAlive)
	w.dropped = func(_, to int) bool { return to == 3 }
	w.runUntil(time.Minute, "declare the isolated instance dead", func() bool { return w.allSee(3, Dead) })
	for range 600 {
		w.step()
		for i := range w.nodes {
			for j := range w.nodes {
				assert.Assert(t, i == 3 || j == 3 || w.state(i, j) != Dead, "%d considers %d dead", i, j)
			}
		}
	}
	w.dropped = func(int, int) bool { return false }
	w.runUntil(time.Minute, "accept the instance again", w.allAlive)
}

// Zones are partitioned for minutes and must rejoin, although none of the seeds is
// in the second zone.
func TestPartitionedZonesRejoin(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "discover each other", w.allAlive)
	w.dropped = func(from, to int) bool { return (from < 3) != (to < 3) }
	w.runUntil(2*time.Minute, "declare the other zone dead", func() bool { return w.state(8, 0) == Dead && w.state(0, 8) == Dead })
	w.run(5 * time.Minute)
	assert.Equal(t, w.state(3, 8), Alive)
	w.dropped = func(int, int) bool { return false }
	w.runUntil(2*time.Minute, "rejoin", w.allAlive)
}

// All instances restart within one tick and request the full state from the same
// seed.
func TestSimultaneousRestart(t *testing.T) {
	w := newSimulation(t, 100)
	w.runUntil(time.Minute, "discover each other", w.allAlive)
	for i := range w.nodes {
		w.boot(i)
	}
	w.runUntil(time.Minute, "rediscover each other", w.allAlive)
}

// Every fifth datagram is lost. The suspicions that this causes must be refuted in
// time.
func TestRandomLossCausesNoFalseDeaths(t *testing.T) {
	w := newSimulation(t, 30)
	random := rand.New(rand.NewPCG(1, 2))
	w.runUntil(time.Minute, "discover each other", w.allAlive)
	w.dropped = func(int, int) bool { return random.IntN(5) == 0 }
	for range 3000 {
		w.step()
		for i := range w.nodes {
			for j := range w.nodes {
				assert.Assert(t, w.state(i, j) <= Suspect, "%d considers %d dead at %v", i, j, w.now)
			}
		}
	}
}

// An instance restarts with a lower boot number, since its wall clock was set back.
// The others must not take it for its earlier process.
func TestBootNumberRegression(t *testing.T) {
	w := newSimulation(t, 5)
	w.runUntil(30*time.Second, "discover each other", w.allAlive)
	w.boots = 0
	w.boot(3)
	w.nodes[3].SetRevision(w.now, 7, time.Unix(1, 0))
	w.runUntil(30*time.Second, "see the new process", func() bool {
		row := w.nodes[1].members.byID[w.nodes[3].self.Instance]
		return row.State == Alive && row.Revision == 7 && row.Boot == w.nodes[3].self.Boot
	})
}

// The platform's list marks an instance as leaving. It remains alive while it
// answers; once it stops, it is declared dead without waiting for the suspicion
// timeout.
func TestPlatformListShortensSuspicion(t *testing.T) {
	w := newSimulation(t, 9)
	w.runUntil(30*time.Second, "discover each other", w.allAlive)
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
	took := w.runUntil(30*time.Second, "detect the stopped instance", func() bool { return w.allSee(4, Dead) })
	assert.Assert(t, took < w.nodes[0].suspicionTimeout()+2*time.Second, "%v", took)
}

// Guards against a revision that does not reach instances without a connection to a
// control instance.
func TestRevisionReachesAllInstances(t *testing.T) {
	w := newSimulation(t, 30)
	w.runUntil(time.Minute, "discover each other", w.allAlive)
	w.send(w.nodes[7], w.nodes[7].SetRevision(w.now, 12, time.Unix(1, 0)))
	w.runUntil(time.Minute, "learn of the new revision", func() bool {
		for i, node := range w.nodes {
			if i != 7 && !node.newer.IsValid() {
				return false
			}
		}
		return true
	})
}

// Placements are sent directly and once. Every other living instance receives them
// within one message delay; placements that do not fit into one datagram go into a
// second one.
func TestPlacementsReachEntryInstances(t *testing.T) {
	w := newSimulation(t, 5)
	w.runUntil(time.Minute, "discover each other", w.allAlive)
	var placements []Placement
	for block := range 100 {
		placements = append(placements, Placement{Endpoint: "e1", Boot: "b", Block: tables.BlockHash(block)})
	}
	w.nodes[4].down = true
	w.runUntil(time.Minute, "detect the stopped instance", func() bool { return w.allSee(4, Dead) })
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

// One zone has computed a prompt. In groups of more than FullMeshLimit instances,
// the instances of other zones are not sent the placement one by one. Without any
// notice, each zone would compute every prompt again. One relay in each other zone
// forwards the placement, once.
func TestPlacementsReachOtherZones(t *testing.T) {
	w := newZonedSimulation(t, 3*FullMeshLimit, 3)
	w.runUntil(2*time.Minute, "discover each other", w.allAlive)
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

// The limit for all control traffic of an instance is 29 KB per second at 340
// instances. The traffic of failure detection must stay far below it, whatever the
// group size.
func TestTrafficDoesNotGrowWithGroupSize(t *testing.T) {
	perSecond := func(n int) (bytes, datagrams float64) {
		w := newSimulation(t, n)
		w.runUntil(2*time.Minute, "discover each other", w.allAlive)
		w.bytesSent, w.datagramsSent = 0, 0
		w.run(20 * time.Second)
		seconds := 20 * float64(n)
		return float64(w.bytesSent) / seconds, float64(w.datagramsSent) / seconds
	}
	_, few := perSecond(40)
	bytes, many := perSecond(160)
	assert.Assert(t, many < 1.1*few, "%.2f datagrams per second with 160 instances, %.2f with 40", many, few)
	assert.Assert(t, bytes < 3000, "%.0f bytes per second", bytes)
}

// Guards against datagrams that are processed although they cannot be decoded or
// have no sender.
func TestMalformedDatagramIsRejected(t *testing.T) {
	w := newSimulation(t, 2)
	_, err := w.nodes[0].Receive(0, w.nodes[1].address, []byte{0xff})
	assert.ErrorContains(t, err, "cannot be decoded")
	_, err = w.nodes[0].Receive(0, w.nodes[1].address, nil)
	assert.ErrorContains(t, err, "no sender")
}
