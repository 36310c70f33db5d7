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

// Two of three disks are lost at once. The operators take what the third one
// has, and found a new group with it. A claim that was open then may have been
// dispatched by its owner in the meantime, and so may keys that nobody knows:
// granting them would run their work twice. Instances that have a newer revision
// in force must take the restored one.
func TestMajorityLost(t *testing.T) {
	g := newGroup(t, 3)
	g.apply(0, "r1", "p1")
	claimed := g.execute(0, g.long(), claimCommand("i1", "t1")).GetClaim()
	g.barrier(2)
	for i := range g.servers {
		g.stop(i)
	}
	backup, err := BackupFromLog(g.disks[2], state.DefaultLimits())
	assert.NilError(t, err)
	encoded, err := EncodeBackup(backup)
	assert.NilError(t, err)
	backup, err = DecodeBackup(encoded)
	assert.NilError(t, err)
	for i := range g.disks {
		g.disks[i] = &memoryDisk{}
	}
	assert.NilError(t, Restore(g.disks[2], backup, RestoreOptions{
		Self:           Instance{Name: tables.InstanceID(address(2)), Address: address(2)},
		MinRevision:    7,
		UnknownKeyHold: time.Hour,
	}))
	for i := range g.servers {
		g.start(i)
	}
	for _, server := range g.servers {
		assert.NilError(t, server.until(g.long(), func() bool { return server.view.voter }))
	}
	g.barrier(0)
	assert.Equal(t, g.servers[0].Revision(), tables.Revision(8))
	answer, err := g.servers[1].Watch(g.long(), &rpc.WatchRequest{Revision: 7, WaitNanos: int64(maxWatch)})
	assert.NilError(t, err)
	assert.Equal(t, answer.GetRevision(), uint64(8))
	assert.Equal(t, g.apply(1, "r2", "p2"), uint64(9))
	known := g.execute(0, g.long(), claimCommand("i2", "t2")).GetClaim()
	assert.Equal(t, known.GetState(), rpc.ClaimState_CLAIM_UNKNOWN)
	unknown := claimCommand("i2", "t3")
	unknown.GetClaim().Key = "note-2"
	held := g.execute(0, g.long(), unknown)
	assert.Equal(t, held.GetRefusal().GetReason(), rpc.RefusalReason_REFUSED_CLAIMS_HELD)
	lease := g.execute(0, g.long(), &rpc.Command{Action: &rpc.Command_AcquireLease{AcquireLease: &rpc.AcquireLease{
		Name: "orders", Holder: &rpc.ClaimOwner{Instance: "i1"}, DurationNanos: int64(time.Second),
	}}})
	assert.Assert(t, lease.GetLease().GetFence() > claimed.GetFence()+1<<31)
	assert.Assert(t, g.disks[2].replica != replog.None)
}
