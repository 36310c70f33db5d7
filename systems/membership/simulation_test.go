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
	tickEvery = 100 * time.Millisecond
	latency   = 2 * time.Millisecond
)

// world runs many memberships in virtual time.
type world struct {
	zones   int
	t       testing.TB
	now     time.Duration
	nodes   []*node
	at      map[netip.AddrPort]*node
	flying  []flight
	boots   uint64
	lost    func(from, to int) bool
	sent    int
	packets int
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

type flight struct {
	due     time.Duration
	from    *node
	to      netip.AddrPort
	payload []byte
}

// newWorld starts n instances; all but the first join through it.
// newWorld has all instances in one availability zone.
func newWorld(t testing.TB, n int) *world { return newZones(t, n, 1) }

// newZones spreads the instances over zones in turn.
func newZones(t testing.TB, n, zones int) *world { return newGroup(t, n, zones, false) }

// newGroup says too whether schedulers choose in a large group.
func newGroup(t testing.TB, n, zones int, schedule bool) *world {
	w := &world{t: t, zones: zones, schedule: schedule, at: map[netip.AddrPort]*node{}, lost: func(int, int) bool { return false }}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8082)
		node := &node{index: i, address: address}
		w.nodes = append(w.nodes, node)
		w.at[address] = node
		w.boot(i)
	}
	return w
}

// boot starts instance i anew.
func (w *world) boot(i int) {
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

func (w *world) send(from *node, out Output) {
	from.placements = append(from.placements, out.Hints.Placements...)
	from.relay = from.relay || out.Hints.Relay
	if out.NewerRevisionAt.IsValid() {
		from.newer = out.NewerRevisionAt
	}
	for _, d := range out.Datagrams {
		w.sent += len(d.Payload)
		w.packets++
		assert.Assert(w.t, len(d.Payload) <= defaultDatagramBytes)
		w.flying = append(w.flying, flight{due: w.now + latency, from: from, to: d.To, payload: d.Payload})
	}
}

// step moves time on by a tick.
func (w *world) step() {
	end := w.now + tickEvery
	for i, node := range w.nodes {
		w.now += tickEvery / time.Duration(len(w.nodes)+1)
		w.deliver()
		if !node.down && (i >= 0) {
			w.send(node, node.Tick(w.now))
		}
	}
	w.now = end
	w.deliver()
}

func (w *world) deliver() {
	for len(w.flying) > 0 && w.flying[0].due <= w.now {
		f := w.flying[0]
		w.flying = w.flying[1:]
		to := w.at[f.to]
		if to == nil || to.down || w.lost(f.from.index, to.index) {
			continue
		}
		out, err := to.Receive(w.now, f.from.address, f.payload)
		assert.NilError(w.t, err)
		w.send(to, out)
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

// until runs until ok, and fails after a bound.
func (w *world) until(bound time.Duration, what string, ok func() bool) time.Duration {
	start := w.now
	for !ok() {
		if w.now-start >= bound {
			w.t.Fatalf("%s: not within %v", what, bound)
		}
		w.step()
	}
	return w.now - start
}

func (w *world) state(at, of int) State {
	row := w.nodes[at].roster.byID[w.nodes[of].self.Instance]
	if row == nil {
		return Left
	}
	return row.State
}

// seen says whether all that are up see all of them in the state.
func (w *world) seen(of int, state State) bool {
	for i, node := range w.nodes {
		if i != of && !node.down && w.state(i, of) != state {
			return false
		}
	}
	return true
}

func (w *world) allAlive() bool {
	for i, node := range w.nodes {
		if !node.down && !w.seen(i, Alive) {
			return false
		}
	}
	return true
}
