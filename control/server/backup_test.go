package server

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against running work twice after two of three disks are lost at once and
// the operators bootstrap a new group from the third. Claims that were open may
// have been dispatched by their owners after the backup, and so may keys that are
// not in the backup; granting them again would repeat their work. Instances that
// have a newer revision in force must accept the restored one.
func TestRestoreAfterMajorityLoss(t *testing.T) {
	g := newGroup(t, 3)
	g.apply(0, "r1", "p1")
	claimed := g.execute(0, g.longContext(), claimCommand("i1", "t1")).GetClaim()
	g.barrier(2)
	for i := range g.servers {
		g.stop(i)
	}
	backup, err := BackupFromLog(g.logStores[2], state.DefaultLimits())
	assert.NilError(t, err)
	encoded, err := EncodeBackup(backup)
	assert.NilError(t, err)
	backup, err = DecodeBackup(encoded)
	assert.NilError(t, err)
	for i := range g.logStores {
		g.logStores[i] = &memoryLogStore{}
	}
	assert.NilError(t, Restore(g.logStores[2], backup, RestoreOptions{
		Self:           Instance{Name: tables.InstanceID(address(2)), Address: address(2)},
		MinRevision:    7,
		UnknownKeyHold: time.Hour,
	}))
	for i := range g.servers {
		g.start(i)
	}
	for _, server := range g.servers {
		assert.NilError(t, server.waitUntil(g.longContext(), func() bool { return server.view.isVoter }))
	}
	g.barrier(0)
	assert.Equal(t, g.servers[0].Revision(), tables.Revision(8))
	answer, err := g.servers[1].Watch(g.longContext(), &rpc.WatchRequest{Revision: 7, WaitNanos: int64(maxWatchWait)})
	assert.NilError(t, err)
	assert.Equal(t, answer.GetRevision(), uint64(8))
	assert.Equal(t, g.apply(1, "r2", "p2"), uint64(9))
	known := g.execute(0, g.longContext(), claimCommand("i2", "t2")).GetClaim()
	assert.Equal(t, known.GetState(), rpc.ClaimState_CLAIM_UNKNOWN)
	unknown := claimCommand("i2", "t3")
	unknown.GetClaim().Key = "note-2"
	held := g.execute(0, g.longContext(), unknown)
	assert.Equal(t, held.GetRefusal().GetReason(), rpc.RefusalReason_REFUSED_CLAIMS_HELD)
	lease := g.execute(0, g.longContext(), &rpc.Command{Action: &rpc.Command_AcquireLease{AcquireLease: &rpc.AcquireLease{
		Name: "orders", Holder: &rpc.ClaimOwner{Instance: "i1"}, DurationNanos: int64(time.Second),
	}}})
	assert.Assert(t, lease.GetLease().GetFence() > claimed.GetFence()+1<<31)
	assert.Assert(t, g.logStores[2].replica != replog.None)
}
