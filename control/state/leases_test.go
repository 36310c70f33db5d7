package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

func (w *harness) acquire(instance string, boot uint64) *rpc.LeaseAnswer {
	return w.run(&rpc.Command{Action: &rpc.Command_AcquireLease{AcquireLease: &rpc.AcquireLease{
		Name:          "orders",
		Holder:        &rpc.ClaimOwner{Instance: instance, Boot: boot},
		DurationNanos: int64(10 * time.Second),
	}}}).GetLease()
}

func (w *harness) startLoad(fence uint64, endpoint string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_StartLoad{StartLoad: &rpc.StartLoad{
		Lease: "orders", Fence: fence, Endpoint: endpoint, Model: "m", Weights: "w",
	}}})
}

func (w *harness) endLoad(fence uint64, endpoint string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_EndLoad{EndLoad: &rpc.EndLoad{
		Lease: "orders", Fence: fence, Endpoint: endpoint,
	}}})
}

// The holder is partitioned from the group. Another instance may acquire the
// lease only after its full duration, and the loads that the first holder
// started still count against the limit. Otherwise the weight store would serve
// too many loads at once.
func TestNextLeaseHolderWaitsForExpiryAndInheritsLoads(t *testing.T) {
	w := newHarness()
	w.run(w.applyCommand("ama", "r", 0, contentOf(t, "a")))
	first := w.acquire("i1", 1)
	assert.Assert(t, first.GetGranted())
	assert.Assert(t, w.startLoad(first.GetFence(), "e1").GetDone() != nil)
	assert.Assert(t, w.startLoad(first.GetFence(), "e2").GetDone() != nil)
	assert.Assert(t, w.startLoad(first.GetFence(), "e2").GetDone() != nil)
	assert.Equal(t, refusalReason(w.startLoad(first.GetFence(), "e3")), rpc.RefusalReason_REFUSED_LOADS_FULL)
	w.time += 9 * time.Second
	refusal := w.acquire("i2", 1)
	assert.Assert(t, !refusal.GetGranted())
	assert.Equal(t, time.Duration(refusal.GetRetryAfterNanos()), time.Second)
	w.time += time.Second
	second := w.acquire("i2", 1)
	assert.Assert(t, second.GetGranted())
	assert.Assert(t, second.GetFence() > first.GetFence())
	assert.Equal(t, len(second.GetLoads()), 2)
	assert.Equal(t, refusalReason(w.endLoad(first.GetFence(), "e1")), rpc.RefusalReason_REFUSED_LEASE_LOST)
	assert.Equal(t, refusalReason(w.startLoad(second.GetFence(), "e3")), rpc.RefusalReason_REFUSED_LOADS_FULL)
	assert.Assert(t, w.endLoad(second.GetFence(), "e1").GetDone() != nil)
	assert.Assert(t, w.startLoad(second.GetFence(), "e3").GetDone() != nil)
}

func TestLeaseRenewalKeepsFencingToken(t *testing.T) {
	w := newHarness()
	first := w.acquire("i1", 1)
	w.time += 9 * time.Second
	assert.Equal(t, w.acquire("i1", 1).GetFence(), first.GetFence())
	w.time += 9 * time.Second
	assert.Assert(t, !w.acquire("i1", 2).GetGranted())
	w.time += time.Second
	assert.Assert(t, w.acquire("i1", 2).GetFence() > first.GetFence())
}

// A command carries a stamp from another leader that is older than the newest
// stamp. Log time must not decrease, or a lease would appear to last longer
// than it does.
func TestLogTimeIsMonotonic(t *testing.T) {
	w := newHarness()
	w.time = time.Minute
	w.acquire("i1", 1)
	w.time = time.Second
	w.acquire("i2", 1)
	assert.Equal(t, w.Now(), time.Minute)
}

func (w *harness) announce(fence uint64, endpoints ...string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_AnnounceOrders{AnnounceOrders: &rpc.AnnounceOrders{
		Lease: "orders", Fence: fence, Endpoints: endpoints,
	}}})
}

// A holder is paused after it has announced orders. The next holder must learn
// of them, also after all replicas were restored from a snapshot, or its order
// to an endpoint could overlap with the first one.
func TestNextLeaseHolderReceivesAnnouncedOrders(t *testing.T) {
	w := newHarness()
	first := w.acquire("i1", 1)
	assert.Assert(t, w.announce(first.GetFence(), "e2", "e1").GetDone() != nil)
	w.time += 3 * time.Second
	assert.Assert(t, w.announce(first.GetFence(), "e1").GetDone() != nil)
	w.time += 10 * time.Second
	saved, err := w.Snapshot()
	assert.NilError(t, err)
	w.State = New(DefaultLimits())
	assert.NilError(t, w.Restore(saved))
	second := w.acquire("i2", 1)
	assert.Equal(t, len(second.GetAnnounced()), 2)
	for i, want := range []time.Duration{10 * time.Second, 13 * time.Second} {
		order := second.GetAnnounced()[i]
		assert.Equal(t, order.GetEndpoint(), []string{"e1", "e2"}[i])
		assert.Equal(t, time.Duration(order.GetAgeNanos()), want)
	}
	assert.Equal(t, refusalReason(w.announce(first.GetFence(), "e3")), rpc.RefusalReason_REFUSED_LEASE_LOST)
}

// A holder loses its lease briefly and acquires it again. Its own earlier
// announcements must not be returned as those of another holder.
func TestReacquiredLeaseOmitsOwnAnnouncedOrders(t *testing.T) {
	w := newHarness()
	first := w.acquire("i1", 1)
	assert.Assert(t, w.announce(first.GetFence(), "e1").GetDone() != nil)
	w.time += 11 * time.Second
	assert.Equal(t, len(w.acquire("i1", 1).GetAnnounced()), 0)
}
