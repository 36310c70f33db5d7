package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// fakeInstances are directories that reach each other unless they are down.
type fakeInstances struct {
	zones       map[tables.Zone][]membership.EntryInstance
	directories map[netip.AddrPort]*Directory
	down        map[netip.AddrPort]bool
	archives    []membership.EntryInstance
	archiveAt   map[netip.AddrPort]*Archive
	sent        int
	// seen is what each instance has seen of all services.
	seen map[netip.AddrPort]Seen
	// asking guards the maps against lookups that go on after the first answer.
	asking sync.Mutex
}

func newFakeInstances(zones, perZone int) *fakeInstances {
	f := &fakeInstances{
		zones: map[tables.Zone][]membership.EntryInstance{}, directories: map[netip.AddrPort]*Directory{}, down: map[netip.AddrPort]bool{},
		archiveAt: map[netip.AddrPort]*Archive{}, seen: map[netip.AddrPort]Seen{},
	}
	for z := range zones {
		for i := range perZone {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i >> 8), byte(i)}), 1)
			instance := membership.EntryInstance{Instance: tables.InstanceID(at.String()), Address: at, Control: at}
			zone := tables.Zone(fmt.Sprint("z", z))
			f.zones[zone] = append(f.zones[zone], instance)
			f.directories[at] = f.newDirectory(instance)
		}
	}
	return f
}

func (f *fakeInstances) newDirectory(self membership.EntryInstance) *Directory {
	return NewDirectory(Options{
		Self: self.Instance, Now: func() tables.Instant { return time.Second },
		EntriesByZone: func() map[tables.Zone][]membership.EntryInstance { return f.zones },
		Archives:      func() []membership.EntryInstance { return f.archives },
		Send: func(to netip.AddrPort, message *rpc.StreamOrigins) {
			f.sent++
			if archive := f.archiveAt[to]; archive != nil {
				archive.Receive(message)
			} else if !f.down[to] {
				f.directories[to].Receive(message)
			}
		},
		Ask:  f.ask,
		Seen: func(string) Seen { return Seen{Versions: []string{"v1"}, Complete: true} },
	})
}

func (f *fakeInstances) ask(_ context.Context, instance membership.EntryInstance, requests, services []string) (Answer, error) {
	f.asking.Lock()
	defer f.asking.Unlock()
	if f.down[instance.Control] {
		return Answer{}, errors.New("down")
	}
	answer := Answer{Origins: map[string]string{}, Services: map[string]Seen{}}
	for _, request := range requests {
		find := f.directories[instance.Control].FindLocally
		if archive := f.archiveAt[instance.Control]; archive != nil {
			find = archive.Find
		}
		if software, known := find(request); known {
			answer.Origins[request] = software
		}
	}
	for _, service := range services {
		answer.Services[service] = f.seen[instance.Control]
	}
	return answer, nil
}

// find returns the origin of a request's stream by the directory at an address.
func (f *fakeInstances) find(t *testing.T, at netip.AddrPort, request string) (software string, known bool) {
	found := f.directories[at].Find(t.Context(), request, "s")
	return found.Software, found.Known
}

// Guards against a resumption whose origin is lost with the instance and the zone that began it.
func TestOriginIsKnownInEachZoneAfterItsInstanceIsLost(t *testing.T) {
	for perZone, messages := range map[int]int{3: 8, 85: 4} {
		f := newFakeInstances(4, perZone)
		first := f.zones["z0"][0].Control
		f.directories[first].Record(Origin{Request: "r", Software: "v2"}, true)
		assert.Assert(t, f.sent <= messages)
		for _, e := range f.zones["z0"] {
			f.down[e.Control] = true
		}
		for zone, entries := range f.zones {
			if zone == "z0" {
				continue
			}
			software, known := f.find(t, entries[perZone-1].Control, "r")
			assert.Assert(t, known)
			assert.Equal(t, software, "v2")
		}
		_, known := f.find(t, f.zones["z1"][0].Control, "other")
		assert.Assert(t, !known)
	}
}

// Guards against origins of streams that began before a second version appeared being unknown
// elsewhere.
func TestEarlierOriginsArePublishedLater(t *testing.T) {
	f := newFakeInstances(3, 3)
	first := f.directories[f.zones["z0"][0].Control]
	for n := range 100 {
		first.Record(Origin{Request: fmt.Sprint("r", n), Software: "v1"}, false)
	}
	assert.Equal(t, f.sent, 0)
	first.PublishAll()
	f.down[f.zones["z0"][0].Control] = true
	for n := range 100 {
		_, known := f.find(t, f.zones["z1"][0].Control, fmt.Sprint("r", n))
		assert.Assert(t, known)
	}
}

// Guards against origins that are forgotten while their streams may be resumed, or kept for ever.
func TestTableKeepsOriginsForALimitedTime(t *testing.T) {
	var table Table
	table.Record(time.Second, Origin{Request: "r", Software: "v1"})
	table.Record(generationAge, Origin{Request: "s"})
	_, known := table.Find("r")
	assert.Assert(t, known)
	for n := range 3 {
		table.Record(time.Second+time.Duration(n+1)*generationAge, Origin{Request: "t"})
	}
	_, known = table.Find("r")
	assert.Assert(t, !known)
}
