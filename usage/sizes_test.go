package usage

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// mixedDeployment has nine instances in three zones, of which every second one has begun to weigh
// the others by size.
type mixedDeployment struct {
	now     tables.Instant
	clients map[netip.AddrPort]*Client
	servers []*Server
	order   []*Client
	byZone  [2]map[tables.Zone][]membership.EntryInstance
}

func newMixedDeployment(limits map[Subject]Limit) *mixedDeployment {
	d := &mixedDeployment{clients: map[netip.AddrPort]*Client{}}
	d.byZone = [2]map[tables.Zone][]membership.EntryInstance{{}, {}}
	for i := range 9 {
		zone := tables.Zone(fmt.Sprint("z", i%3))
		e := membership.EntryInstance{Instance: tables.InstanceID(fmt.Sprint("i", i)), Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))}
		e.Size = []int{14, 14, 48}[i/3]
		d.byZone[0][zone] = append(d.byZone[0][zone], e)
		e.Weight = e.Size
		d.byZone[1][zone] = append(d.byZone[1][zone], e)
	}
	for i := range 9 {
		zone, sized := tables.Zone(fmt.Sprint("z", i%3)), i%2
		self := d.byZone[0][zone][i/3]
		send := func(to netip.AddrPort, message *rpc.UsageMessage) {
			d.clients[to].HandleMessage(membership.Sender{Instance: self.Instance, Address: self.Address}, message)
		}
		now := func() tables.Instant { return d.now }
		entries := func() map[tables.Zone][]membership.EntryInstance { return d.byZone[sized] }
		server := NewServer(ServerOptions{
			Self: self.Instance, Zone: zone, BootEpoch: 1, EntriesByZone: entries, Send: send, Now: now, SizesChanging: func() bool { return true },
		})
		server.SetLimits(limits)
		client := NewClient(ClientOptions{
			Self: self.Instance, Zone: zone, BootEpoch: 1, Server: server, EntriesByZone: entries, InstanceCount: func() int { return 9 },
			Send: send, Now: now, Log: zap.NewNop(),
		})
		d.clients[self.Address], d.servers, d.order = client, append(d.servers, server), append(d.order, client)
	}
	return d
}

// Guards against two owners of a limit in each zone that do not learn of each other while some
// instances choose by size already, so that each admits the whole limit.
func TestLimitHoldsWhileSomeInstancesChooseBySize(t *testing.T) {
	const subjects, seconds, cost = 12, 20, 10
	limit := Limit{Rate: 1000, Burst: 2000}
	limits := map[Subject]Limit{}
	for i := range subjects {
		limits[OrganisationSubject(tables.OrganisationID(fmt.Sprint("o", i)))] = limit
	}
	d := newMixedDeployment(limits)
	admitted := map[Subject]int{}
	for d.now = 0; d.now < seconds*time.Second; d.now += 10 * time.Millisecond {
		for _, client := range d.order {
			for id := range limits {
				if client.Admit(context.Background(), id, limit, cost).Admitted {
					admitted[id] += cost
				}
			}
		}
		if d.now%reportPollInterval < 10*time.Millisecond {
			for _, server := range d.servers {
				server.sendReports()
			}
		}
	}
	allowed := int(limit.Rate*seconds + limit.Burst)
	for id, sum := range admitted {
		assert.Check(t, sum < allowed*105/100, "%s: admitted %d, allowed %d", id, sum, allowed)
		assert.Check(t, sum > allowed*8/10, "%s: admitted %d, allowed %d", id, sum, allowed)
	}
}

// Load: 1,500 tokens every 15 s per limit, of 1,000 tokens a second. Guards against an owner that
// deducts the whole running total of another one in its zone again after each pause.
func TestIntermittentUseIsAdmittedWhileSomeInstancesChooseBySize(t *testing.T) {
	const step, pause, cost = 50 * time.Millisecond, 15 * time.Second, 750
	limit, limits := Limit{Rate: 1000, Burst: 2000}, map[Subject]Limit{}
	var subjects []Subject
	for i := range 9 {
		subjects = append(subjects, OrganisationSubject(tables.OrganisationID(fmt.Sprint("o", i))))
		limits[subjects[i]] = limit
	}
	d := newMixedDeployment(limits)
	for d.now = step; d.now < 15*time.Minute; d.now += step {
		for i, id := range subjects {
			if d.now%pause != 0 {
				continue
			}
			// Both instances are in one zone, and one of them chooses by size.
			for _, client := range []*Client{d.order[i], d.order[(i+3)%len(d.order)]} {
				verdict := client.Admit(context.Background(), id, limit, cost)
				assert.Assert(t, verdict.Admitted, "%s after %v", id, d.now)
			}
		}
		for _, server := range d.servers {
			server.sendReports()
		}
	}
}
