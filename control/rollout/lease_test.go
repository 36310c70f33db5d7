package rollout

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against an engine that always claims a newer fencing token, and so interrupts the rollout to all others.
func TestEngineThatAlwaysFencesDoesNotHoldUpTheOthers(t *testing.T) {
	now := time.Second
	r := NewController(Options{
		Executor: &fakeControlGroup{}, Instance: "c", Boot: 1, LeaseDuration: time.Minute, EnginesCheckFence: true,
		IsLeader: func() bool { return false }, TargetVersions: func() map[string]uint64 { return nil },
		Now: func() tables.Instant { return now }, Log: zap.NewNop(), Fleet: fleet.NewTable(1),
	})
	acquire := func() tables.FencingToken {
		assert.NilError(t, r.lease.AcquireOrRenew(t.Context()))
		r.step(t.Context())
		fence, _ := r.lease.TokenAndTTL()
		return fence
	}
	holds := func() bool {
		_, left := r.lease.TokenAndTTL()
		return left > 0
	}
	first := acquire()
	r.handleFenced(now, "e", first)
	assert.Assert(t, !holds(), "the next lease has a newer token")

	now += time.Second
	assert.Assert(t, acquire() > first)
	for ; now < time.Second+fencedReleaseInterval; now += stepInterval {
		r.handleFenced(now, "e", first+1)
		r.step(t.Context())
		assert.Assert(t, holds(), "released at %v", now)
		assert.Assert(t, r.planner.notBefore["e"] > now, "ordered under the same token")
	}
	r.step(t.Context())
	assert.Assert(t, !holds(), "the engine never gets an order under a newer token")
}
