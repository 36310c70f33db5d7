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

// simulation runs many memberships and the network between them in virtual time.
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
	// schedule is Options.UseSchedulers of all instances.
	schedule bool
}

// node is one simulated instance and what it received.
type node struct {
	*Membership
	index      int
	address    netip.AddrPort
	down       bool
	placements []Placement
	loads      []Load
	relay      bool
	newer      netip.AddrPort
}

// packet is a datagram on its way, due at the receiver at the given time.
type packet struct {
	due     time.Duration
	from    *node
	to      netip.AddrPort
	payload []byte
}

// newSimulation starts n instances in one availability zone. All of them join
// through the first.
func newSimulation(t testing.TB, n int) *simulation { return newZonedSimulation(t, n, 1) }

// newZonedSimulation assigns the instances to zones in round-robin order.
func newZonedSimulation(t testing.TB, n, zones int) *simulation {
	return newSimulationWithSchedulers(t, n, zones, false)
}

// newSimulationWithSchedulers also sets whether schedulers choose endpoints in a
// large group.
func newSimulationWithSchedulers(t testing.TB, n, zones int, schedule bool) *simulation {
	s := &simulation{t: t, zones: zones, schedule: schedule, nodeByAddress: map[netip.AddrPort]*node{}, dropped: func(int, int) bool { return false }}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8082)
		node := &node{index: i, address: address}
		s.nodes = append(s.nodes, node)
		s.nodeByAddress[address] = node
		s.boot(i)
	}
	return s
}

// boot starts instance i with a new boot number, for the first time or as a
// restart.
func (s *simulation) boot(i int) {
	s.boots++
	node := s.nodes[i]
	node.down = false
	node.Membership = New(Options{
		UseSchedulers: s.schedule,
		Self: InstanceInfo{
			Instance: tables.InstanceID(fmt.Sprintf("accra-a-%03d", i)),
			Zone:     tables.Zone("accra-" + string(rune('a'+i%s.zones))),
			Roles:    RoleEntry,
			Size:     4,
			Address:  node.address,
			Control:  netip.AddrPortFrom(node.address.Addr(), 8081),
			Boot:     s.boots,
		},
		Seeds:      []netip.AddrPort{s.nodes[0].address},
		RandomSeed: uint64(i),
	})
}

// send collects the events of an output and puts its datagrams on the network.
func (s *simulation) send(from *node, out Output) {
	from.placements = append(from.placements, out.Hints.Placements...)
	from.loads = append(from.loads, out.Hints.Loads...)
	from.relay = from.relay || out.Hints.Relay
	if out.NewerRevisionAt.IsValid() {
		from.newer = out.NewerRevisionAt
	}
	for _, d := range out.Datagrams {
		s.bytesSent += len(d.Payload)
		s.datagramsSent++
		assert.Assert(s.t, len(d.Payload) <= defaultMaxDatagramBytes)
		s.inFlight = append(s.inFlight, packet{due: s.now + latency, from: from, to: d.To, payload: d.Payload})
	}
}

// step advances the time by one tick.
func (s *simulation) step() {
	end := s.now + tickInterval
	for i, node := range s.nodes {
		s.now += tickInterval / time.Duration(len(s.nodes)+1)
		s.deliver()
		if !node.down && (i >= 0) {
			s.send(node, node.Tick(s.now))
		}
	}
	s.now = end
	s.deliver()
}

// deliver hands over the datagrams that are due.
func (s *simulation) deliver() {
	for len(s.inFlight) > 0 && s.inFlight[0].due <= s.now {
		f := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		to := s.nodeByAddress[f.to]
		if to == nil || to.down || s.dropped(f.from.index, to.index) {
			continue
		}
		out, err := to.Receive(s.now, f.from.address, f.payload)
		assert.NilError(s.t, err)
		s.send(to, out)
	}
}

// run advances the time by d.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

// runUntil advances the time until ok returns true, and fails the test after a
// bound. It returns the time that passed.
func (s *simulation) runUntil(bound time.Duration, what string, ok func() bool) time.Duration {
	start := s.now
	for !ok() {
		if s.now-start >= bound {
			s.t.Fatalf("%s: not within %v", what, bound)
		}
		s.step()
	}
	return s.now - start
}

// state returns the state of one instance in the view of another; Left if it is
// unknown there.
func (s *simulation) state(at, of int) State {
	row := s.nodes[at].members.byID[s.nodes[of].self.Instance]
	if row == nil {
		return Left
	}
	return row.State
}

// allSee reports whether all running instances see the instance in the state.
func (s *simulation) allSee(of int, state State) bool {
	for i, node := range s.nodes {
		if i != of && !node.down && s.state(i, of) != state {
			return false
		}
	}
	return true
}

// allAlive reports whether all running instances see each other as alive.
func (s *simulation) allAlive() bool {
	for i, node := range s.nodes {
		if !node.down && !s.allSee(i, Alive) {
			return false
		}
	}
	return true
}
