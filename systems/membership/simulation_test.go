package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	tickInterval = 100 * time.Millisecond
	latency      = 2 * time.Millisecond
)

// simulation runs many memberships in virtual time.
type simulation struct {
	zones         int
	t             testing.TB
	now           time.Duration
	nodes         []*node
	nodeByAddress map[netip.AddrPort]*node
	inFlight      []packet
	boots         uint64
	dropped       func(from, to int) bool
	bytesSent     int
	datagramsSent int
	// schedule is Options.Schedule of all instances.
	schedule bool
}

type node struct {
	*Membership
	index      int
	address    netip.AddrPort
	down       bool
	placements []Placement
	relay      bool
	newer      netip.AddrPort
}

type packet struct {
	due     time.Duration
	from    *node
	to      netip.AddrPort
	payload []byte
}

// newSimulation starts n instances; all but the first join through it.
// newSimulation has all instances in one availability zone.
func newSimulation(t testing.TB, n int) *simulation { return newZonedSimulation(t, n, 1) }

// newZonedSimulation spreads the instances over zones in turn.
func newZonedSimulation(t testing.TB, n, zones int) *simulation {
	return newSimulationWithSchedulers(t, n, zones, false)
}

// newSimulationWithSchedulers says too whether schedulers choose in a large group.
func newSimulationWithSchedulers(t testing.TB, n, zones int, schedule bool) *simulation {
	w := &simulation{t: t, zones: zones, schedule: schedule, nodeByAddress: map[netip.AddrPort]*node{}, dropped: func(int, int) bool { return false }}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8082)
		node := &node{index: i, address: address}
		w.nodes = append(w.nodes, node)
		w.nodeByAddress[address] = node
		w.boot(i)
	}
	return w
}

// boot starts instance i anew.
func (w *simulation) boot(i int) {
	w.boots++
	node := w.nodes[i]
	node.down = false
	node.Membership = New(Options{
		UseSchedulers: w.schedule,
		Self: InstanceInfo{
			Instance: tables.InstanceID(fmt.Sprintf("accra-a-%03d", i)),
			Zone:     tables.Zone("accra-" + string(rune('a'+i%w.zones))),
			Roles:    RoleEntry,
			Size:     4,
			Address:  node.address,
			Control:  netip.AddrPortFrom(node.address.Addr(), 8081),
			Boot:     w.boots,
		},
		Seeds:      []netip.AddrPort{w.nodes[0].address},
		RandomSeed: uint64(i),
	})
}

func (w *simulation) send(from *node, out Output) {
	from.placements = append(from.placements, out.Hints.Placements...)
	from.relay = from.relay || out.Hints.Relay
	if out.NewerRevisionAt.IsValid() {
		from.newer = out.NewerRevisionAt
	}
	for _, d := range out.Datagrams {
		w.bytesSent += len(d.Payload)
		w.datagramsSent++
		assert.Assert(w.t, len(d.Payload) <= defaultMaxDatagramBytes)
		w.inFlight = append(w.inFlight, packet{due: w.now + latency, from: from, to: d.To, payload: d.Payload})
	}
}

// step moves time on by a tick.
func (w *simulation) step() {
	end := w.now + tickInterval
	for i, node := range w.nodes {
		w.now += tickInterval / time.Duration(len(w.nodes)+1)
		w.deliver()
		if !node.down && (i >= 0) {
			w.send(node, node.Tick(w.now))
		}
	}
	w.now = end
	w.deliver()
}

func (w *simulation) deliver() {
	for len(w.inFlight) > 0 && w.inFlight[0].due <= w.now {
		f := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		to := w.nodeByAddress[f.to]
		if to == nil || to.down || w.dropped(f.from.index, to.index) {
			continue
		}
		out, err := to.Receive(w.now, f.from.address, f.payload)
		assert.NilError(w.t, err)
		w.send(to, out)
	}
}

func (w *simulation) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

// runUntil runs runUntil ok, and fails after a bound.
func (w *simulation) runUntil(bound time.Duration, what string, ok func() bool) time.Duration {
	start := w.now
	for !ok() {
		if w.now-start >= bound {
			w.t.Fatalf("%s: not within %v", what, bound)
		}
		w.step()
	}
	return w.now - start
}

func (w *simulation) state(at, of int) State {
	row := w.nodes[at].members.byID[w.nodes[of].self.Instance]
	if row == nil {
		return Left
	}
	return row.State
}

// allSee says whether all that are up see all of them in the state.
func (w *simulation) allSee(of int, state State) bool {
	for i, node := range w.nodes {
		if i != of && !node.down && w.state(i, of) != state {
			return false
		}
	}
	return true
}

func (w *simulation) allAlive() bool {
	for i, node := range w.nodes {
		if !node.down && !w.allSee(i, Alive) {
			return false
		}
	}
	return true
}
