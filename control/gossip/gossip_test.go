package gossip

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

func startGossip(t *testing.T, key string, i int, seeds []netip.AddrPort, options Options) *Gossip {
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte(key), 0o600))
	ring, err := keys.Read(path)
	assert.NilError(t, err)
	options.Ring = ring
	options.Membership = membership.Options{
		Self: membership.InstanceInfo{
			Instance: tables.InstanceID(fmt.Sprint("i", i)),
			Roles:    membership.RoleEntry,
			Size:     1,
			Address:  netip.MustParseAddrPort("127.0.0.1:0"),
			Control:  netip.MustParseAddrPort("127.0.0.1:1"),
			Boot:     1,
		},
		Seeds: seeds,
	}
	g, err := Start(options)
	assert.NilError(t, err)
	t.Cleanup(g.Close)
	return g
}

// Guards against datagrams sealed with another key, for example from another
// deployment that sends to the same address. They must be dropped without affecting
// discovery among instances that share the key.
func TestDiscoveryIgnoresOtherKeys(t *testing.T) {
	const key, foreignKey = "0123456789abcdef0123456789abcdef", "another-key-of-thirty-two-letters"
	changed := make(chan []membership.Member, 100)
	placed := make(chan membership.Placement, 1)
	newer := make(chan netip.AddrPort, 100)
	first := startGossip(t, key, 0, nil, Options{
		OnMembersChanged: func(members []membership.Member) { changed <- members },
		OnPlacement:      func(p membership.Placement) { placed <- p },
		OnNewerRevision:  func(at netip.AddrPort) { newer <- at },
	})
	seeds := []netip.AddrPort{first.Address()}
	second := startGossip(t, key, 1, seeds, Options{})
	foreign := startGossip(t, foreignKey, 2, seeds, Options{})
	second.SetRevision(4, time.Unix(1, 0))
	members := <-changed
	for len(members) < 2 {
		members = <-changed
	}
	assert.Equal(t, len(members), 2)
	for len(second.Members()) < 2 {
		<-newer
	}
	second.SendHints(membership.Hints{Placements: []membership.Placement{{Endpoint: "e", Boot: "b", Block: 1}}})
	assert.Equal(t, (<-placed).Block, tables.BlockHash(1))
	assert.Equal(t, (<-newer).Port(), uint16(1))
	assert.Equal(t, first.LoadShare(), 0.5)
	for first.Traffic().Dropped == 0 {
		<-newer
	}
	assert.Equal(t, len(foreign.Members()), 1)
}

// Guards against fast discovery whose queries are not sent, or that waits for a tick.
func TestFastDiscoveryQueriesSeedsAtOnce(t *testing.T) {
	start := func(i int, seeds ...netip.AddrPort) *Gossip {
		g, err := Start(Options{
			Membership: membership.Options{
				Self: membership.InstanceInfo{
					Instance: tables.InstanceID(fmt.Sprint("i", i)), Roles: membership.RoleEntry, Size: 1,
					Address: netip.MustParseAddrPort("127.0.0.1:0"), Control: netip.MustParseAddrPort("127.0.0.1:1"), Boot: 1,
				},
				Seeds: seeds, FastDiscovery: true,
			},
			Ring: keys.NewRing("key"),
		})
		assert.NilError(t, err)
		t.Cleanup(g.Close)
		return g
	}
	first := start(0)
	second := start(1, first.Address())
	for len(second.Members()) < 2 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, second.Traffic().SentDatagrams > 0)
}
