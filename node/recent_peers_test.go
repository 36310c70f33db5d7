package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against an instance that counts as alone, or a zone that counts as empty, because its
// members are not known yet or a partition has made them count as dead.
func TestRecentPeersCountForAMinute(t *testing.T) {
	member := func(id tables.InstanceID, zone tables.Zone, state membership.State) membership.Member {
		return membership.Member{InstanceInfo: membership.InstanceInfo{Instance: id, Zone: zone, Roles: membership.RoleEntry}, State: state}
	}
	self := member("self", "a", membership.Alive)
	var p recentPeers
	p.observe(0, "self", []membership.Member{self})
	assert.Equal(t, p.peers(time.Hour, true), relay.PeersUnknown)
	assert.Equal(t, p.peers(peersLearnedAfter-1, false), relay.PeersUnknown)
	assert.Equal(t, p.peers(peersLearnedAfter, false), relay.NoPeers)
	p.observe(6*time.Second, "self", []membership.Member{self, member("x", "b", membership.Alive), member("y", "b", membership.Suspect)})
	// The zone is partitioned after an hour without a change.
	cut := time.Hour
	p.observe(cut, "self", []membership.Member{self, member("x", "b", membership.Dead), member("y", "b", membership.Dead)})
	assert.Equal(t, p.peers(cut+peerCountWindow, true), relay.HasPeers)
	all, inZone := p.counts(cut+peerCountWindow, "b")
	assert.Equal(t, all, 2)
	assert.Equal(t, inZone, 2)
	_, own := p.counts(cut, "a")
	assert.Equal(t, own, 0)
	_, inZone = p.counts(cut+peerCountWindow+1, "b")
	assert.Equal(t, inZone, 0)
	assert.Equal(t, p.peers(cut+peerCountWindow+1, true), relay.NoPeers)
}
