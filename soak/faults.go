package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

// strike is what a fault has at hand.
type strike struct {
	*world
	// disruption is the number of the fault in the ledger.
	disruption int
	rng        *rand.Rand
	long       time.Duration
}

// faultKind is a kind of fault. It returns when the fault is over.
type faultKind struct {
	name string
	// planned faults are work of operators, during which no answer may be lost.
	planned bool
	// outside faults concern what stands around the system only.
	outside bool
	// control faults only keep control instances from one another.
	control bool
	// named faults come only in runs that name them: they last long, and a run of
	// all kinds would hardly ever have the calm around them that their check needs.
	named bool
	do    func(s *strike)
}

// faultKinds are all kinds of faults.
var faultKinds = []faultKind{
	{name: "kill an entry", do: func(s *strike) { s.kill(s.entry()) }},
	{name: "kill a control instance", do: func(s *strike) { s.kill(s.control()) }},
	{name: "kill half of all", do: func(s *strike) { s.killTogether(half(s.rng, s.d.instances())) }},
	{name: "kill the control group", do: func(s *strike) { s.killTogether(s.d.controls) }},
	{name: "pause an entry", do: func(s *strike) { s.pause(s.entry()) }},
	{name: "pause a control instance", do: func(s *strike) { s.pause(s.control()) }},
	{name: "restart an entry", planned: true, do: func(s *strike) { s.restart(s.entry()) }},
	{name: "restart a control instance", planned: true, do: func(s *strike) { s.restart(s.control()) }},
	{name: "reload settings", planned: true, do: reloadAll},
	{name: "wipe a control instance", do: wipe},
	{name: "tear a control instance's log", do: tear},
	{name: "cut a zone", do: cutZone},
	{name: "cut an instance one way", do: cutOneWay},
	{name: "split the control group", control: true, do: splitControl},
	{name: "mute open connections", do: func(s *strike) { s.breakLinks(s.d.network.Mute) }},
	{name: "reset open connections", do: func(s *strike) { s.breakLinks(s.d.network.Reset) }},
	{name: "delay a link", do: func(s *strike) {
		s.impose(Condition{Delay: time.Duration(20+s.rng.IntN(200)) * time.Millisecond}, s.oneAddress())
	}},
	{name: "lose datagrams", do: func(s *strike) { s.impose(Condition{Loss: 0.05 + s.rng.Float64()*0.5}, everybody) }},
	{name: "crash an endpoint", outside: true, do: crashEndpoint},
	{name: "an endpoint refuses", outside: true, do: func(s *strike) { s.trouble(0.7, platformtest.Shedding) }},
	{name: "an endpoint hangs", outside: true, do: func(s *strike) { s.trouble(0.4, platformtest.Hanging) }},
	{name: "an endpoint fails", outside: true, do: func(s *strike) { s.trouble(0.5, platformtest.Failing) }},
	{name: "answers are lost", outside: true, do: func(s *strike) { s.trouble(0.3, platformtest.Dropping) }},
	{name: "answers are cut short", outside: true, do: func(s *strike) { s.trouble(0.3, platformtest.Truncating) }},
	{name: "answers are garbled", outside: true, do: func(s *strike) { s.trouble(0.3, platformtest.Corrupting) }},
	{name: "answers come twice", outside: true, do: func(s *strike) { s.trouble(0.3, platformtest.Duplicating) }},
	{name: "replace an endpoint", planned: true, do: func(s *strike) { replaceEndpoint(s, false) }},
	{name: "use an address again", planned: true, do: func(s *strike) { replaceEndpoint(s, true) }},
	{name: "orders are carried out late", outside: true, do: lateOrders},
	{name: "the list is busy", outside: true, do: func(s *strike) { s.list(platformtest.ListRateLimited) }},
	{name: "the list is down", outside: true, do: func(s *strike) { s.list(platformtest.ListUnavailable) }},
	{name: "the list has strange entries", outside: true, do: func(s *strike) { s.list(platformtest.ListMalformed) }},
	{name: "the store forgets", outside: true, do: func(s *strike) { s.d.fleet.EmptyStores() }},
	{name: "a new configuration", planned: true, do: func(s *strike) { s.operators.configure(0) }},
	{name: "a large configuration", planned: true, do: func(s *strike) { s.operators.configure(300) }},
	{name: "many configurations", planned: true, do: manyConfigurations},
	{name: "two operators at once", planned: true, do: twoOperators},
	{name: "an invalid configuration", planned: true, do: func(s *strike) { s.operators.configureWrongly() }},
	{name: "answers to operators are lost", outside: true, do: func(s *strike) { s.operators.lose(0.6); s.wait(); s.operators.lose(0) }},
	{name: "new weights", planned: true, do: func(s *strike) { s.operators.nameWeights() }},
	{name: "a request that crashes endpoints", outside: true, do: poison},
	{name: badPartFault, outside: true, named: true, do: crashByPart},
	{name: "an endpoint names a rate limit", outside: true, named: true, do: nameLimit},
	{name: shedFault, outside: true, named: true, do: shedService},
	{name: silenceFault, outside: true, planned: true, named: true, do: fallSilent},
	{name: endlessFault, outside: true, named: true, do: sendWithoutEnd},
	{name: strayFault, outside: true, named: true, do: func(s *strike) { s.trouble(0.5, platformtest.StrayRejection) }},
	{name: "an endpoint pushes back", outside: true, named: true, do: pushBack},
	{name: "endpoints are slowed down", outside: true, named: true, do: slowDownEndpoints},
	{name: "connections are reset at one end", named: true, do: func(s *strike) { s.breakLinks(s.d.network.ResetCallers) }},
	{name: "callers read slowly", outside: true, named: true, do: readSlowly},
	{name: "a control instance misses changes", control: true, named: true, do: missChanges},
}

// FaultNames lists the kinds of faults that come in every run.
func FaultNames() []string {
	var names []string
	for _, k := range faultKinds {
		if !k.named {
			names = append(names, k.name)
		}
	}
	return names
}

func (s *strike) wait() { time.Sleep(s.long) }

func (s *strike) entry() *instance   { return s.d.entries[s.rng.IntN(len(s.d.entries))] }
func (s *strike) control() *instance { return s.d.controls[s.rng.IntN(len(s.d.controls))] }

// half draws half of a list.
func half(rng *rand.Rand, all []*instance) []*instance {
	drawn := slices.Clone(all)
	rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:(len(drawn)+1)/2]
}

// breakLinks does something to the open connections of one instance. It lasts no time of its own;
// what it harms lasts for some.
func (s *strike) breakLinks(do func(matches func(from, to netip.Addr) bool)) {
	matches := s.oneAddress()
	s.disturb(matches)
	do(matches)
	s.wait()
}

// up starts an instance again.
func (s *strike) up(i *instance) {
	if err := s.d.start(i); err != nil {
		s.d.ledger.breach("the soak works", "", "%s does not start: %v", i.Name, err)
	}
}

func (s *strike) kill(i *instance) {
	s.strikes(func(d *disruption) { d.killed = []*instance{i} })
	i.Kill()
	s.wait()
	s.up(i)
}

func (s *strike) killTogether(all []*instance) {
	s.strikes(func(d *disruption) { d.killed = all })
	for _, i := range all {
		i.Kill()
	}
	time.Sleep(s.long / 4)
	for _, i := range all {
		s.up(i)
	}
}

func (s *strike) pause(i *instance) {
	s.strikes(func(d *disruption) { d.paused, d.strikes = i, func(entry *instance) bool { return entry == i } })
	i.Pause()
	s.wait()
	i.Resume()
}

func (s *strike) restart(i *instance) {
	s.strikes(func(d *disruption) { d.restarted = i })
	if !i.Terminate(grace, func(again bool) { s.d.ledger.told(i, again) }) {
		s.d.ledger.breach("a drain ends", "", "%s still ran %v after it was told to end", i.Name, grace)
	}
	s.up(i)
}

func reloadAll(s *strike) {
	for _, i := range s.d.instances() {
		if err := s.d.writeSettings(i, false); err != nil {
			s.d.ledger.breach("the soak works", "", "settings of %s: %v", i.Name, err)
		}
		i.Reload()
	}
}

const (
	// catchUp is how long nothing else may be wrong with the system before a
	// control instance that lost its disk has replaced it, and calmLook the time
	// between two looks whether that is so.
	catchUp  = 8 * time.Second
	calmLook = 200 * time.Millisecond
)

// wipe takes the disk of a control instance. No more disks are lost at once than
// the deployment has to bear: the next one only after the group had the time to
// replace this one. While another instance is cut off or paused there is no
// quorum for that, so such times do not count.
func wipe(s *strike) {
	if !s.disks.TryLock() {
		return // another disk is lost
	}
	i := s.control()
	i.Kill()
	if err := i.Wipe(); err != nil {
		s.d.ledger.breach("the soak works", "", "wipe %s: %v", i.Name, err)
	}
	s.up(i)
	go func() {
		defer s.disks.Unlock()
		back := time.Now()
		for min(time.Since(back), s.d.ledger.calm()) < catchUp {
			time.Sleep(calmLook)
		}
	}()
}

// tear ends a control instance in the middle of a write.
func tear(s *strike) {
	i := s.control()
	i.Kill()
	if err := i.Tear(s.unfinished()); err != nil {
		s.d.ledger.breach("the soak works", "", "tear %s: %v", i.Name, err)
	}
	s.wait()
	s.up(i)
}

// unfinished is what is left of a write that was not synced: sectors that read
// as zeros, or its first bytes. Longer ones that make no sense would be damage,
// at which a replica rightly ends.
func (s *strike) unfinished() []byte {
	const sectors, firstBytes = 4096, 8
	if s.rng.IntN(2) == 0 {
		return make([]byte, 1+s.rng.IntN(sectors))
	}
	first := make([]byte, 1+s.rng.IntN(firstBytes))
	for n := range first {
		first[n] = byte(s.rng.Uint32())
	}
	return first
}

// impose puts a condition on links for the length of the fault.
func (s *strike) impose(c Condition, matches func(from, to netip.Addr) bool) {
	if c.Silent || c.Delay > 0 { // datagrams carry no requests
		s.disturb(matches)
	}
	lift := s.d.network.Impose(c, matches)
	s.wait()
	lift()
}

func everybody(netip.Addr, netip.Addr) bool { return true }

// oneAddress matches what goes to or from one instance.
func (s *strike) oneAddress() func(from, to netip.Addr) bool {
	all := s.d.instances()
	one := all[s.rng.IntN(len(all))].ip
	return func(from, to netip.Addr) bool { return from == one || to == one }
}

func cutZone(s *strike) {
	zone := s.rng.IntN(zones)
	s.impose(Condition{Silent: true}, func(from, to netip.Addr) bool {
		a, known := s.d.zoneOf[from]
		b, also := s.d.zoneOf[to]
		return known && also && (a == zone) != (b == zone)
	})
}

func cutOneWay(s *strike) {
	all := s.d.instances()
	one, outwards := all[s.rng.IntN(len(all))].ip, s.rng.IntN(2) == 0
	s.impose(Condition{Silent: true}, func(from, to netip.Addr) bool {
		if outwards {
			return from == one
		}
		return to == one
	})
}

func splitControl(s *strike) {
	side := map[netip.Addr]bool{}
	for _, i := range half(s.rng, s.d.controls) {
		side[i.ip] = true
	}
	controls := map[netip.Addr]bool{}
	for _, i := range s.d.controls {
		controls[i.ip] = true
	}
	s.impose(Condition{Silent: true}, func(from, to netip.Addr) bool {
		return controls[from] && controls[to] && side[from] != side[to]
	})
}

// missFor is how long a control instance misses changes: longer than a change may
// take to be in force while the group is disturbed.
const missFor = 14 * time.Second

// missChanges cuts a control instance off from the others for long, so that entry
// instances go on reaching all of them, and changes the configuration meanwhile.
func missChanges(s *strike) {
	if !s.missing.TryLock() {
		return
	}
	defer s.missing.Unlock()
	one := s.control().ip
	controls := map[netip.Addr]bool{}
	for _, i := range s.d.controls {
		controls[i.ip] = true
	}
	lift := s.d.network.Impose(Condition{Silent: true}, func(from, to netip.Addr) bool {
		return controls[from] && controls[to] && (from == one) != (to == one)
	})
	defer lift()
	time.Sleep(time.Second)
	s.operators.configure(0)
	time.Sleep(missFor - time.Second)
}

func (s *strike) place() int { return s.rng.IntN(modelEndpoints + deskEndpoints) }

func crashEndpoint(s *strike) {
	if err := s.d.places.crash(s.place(), s.long); err != nil {
		s.d.ledger.breach("the soak works", "", "endpoint: %v", err)
	}
}

// leaveFor is how long an endpoint serves on after the list shows that it
// leaves, and restFor how long its address rests.
const (
	leaveFor = 5 * time.Second
	restFor  = 2500 * time.Millisecond
)

// replaceEndpoint has an endpoint leave and another come in its place, of
// another service if the address is to change hands. A service keeps half of
// its endpoints.
func replaceEndpoint(s *strike, change bool) {
	n := s.place()
	s.replacing.Lock()
	defer s.replacing.Unlock()
	service := s.d.places.endpoint(n).Service
	rest := restFor
	if change {
		service = s.d.places.smaller()
	} else {
		rest = 0
	}
	if err := s.d.places.replace(n, service, leaveFor, rest); err != nil {
		s.d.ledger.breach("the soak works", "", "endpoint: %v", err)
	}
}

func lateOrders(s *strike) {
	var mu sync.Mutex
	s.d.fleet.DelayOrders(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if s.rng.IntN(2) == 0 {
			return 0
		}
		return time.Duration(500+s.rng.IntN(3500)) * time.Millisecond
	})
	s.wait()
	s.d.fleet.DelayOrders(nil)
}

func (s *strike) list(state platformtest.ListState) {
	s.d.fleet.SetListState(state)
	s.wait()
	s.d.fleet.SetListState(platformtest.ListHealthy)
}

func manyConfigurations(s *strike) {
	for range 3 + s.rng.IntN(8) {
		s.operators.configure(0)
	}
}

func twoOperators(s *strike) {
	var both sync.WaitGroup
	both.Go(func() { s.operators.configure(0) })
	both.Go(func() { s.operators.configure(20) })
	both.Wait()
}

// poison sends a request again and again that crashes whatever runs it.
func poison(s *strike) {
	for range 4 + s.rng.IntN(5) {
		ctx, cancel := context.WithTimeout(context.Background(), callerWait+callerSlack)
		s.load.poison(ctx, s.entry())
		cancel()
		time.Sleep(300 * time.Millisecond)
	}
}
