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
		sim := newSimulation(t, n)
		sim.runUntil(30*time.Second, "discover each other", sim.allAlive)
		assert.Equal(t, sim.nodes[1].LoadShare(), 1/float64(n))
	}
}

// An instance stops without a leave message. Its share of the load and of every
// limit must pass to the others soon, and no other instance may be declared dead
// because of it.
func TestStoppedInstanceIsDetected(t *testing.T) {
	sim := newSimulation(t, 9)
	sim.runUntil(30*time.Second, "discover each other", sim.allAlive)
	sim.nodes[4].down = true
	sim.runUntil(30*time.Second, "detect the stopped instance", func() bool { return sim.allSee(4, Dead) })
	assert.Assert(t, sim.allAlive())
}

// Guards against a leave that the others notice only through failure detection.
func TestLeaveSpreadsPromptly(t *testing.T) {
	sim := newSimulation(t, 9)
	sim.runUntil(30*time.Second, "discover each other", sim.allAlive)
	sim.send(sim.nodes[4], sim.nodes[4].Leave(sim.now))
	sim.nodes[4].down = true
	took := sim.runUntil(30*time.Second, "learn of the leave", func() bool { return sim.allSee(4, Left) })
	assert.Assert(t, took <= 3*time.Second, "%v", took)
}

// All datagrams from one instance to one other are lost, in this direction only.
// All other instances reach both, so neither may be declared dead.
func TestOneWayLossBetweenTwoInstances(t *testing.T) {
	sim := newSimulation(t, 9)
	sim.runUntil(30*time.Second, "discover each other", sim.allAlive)
	sim.dropped = func(from, to int) bool { return from == 2 && to == 5 }
	for range 600 {
		sim.step()
		for i := range sim.nodes {
			assert.Assert(t, sim.state(i, 2) != Dead && sim.state(i, 5) != Dead, "declared dead at %v", sim.now)
		}
	}
}

// An instance sends datagrams but receives none. The others declare it dead. It
// must not make them declare each other dead, and must be accepted again once it
// receives datagrams.
func TestInstanceWithoutInboundTrafficSpreadsNoSuspicion(t *testing.T) {
	sim := newSimulation(t, 9)
	sim.runUntil(30*time.Second, "discover each other", sim.allAlive)
	sim.dropped = func(_, to int) bool { return to == 3 }
	sim.runUntil(time.Minute, "declare the isolated instance dead", func() bool { return sim.allSee(3, Dead) })
	for range 600 {
		sim.step()
		for i := range sim.nodes {
			for j := range sim.nodes {
				assert.Assert(t, i == 3 || j == 3 || sim.state(i, j) != Dead, "%d considers %d dead", i, j)
			}
		}
	}
	sim.dropped = func(int, int) bool { return false }
	sim.runUntil(time.Minute, "accept the instance again", sim.allAlive)
}

// Zones are partitioned for minutes and must rejoin, although none of the seeds is
// in the second zone.
func TestPartitionedZonesRejoin(t *testing.T) {
	sim := newSimulation(t, 9)
	sim.runUntil(30*time.Second, "discover each other", sim.allAlive)
	sim.dropped = func(from, to int) bool { return (from < 3) != (to < 3) }
	sim.runUntil(2*time.Minute, "declare the other zone dead", func() bool { return sim.state(8, 0) == Dead && sim.state(0, 8) == Dead })
	sim.run(5 * time.Minute)
	assert.Equal(t, sim.state(3, 8), Alive)
	sim.dropped = func(int, int) bool { return false }
	sim.runUntil(2*time.Minute, "rejoin", sim.allAlive)
}

// All instances restart within one tick and request the full state from the same
// seed.
func TestSimultaneousRestart(t *testing.T) {
	sim := newSimulation(t, 100)
	sim.runUntil(time.Minute, "discover each other", sim.allAlive)
	for i := range sim.nodes {
		sim.boot(i)
	}
	sim.runUntil(time.Minute, "rediscover each other", sim.allAlive)
}

// Every fifth datagram is lost. The suspicions that this causes must be refuted in
// time.
func TestRandomLossCausesNoFalseDeaths(t *testing.T) {
	sim := newSimulation(t, 30)
	random := rand.New(rand.NewPCG(1, 2))
	sim.runUntil(time.Minute, "discover each other", sim.allAlive)
	sim.dropped = func(int, int) bool { return random.IntN(5) == 0 }
	for range 3000 {
		sim.step()
		for i := range sim.nodes {
			for j := range sim.nodes {
				assert.Assert(t, sim.state(i, j) <= Suspect, "%d considers %d dead at %v", i, j, sim.now)
			}
		}
	}
}

// An instance restarts with a lower boot number, since its wall clock was set back.
// The others must not take it for its earlier process.
func TestBootNumberRegression(t *testing.T) {
	sim := newSimulation(t, 5)
	sim.runUntil(30*time.Second, "discover each other", sim.allAlive)
	sim.boots = 0
	sim.boot(3)
	sim.nodes[3].SetRevision(sim.now, 7, time.Unix(1, 0))
	sim.runUntil(30*time.Second, "see the new process", func() bool {
		row := sim.nodes[1].members.byID[sim.nodes[3].self.Instance]
		return row.State == Alive && row.Revision == 7 && row.Boot == sim.nodes[3].self.Boot
	})
}

// The platform's list marks an instance as leaving. It remains alive while it
// answers; once it stops, it is declared dead without waiting for the suspicion
// timeout.
func TestPlatformListShortensSuspicion(t *testing.T) {
	sim := newSimulation(t, 9)
	sim.runUntil(30*time.Second, "discover each other", sim.allAlive)
	for _, node := range sim.nodes {
		var list []PlatformInstance
		for i, other := range sim.nodes {
			list = append(list, PlatformInstance{Address: other.address, Leaving: i == 4})
		}
		node.SetPlatformList(list)
	}
	sim.run(10 * time.Second)
	assert.Assert(t, sim.allAlive())
	assert.Assert(t, sim.nodes[0].Members()[4].Leaving)
	sim.nodes[4].down = true
	took := sim.runUntil(30*time.Second, "detect the stopped instance", func() bool { return sim.allSee(4, Dead) })
	assert.Assert(t, took < sim.nodes[0].suspicionTimeout()+2*time.Second, "%v", took)
}

// Guards against a revision that does not reach instances without a connection to a
// control instance.
func TestRevisionReachesAllInstances(t *testing.T) {
	sim := newSimulation(t, 30)
	sim.runUntil(time.Minute, "discover each other", sim.allAlive)
	sim.send(sim.nodes[7], sim.nodes[7].SetRevision(sim.now, 12, time.Unix(1, 0)))
	sim.runUntil(time.Minute, "learn of the new revision", func() bool {
		for i, node := range sim.nodes {
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
	sim := newSimulation(t, 5)
	sim.runUntil(time.Minute, "discover each other", sim.allAlive)
	var placements []Placement
	for block := range 100 {
		placements = append(placements, Placement{Endpoint: "e1", Boot: "b", Block: tables.BlockHash(block)})
	}
	sim.nodes[4].down = true
	sim.runUntil(time.Minute, "detect the stopped instance", func() bool { return sim.allSee(4, Dead) })
	sim.send(sim.nodes[2], sim.nodes[2].SendHints(sim.now, Hints{Placements: placements}))
	sim.run(time.Second)
	for i, node := range sim.nodes {
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
	sim := newZonedSimulation(t, 3*FullMeshLimit, 3)
	sim.runUntil(2*time.Minute, "discover each other", sim.allAlive)
	placements := []Placement{{Endpoint: "e1", Block: 7}}
	sim.send(sim.nodes[2], sim.nodes[2].SendHints(sim.now, Hints{Placements: placements}))
	sim.send(sim.nodes[2], sim.nodes[2].SendPlacementsToOtherZones(sim.now, placements))
	sim.run(time.Second)
	relays := 0
	for _, node := range sim.nodes {
		if !node.relay {
			continue
		}
		relays++
		sim.send(node, node.SendHints(sim.now, Hints{Placements: node.placements}))
	}
	assert.Equal(t, relays, 2)
	sim.run(time.Second)
	for i, node := range sim.nodes {
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
		sim := newSimulation(t, n)
		sim.runUntil(2*time.Minute, "discover each other", sim.allAlive)
		sim.bytesSent, sim.datagramsSent = 0, 0
		sim.run(20 * time.Second)
		seconds := 20 * float64(n)
		return float64(sim.bytesSent) / seconds, float64(sim.datagramsSent) / seconds
	}
	_, few := perSecond(40)
	bytes, many := perSecond(160)
	assert.Assert(t, many < 1.1*few, "%.2f datagrams per second with 160 instances, %.2f with 40", many, few)
	assert.Assert(t, bytes < 3000, "%.0f bytes per second", bytes)
}

// Guards against datagrams that are processed although they cannot be decoded or
// have no sender.
func TestMalformedDatagramIsRejected(t *testing.T) {
	sim := newSimulation(t, 2)
	_, err := sim.nodes[0].Receive(0, sim.nodes[1].address, []byte{0xff})
	assert.ErrorContains(t, err, "cannot be decoded")
	_, err = sim.nodes[0].Receive(0, sim.nodes[1].address, nil)
	assert.ErrorContains(t, err, "no sender")
}

// Guards against a field of a load, such as an endpoint's announcement, that other instances do
// not receive.
func TestLoadsArriveWhole(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.runUntil(time.Minute, "discover each other", sim.allAlive)
	load := Load{
		Endpoint: "e1", Running: 1, CacheTokens: 2, PrefillTokens: 3, LinkBusy: 4 * time.Millisecond, AbsentFor: 5 * time.Millisecond,
		Limit: &RateLimit{Limited: true, PerSecond: 6, Age: 7 * time.Millisecond},
		Notice: &EndpointNotice{
			StartUnixMilli: 8, Draining: true, PushbackFor: 9 * time.Millisecond,
			Brittleness: &EndpointBrittleness{Brittle: true, Rejections: 10, Age: 11 * time.Millisecond},
		},
		SlowdownPercent: 12, SlowdownAge: 13 * time.Millisecond, Streams: 14,
	}
	sim.send(sim.nodes[0], sim.nodes[0].SendHints(sim.now, Hints{Loads: []Load{load}}))
	sim.run(time.Second)
	load.Instance = sim.nodes[0].self.Instance
	assert.DeepEqual(t, sim.nodes[1].loads, []Load{load})
}
