package state

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

func (w *world) acquire(instance string, boot uint64) *rpc.LeaseAnswer {
	return w.run(&rpc.Command{Action: &rpc.Command_AcquireLease{AcquireLease: &rpc.AcquireLease{
		Name:          "orders",
		Holder:        &rpc.ClaimOwner{Instance: instance, Boot: boot},
		DurationNanos: int64(10 * time.Second),
	}}}).GetLease()
}

func (w *world) startLoad(fence uint64, endpoint string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_StartLoad{StartLoad: &rpc.StartLoad{
		Lease: "orders", Fence: fence, Endpoint: endpoint, Model: "m", Weights: "w",
	}}})
}

func (w *world) endLoad(fence uint64, endpoint string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_EndLoad{EndLoad: &rpc.EndLoad{
		Lease: "orders", Fence: fence, Endpoint: endpoint,
	}}})
}

// The holder is cut off. Another instance may give orders only after the whole
// duration, and the loads that the first one started still count: starting as
// many again would slow the weight store down for all.
func TestSuccessorWaitsAndCountsLoads(t *testing.T) {
	w := newWorld()
	w.run(w.applyCommand("ama", "r", 0, contentOf(t, "a")))
	first := w.acquire("i1", 1)
	assert.Assert(t, first.GetGranted())
	assert.Assert(t, w.startLoad(first.GetFence(), "e1").GetDone() != nil)
	assert.Assert(t, w.startLoad(first.GetFence(), "e2").GetDone() != nil)
	assert.Assert(t, w.startLoad(first.GetFence(), "e2").GetDone() != nil)
	assert.Equal(t, reason(w.startLoad(first.GetFence(), "e3")), rpc.RefusalReason_REFUSED_LOADS_FULL)
	w.time += 9 * time.Second
	refusal := w.acquire("i2", 1)
	assert.Assert(t, !refusal.GetGranted())
	assert.Equal(t, time.Duration(refusal.GetRetryAfterNanos()), time.Second)
	w.time += time.Second
	second := w.acquire("i2", 1)
	assert.Assert(t, second.GetGranted())
	assert.Assert(t, second.GetFence() > first.GetFence())
	assert.Equal(t, len(second.GetLoads()), 2)
	assert.Equal(t, reason(w.endLoad(first.GetFence(), "e1")), rpc.RefusalReason_REFUSED_LEASE_LOST)
	assert.Equal(t, reason(w.startLoad(second.GetFence(), "e3")), rpc.RefusalReason_REFUSED_LOADS_FULL)
	assert.Assert(t, w.endLoad(second.GetFence(), "e1").GetDone() != nil)
	assert.Assert(t, w.startLoad(second.GetFence(), "e3").GetDone() != nil)
}

func TestRenewalKeepsTheFence(t *testing.T) {
	w := newWorld()
	first := w.acquire("i1", 1)
	w.time += 9 * time.Second
	assert.Equal(t, w.acquire("i1", 1).GetFence(), first.GetFence())
	w.time += 9 * time.Second
	assert.Assert(t, !w.acquire("i1", 2).GetGranted())
	w.time += time.Second
	assert.Assert(t, w.acquire("i1", 2).GetFence() > first.GetFence())
}

// The stamp of a command comes from another leader and is older than the
// newest. Time must not go back, or a lease would seem longer than it is to
// one who asks now.
func TestTimeNeverGoesBack(t *testing.T) {
	w := newWorld()
	w.time = time.Minute
	w.acquire("i1", 1)
	w.time = time.Second
	w.acquire("i2", 1)
	assert.Equal(t, w.Now(), time.Minute)
}

func (w *world) announce(fence uint64, endpoints ...string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_AnnounceOrders{AnnounceOrders: &rpc.AnnounceOrders{
		Lease: "orders", Fence: fence, Endpoints: endpoints,
	}}})
}

// A holder freezes after it has announced orders. Its successor has to know of
// them, also after all replicas have restarted from a snapshot, or it would give
// an endpoint an order that mixes with the first.
func TestSuccessorKnowsOfAnnouncedOrders(t *testing.T) {
	w := newWorld()
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
	assert.Equal(t, reason(w.announce(first.GetFence(), "e3")), rpc.RefusalReason_REFUSED_LEASE_LOST)
}

// A holder lost its lease for a moment and has it again. Its own earlier orders
// are no other holder's.
func TestOwnAnnouncedOrdersAreNoOthers(t *testing.T) {
	w := newWorld()
	first := w.acquire("i1", 1)
	assert.Assert(t, w.announce(first.GetFence(), "e1").GetDone() != nil)
	w.time += 11 * time.Second
	assert.Equal(t, len(w.acquire("i1", 1).GetAnnounced()), 0)
}
