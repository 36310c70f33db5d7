package rollout

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// fakeControlGroup grants the lease to whoever requests it, under a higher
// fence after each release.
type fakeControlGroup struct {
	mu    sync.Mutex
	fence uint64
	held  bool
	// announcedBefore holds orders announced by another holder, announced those
	// of the controller under test.
	announcedBefore []*rpc.AnnouncedOrder
	announced       map[string]bool
	// rejectsAnnouncements makes every announcement fail without a quorum.
	rejectsAnnouncements bool
}

func (g *fakeControlGroup) Execute(_ context.Context, command *rpc.Command) (*rpc.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if command.GetReleaseLease() != nil {
		g.held = false
		return &rpc.Result{Answer: &rpc.Result_Done{Done: &rpc.Done{}}}, nil
	}
	if announce := command.GetAnnounceOrders(); announce != nil {
		if g.rejectsAnnouncements {
			return nil, &tables.NoQuorumError{}
		}
		for _, id := range announce.GetEndpoints() {
			g.announced[id] = true
		}
		return &rpc.Result{Answer: &rpc.Result_Done{Done: &rpc.Done{}}}, nil
	}
	if !g.held {
		g.held = true
		g.fence++
	}
	return &rpc.Result{Answer: &rpc.Result_Lease{Lease: &rpc.LeaseAnswer{
		Granted: true, Fence: g.fence, Announced: g.announcedBefore,
	}}}, nil
}

// fakeEngine accepts orders whose fence is at least minFence.
type fakeEngine struct {
	mu         sync.Mutex
	minFence   tables.FencingToken
	orders     []Order
	orderTimes []tables.Instant
	now        func() tables.Instant
	report     Report
}

func (e *fakeEngine) Report(context.Context, fleet.Endpoint) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, nil
}

func (e *fakeEngine) Order(_ context.Context, _ fleet.Endpoint, order Order) (OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	e.orderTimes = append(e.orderTimes, e.now())
	if order.Fence < e.minFence {
		return Fenced, nil
	}
	e.report.Sequence++
	e.report.Weights = map[string]uint64{order.Model: order.Version}
	return Accepted, nil
}

// runUntilUpdated runs a controller until the engine has the target weights.
func runUntilUpdated(t *testing.T, engine *fakeEngine, group *fakeControlGroup, fenced bool) {
	t.Helper()
	started := time.Now()
	engine.now = func() tables.Instant { return time.Since(started) }
	engine.report.Weights = map[string]uint64{"m": 1}
	table := fleet.NewTable(1)
	table.ApplyList([]fleet.Endpoint{{ID: "e", Zone: "z", StartUnixMilli: 1, Weights: map[string]uint64{"m": 1}}})
	r := NewController(Options{
		Engines: engine, Executor: group, IsLeader: func() bool { return true }, Fleet: table,
		TargetVersions: func() map[string]uint64 { return map[string]uint64{"m": 2} },
		Instance:       "c", Boot: 1, LeaseDuration: 1200 * time.Millisecond, HandoverDelay: handoverDelay, EnginesCheckFence: fenced, Now: engine.now, Log: zap.NewNop(),
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	defer func() { <-done }()
	defer stop()
	deadline := time.Now().Add(30 * time.Second)
	for table.Endpoints()[0].Weights["m"] != 2 {
		assert.Assert(t, time.Now().Before(deadline), "target weights not reached within 30 s")
		time.Sleep(10 * time.Millisecond)
	}
}

// An engine has seen a higher fencing token from another holder. Further orders
// under the lower token could undo that holder's changes, so the controller
// must acquire the lease again first.
func TestFencedControllerReacquiresLease(t *testing.T) {
	engine := &fakeEngine{minFence: orderToken(2, 0)}
	runUntilUpdated(t, engine, &fakeControlGroup{}, true)
	assert.Equal(t, engine.orders[0].Fence, orderToken(1, 1))
	for _, order := range engine.orders[1:] {
		assert.Assert(t, order.Fence >= orderToken(2, 0), "fence %d after a refusal", order.Fence)
	}
}

// handoverDelay is the minimum time between two holders' orders in tests.
const handoverDelay = 600 * time.Millisecond

// Engines do not check fencing tokens, and an earlier holder may just have sent
// an order. The next holder's order to the same engine must not overlap with
// it.
func TestUnfencedEngineIsDelayedAfterHandover(t *testing.T) {
	engine := &fakeEngine{}
	group := &fakeControlGroup{announced: map[string]bool{}, announcedBefore: []*rpc.AnnouncedOrder{{Endpoint: "e", AgeNanos: 0}}}
	runUntilUpdated(t, engine, group, false)
	assert.Assert(t, engine.orderTimes[0] >= handoverDelay+maxOrderDelay, "first order after %v", engine.orderTimes[0])
	assert.Assert(t, group.announced["e"])
}

// The next holder would not know of an order whose announcement was not
// committed, and could send its own order right after it.
func TestUnannouncedOrderIsNotSent(t *testing.T) {
	engine := &fakeEngine{now: func() tables.Instant { return 0 }}
	group := &fakeControlGroup{announced: map[string]bool{}, rejectsAnnouncements: true}
	r := NewController(Options{
		Engines: engine, Executor: group, Instance: "c", Boot: 1, LeaseDuration: time.Minute, HandoverDelay: handoverDelay,
		Now: engine.now, Log: zap.NewNop(), Fleet: fleet.NewTable(1),
	})
	assert.NilError(t, r.lease.AcquireOrRenew(t.Context()))
	fence, _ := r.lease.TokenAndTTL()
	taken, err := r.announceAndSend(t.Context(), Action{Endpoint: fleet.Endpoint{ID: "e"}}, Order{Fence: fence})
	assert.Equal(t, taken, Rejected)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(engine.orders), 0)
}

// The holder is paused between the announcement and the order. When it resumes,
// its lease has expired and another holder may send orders.
func TestOrderIsNotSentAfterLeaseExpiry(t *testing.T) {
	now := tables.Instant(0)
	engine := &fakeEngine{now: func() tables.Instant { return now }}
	group := &fakeControlGroup{announced: map[string]bool{}}
	r := NewController(Options{
		Engines: engine, Executor: group, Instance: "c", Boot: 1, LeaseDuration: time.Second, HandoverDelay: handoverDelay,
		Now: engine.now, Log: zap.NewNop(), Fleet: fleet.NewTable(1),
	})
	assert.NilError(t, r.lease.AcquireOrRenew(t.Context()))
	fence, _ := r.lease.TokenAndTTL()
	now = 2 * time.Second
	taken, err := r.announceAndSend(t.Context(), Action{Endpoint: fleet.Endpoint{ID: "e"}}, Order{Fence: fence})
	assert.Equal(t, taken, Rejected)
	assert.NilError(t, err)
	assert.Equal(t, len(engine.orders), 0)
}
