package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	startWindow = 300 * time.Millisecond
	lossRate    = 0.01
)

// startup simulates a group that starts within startWindow, with datagram delays of 1 to 5 ms and
// a loss of 1 %.
type startup struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Duration
	calls    callHeap
	nodes    []*startupNode
	seeds    []netip.AddrPort
	byAddr   map[netip.AddrPort]*startupNode
	fast     bool
	lastBoot time.Duration
}

// startupNode is an instance of a startup. Its clock starts at startedAt.
type startupNode struct {
	*Membership
	startedAt      time.Duration
	address        netip.AddrPort
	frozen         bool
	bytes, queries int
	knewMostAt     time.Duration
}

// call is a function that is due at a time.
type call struct {
	due time.Duration
	run func()
}

type callHeap []call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(call)) }
func (h *callHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newStartup schedules the start of n instances, the first of which are the seeds.
func newStartup(t testing.TB, n, seeds int, fast bool, seed uint64) *startup {
	s := &startup{t: t, fast: fast, random: rand.New(rand.NewPCG(seed, 1)), byAddr: map[netip.AddrPort]*startupNode{}}
	for i := range n {
		node := &startupNode{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8082)}
		s.nodes = append(s.nodes, node)
		s.byAddr[node.address] = node
		if i < seeds {
			s.seeds = append(s.seeds, node.address)
		}
	}
	for i := range s.nodes {
		s.start(i, time.Duration(s.random.Int64N(int64(startWindow))))
	}
	return s
}

// start schedules the start of instance i.
func (s *startup) start(i int, at time.Duration) {
	node := s.nodes[i]
	s.lastBoot = max(s.lastBoot, at)
	s.at(at, func() {
		var seeds []netip.AddrPort
		for _, seed := range s.seeds {
			if seed != node.address {
				seeds = append(seeds, seed)
			}
		}
		node.startedAt = at
		node.Membership = New(Options{
			UseSchedulers: true, FastDiscovery: s.fast,
			Self: InstanceInfo{
				Instance: tables.InstanceID(fmt.Sprintf("accra-a-%03d", i)), Zone: "accra-a", Roles: RoleEntry, Size: 48,
				Address: node.address, Control: netip.AddrPortFrom(node.address.Addr(), 8081),
				Boot: uint64(1.8e18) + uint64(at),
			},
			Seeds: seeds, RandomSeed: s.random.Uint64(),
		})
		s.discover(node)
		s.tick(node)
	})
}

func (s *startup) at(due time.Duration, run func()) { heap.Push(&s.calls, call{due: due, run: run}) }

func (s *startup) discover(node *startupNode) {
	out, again := node.Discover(s.now - node.startedAt)
	s.sendCounted(node, out)
	if again > 0 {
		s.at(s.now+again, func() { s.discover(node) })
	}
}

func (s *startup) tick(node *startupNode) {
	membership := node.Membership
	s.at(s.now+tickInterval, func() {
		if node.Membership != membership {
			return // the instance has restarted
		}
		s.send(node, node.Tick(s.now-node.startedAt))
		s.tick(node)
	})
}

// sendCounted sends datagrams of the discovery and counts their bytes at both ends.
func (s *startup) sendCounted(from *startupNode, out Output) {
	for _, d := range out.Datagrams {
		from.bytes += len(d.Payload)
		if to := s.byAddr[d.To]; to != nil {
			to.bytes += len(d.Payload)
		}
	}
	s.send(from, out)
}

func (s *startup) send(from *startupNode, out Output) {
	for _, d := range out.Datagrams {
		assert.Assert(s.t, len(d.Payload) <= defaultMaxDatagramBytes)
		if s.random.Float64() < lossRate || from.frozen {
			continue
		}
		delay := time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
		s.at(s.now+delay, func() { s.deliver(from, d) })
	}
}

func (s *startup) deliver(from *startupNode, d Datagram) {
	to := s.byAddr[d.To]
	if to == nil || to.Membership == nil || to.frozen {
		return
	}
	out, err := to.Receive(s.now-to.startedAt, from.address, d.Payload)
	assert.NilError(s.t, err)
	if isQuery(d.Payload) {
		from.queries++
		s.sendCounted(to, out)
	} else {
		s.send(to, out)
	}
	if to.knewMostAt == 0 && float64(to.liveCount()) >= 0.9*float64(len(s.nodes)) {
		to.knewMostAt = s.now
	}
}

// run runs until the given time.
func (s *startup) run(until time.Duration) {
	for len(s.calls) > 0 && s.calls[0].due <= until {
		next := heap.Pop(&s.calls).(call)
		s.now = next.due
		next.run()
	}
	s.now = until
}

// result returns the time after the last start at which the last instance knew 0.9 of the group, and
// the most bytes that an instance has sent and received.
func (s *startup) result() (took time.Duration, bytes int) {
	for _, node := range s.nodes {
		if node.frozen {
			continue
		}
		if node.knewMostAt == 0 {
			took = time.Hour
		}
		took = max(took, node.knewMostAt-s.lastBoot)
		bytes = max(bytes, node.bytes)
	}
	return took, bytes
}

// Load: all instances start within 0.3 s of each other, through three seeds. Guards against instances
// that choose different owners for seconds, and against a discovery that fills small links.
func TestGroupThatStartsAtOnceDiscoversItself(t *testing.T) {
	for _, c := range []struct {
		instances, runs int
		took            time.Duration
		bytes           int
	}{{9, 20, 400 * time.Millisecond, 60_000}, {59, 8, 400 * time.Millisecond, 60_000}, {340, 1, 800 * time.Millisecond, 250_000}} {
		for seed := range uint64(c.runs) {
			s := newStartup(t, c.instances, 3, true, seed)
			s.run(3 * time.Second)
			took, bytes := s.result()
			t.Logf("%d instances: %v, %d bytes", c.instances, took, bytes)
			assert.Check(t, took <= c.took, "%d instances, seed %d: %v", c.instances, seed, took)
			assert.Check(t, bytes <= c.bytes, "%d instances, seed %d: %d bytes", c.instances, seed, bytes)
		}
	}
}

// BenchmarkStartup reports the time after the last start at which the last instance knows 0.9 of the
// others, and the bytes of queries and answers of the busiest instance: the most of all runs.
func BenchmarkStartup(b *testing.B) {
	for _, n := range []int{9, 59, 340} {
		for _, fast := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/fast=%v", n, fast), func(b *testing.B) {
				var took time.Duration
				bytes := 0
				for i := range b.N {
					s := newStartup(b, n, 3, fast, uint64(i))
					s.run(3 * time.Second)
					_, runBytes := s.result()
					s.run(8 * time.Second)
					runTook, _ := s.result()
					took, bytes = max(took, runTook), max(bytes, runBytes)
				}
				b.ReportMetric(took.Seconds(), "virtual_s")
				b.ReportMetric(float64(bytes), "bytes")
			})
		}
	}
}

// Guards against a frozen seed that delays the discovery.
func TestFrozenSeedDoesNotDelayDiscovery(t *testing.T) {
	s := newStartup(t, 59, 3, true, 1)
	s.nodes[0].frozen = true
	s.run(3 * time.Second)
	took, _ := s.result()
	assert.Assert(t, took <= 400*time.Millisecond, "%v", took)
}

// Guards against an instance that queries a running group more often with fast discovery, or learns
// of it later.
func TestSingleStartQueriesNoMoreThanWithoutFastDiscovery(t *testing.T) {
	queries := map[bool]int{}
	for _, fast := range []bool{false, true} {
		s := newStartup(t, 59, 3, fast, 1)
		s.run(10 * time.Second)
		last := s.nodes[58]
		last.Membership = nil
		last.queries, last.knewMostAt = 0, 0
		s.start(58, s.now)
		s.run(s.now + 5*time.Second)
		queries[fast] = last.queries
		t.Logf("fast %v: %d queries, %v", fast, last.queries, last.knewMostAt-s.lastBoot)
		assert.Assert(t, last.knewMostAt > 0 && last.knewMostAt-s.lastBoot < 250*time.Millisecond)
	}
	assert.Assert(t, queries[true] <= queries[false], "%v", queries)
}

func isQuery(payload []byte) bool {
	in := &rpc.Datagram{}
	return proto.Unmarshal(payload, in) == nil && in.GetJoining()
}
