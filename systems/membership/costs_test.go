package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// costGroup returns entry instances of the given zones that know each other.
func costGroup(t *testing.T, zones ...tables.Zone) []*Membership {
	t.Helper()
	var infos []InstanceInfo
	for i, zone := range zones {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
		infos = append(infos, InstanceInfo{Instance: tables.InstanceID(fmt.Sprintf("i%02d", i)), Zone: zone, Roles: RoleEntry, Size: 10, Address: at, Boot: 1})
	}
	var all []*Membership
	for _, self := range infos {
		m := New(Options{Self: self, UseSchedulers: true})
		for _, other := range infos {
			if other.Instance != self.Instance {
				m.merge(time.Second, Member{InstanceInfo: other, State: Alive})
			}
		}
		all = append(all, m)
	}
	return all
}

// Guards against totals that are lost because they do not fit into one datagram, and against a zone's
// total that counts as one instance's, or the other way round.
func TestOrganisationCostsArriveWithTheirSender(t *testing.T) {
	for _, entries := range []int{4, 40} {
		zones := make([]tables.Zone, entries)
		for i := range zones {
			zones[i] = tables.Zone("ab"[i%2 : i%2+1])
		}
		members := costGroup(t, zones...)
		var costs []OrganisationCost
		for i := range 64 {
			costs = append(costs, OrganisationCost{Service: "models", Organisation: fmt.Sprintf("organisation-%d", i), Class: 3, Total: 1 << 40})
		}
		received := func(from *Membership, out Output) (all []OrganisationCost) {
			for _, m := range members {
				for _, d := range out.Datagrams {
					if m.self.Address != d.To {
						continue
					}
					assert.Assert(t, len(d.Payload) <= m.config.MaxDatagramBytes)
					in, err := m.Receive(time.Second, from.self.Address, d.Payload)
					assert.NilError(t, err)
					all = append(all, in.Hints.Costs...)
				}
			}
			return all
		}
		sender := members[0]
		near := received(sender, sender.SendOrganisationCosts(time.Second, costs))
		assert.Equal(t, len(near), 64*sender.HintReceiverCount())
		assert.DeepEqual(t, near[0], OrganisationCost{Sender: "i00", Zone: "a", Service: "models", Organisation: "organisation-0", Class: 3, Total: 1 << 40})
		far := received(sender, sender.SendOrganisationCostsToOtherZones(time.Second, costs))
		assert.Equal(t, len(far), 64*sender.RemoteSchedulerCount())
		assert.Equal(t, len(far) > 0, entries > FullMeshLimit)
		for _, c := range far {
			assert.Assert(t, c.Remote && c.Zone == "a")
		}
	}
}
