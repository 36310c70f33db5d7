package permits

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// simulation is a deployment in virtual time before one brittle endpoint, with more clients than
// it has room for.
type simulation struct {
	started time.Time
	slots   int
	// reportLag is how late load reports are.
	reportLag time.Duration
	// delay returns how long a datagram to an instance takes; negative for a lost one.
	delay func(at time.Duration, to int) time.Duration
	// isMember reports whether an instance is known to the others.
	isMember func(at time.Duration, instance int) bool
	clients  []*Client
	servers  []*Server

	mu         sync.Mutex
	rng        *rand.Rand
	running    int
	served     int
	rejectedAt []time.Duration
	// history holds the number of running requests over time.
	history []occupancyAt
}

type occupancyAt struct {
	at      time.Duration
	running int
}

func (s *simulation) now() tables.Instant { return time.Hour + time.Since(s.started) }

func (s *simulation) elapsed() time.Duration { return time.Since(s.started) }

// reported returns the number of running requests as reports show it.
func (s *simulation) reported() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.elapsed() - s.reportLag
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].at <= until {
			return s.history[i].running
		}
	}
	return 0
}

// change adds to the number of running requests unless there is no room.
func (s *simulation) change(by int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+by > s.slots {
		s.rejectedAt = append(s.rejectedAt, s.elapsed())
		return false
	}
	s.running += by
	s.history = append(s.history, occupancyAt{s.elapsed(), s.running})
	return true
}

func (s *simulation) random(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func instanceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
}

// start creates the instances.
func (s *simulation) start(instances int) {
	s.started, s.rng = time.Now(), rand.New(rand.NewPCG(1, 2))
	for i := range instances {
		id := tables.InstanceID(fmt.Sprint(i))
		server := NewServer(id, func(tables.EndpointID) (Occupancy, bool) {
			return Occupancy{Slots: s.slots, Reported: s.reported()}, true
		}, s.now)
		client := NewClient(ClientOptions{Self: id, Server: server, Entries: s.entries, Now: s.now, Send: func(to netip.AddrPort, m *rpc.ScheduleMessage) {
			s.send(i, int(to.Port())-1000, m)
		}})
		s.servers, s.clients = append(s.servers, server), append(s.clients, client)
	}
}

func (s *simulation) entries() []membership.EntryInstance {
	var all []membership.EntryInstance
	for i := range s.servers {
		if s.isMember(s.elapsed(), i) {
			all = append(all, membership.EntryInstance{Instance: tables.InstanceID(fmt.Sprint(i)), Address: instanceAddress(i)})
		}
	}
	return all
}

// watchMembers notifies the instances of changes of the membership.
func (s *simulation) watchMembers(end time.Duration) {
	for ; s.elapsed() < end; time.Sleep(10 * time.Millisecond) {
		var ids []tables.InstanceID
		for _, e := range s.entries() {
			ids = append(ids, e.Instance)
		}
		for _, server := range s.servers {
			server.SetMembers(ids)
		}
	}
}

// send delivers a message after its delay.
func (s *simulation) send(from, to int, m *rpc.ScheduleMessage) {
	delay := s.delay(s.elapsed(), to)
	if delay < 0 {
		return
	}
	time.AfterFunc(delay, func() {
		by := tables.InstanceID(fmt.Sprint(from))
		switch {
		case m.GetPermitRequest() != nil:
			s.send(to, from, &rpc.ScheduleMessage{Number: m.GetNumber(), Permit: s.servers[to].Request(by, m.GetNumber(), m.GetPermitRequest())})
		case m.GetPermit() != nil:
			s.clients[to].HandleAnswer(instanceAddress(from), m.GetNumber(), m.GetPermit())
		default:
			s.servers[to].Release(by, m.GetNumber(), m.GetPermitRelease())
		}
	})
}

// call has one client send requests until the end.
func (s *simulation) call(t *testing.T, c *Client, end time.Duration) {
	for s.elapsed() < end {
		time.Sleep(time.Duration(1+s.random(30)) * time.Millisecond)
		permit, verdict := c.Acquire(t.Context(), "e", time.Second)
		if verdict != Granted {
			time.Sleep(30 * time.Millisecond)
			continue
		}
		accepted := s.change(1)
		if accepted {
			time.Sleep(time.Duration(20+s.random(20)) * time.Millisecond)
			s.change(-1)
			s.mu.Lock()
			s.served++
			s.mu.Unlock()
		}
		permit.Release(!accepted)
	}
}

// mostRejections returns the largest number of rejections in a second.
func (s *simulation) mostRejections() int {
	most := 0
	for i, from := range s.rejectedAt {
		count := 0
		for _, at := range s.rejectedAt[i:] {
			if at-from < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against instances that together make an endpoint reject more requests in a second than it
// stands: in normal operation and beside slow, dead and new owners, with lost datagrams and late
// reports.
func TestBrittleEndpointRejectsFewRequests(t *testing.T) {
	const (
		slots           = 6
		standsPerSecond = 5
		length          = 8 * time.Second
		meanRunTime     = 30 * time.Millisecond
	)
	members := func(time.Duration, int) bool { return true }
	quick := func(time.Duration, int) time.Duration { return time.Millisecond }
	between := func(at, from, to time.Duration) bool { return at >= from && at < to }
	for name, scenario := range map[string]struct {
		// delay is given the owner of the endpoint.
		delay    func(owner int, rng *rand.Rand) func(time.Duration, int) time.Duration
		isMember func(owner int) func(time.Duration, int) bool
		lag      time.Duration
		// usable is the least part of the endpoint's capacity that is used.
		usable float64
	}{
		"quiet": {usable: 0.7, lag: 50 * time.Millisecond},
		"slow owner": {usable: 0.3, lag: 300 * time.Millisecond, delay: func(owner int, _ *rand.Rand) func(time.Duration, int) time.Duration {
			return func(at time.Duration, to int) time.Duration {
				if to == owner && at%time.Second < 300*time.Millisecond {
					return 60 * time.Millisecond
				}
				return time.Millisecond
			}
		}},
		"dead owner": {usable: 0.3, lag: 100 * time.Millisecond, delay: func(owner int, _ *rand.Rand) func(time.Duration, int) time.Duration {
			return func(at time.Duration, to int) time.Duration {
				if to == owner && at > 2*time.Second {
					return -1
				}
				return time.Millisecond
			}
		}},
		"owner that is dead for two seconds": {usable: 0.3, lag: 100 * time.Millisecond, delay: func(owner int, _ *rand.Rand) func(time.Duration, int) time.Duration {
			return func(at time.Duration, to int) time.Duration {
				if to == owner && between(at, 2*time.Second, 4*time.Second) {
					return -1
				}
				return time.Millisecond
			}
		}},
		"owner that leaves and returns": {usable: 0.5, lag: 50 * time.Millisecond, isMember: func(owner int) func(time.Duration, int) bool {
			return func(at time.Duration, i int) bool { return i != owner || !between(at, 2*time.Second, 4*time.Second) }
		}},
		"lost datagrams": {usable: 0.3, lag: 100 * time.Millisecond, delay: func(_ int, rng *rand.Rand) func(time.Duration, int) time.Duration {
			var mu sync.Mutex
			return func(time.Duration, int) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if rng.IntN(20) == 0 {
					return -1
				}
				return time.Millisecond
			}
		}},
	} {
		for _, instances := range []int{9, 68, 300} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &simulation{slots: slots, reportLag: scenario.lag, delay: quick, isMember: members}
					s.start(instances)
					first, _, _ := s.clients[0].owner("e")
					owner := int(first.Address.Port()) - 1000
					if scenario.delay != nil {
						s.delay = scenario.delay(owner, rand.New(rand.NewPCG(3, 4)))
					}
					if scenario.isMember != nil {
						s.isMember = scenario.isMember(owner)
					}
					var calling sync.WaitGroup
					go s.watchMembers(length)
					for i := range max(60, instances) {
						calling.Go(func() { s.call(t, s.clients[i%instances], length) })
					}
					calling.Wait()
					most := s.mostRejections()
					used := float64(s.served) * float64(meanRunTime) / float64(slots*length)
					t.Logf("%d served, %.2f of the capacity, %d rejections, %d at most in a second", s.served, used, len(s.rejectedAt), most)
					assert.Assert(t, most <= standsPerSecond, "%d rejections in a second", most)
					assert.Assert(t, used >= scenario.usable, "%.2f of the capacity is used", used)
				})
			})
		}
	}
}
