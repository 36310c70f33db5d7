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

// leaseGroup grants the lease to whoever asks, with a higher fence each time
// that it was released.
type leaseGroup struct {
	mu    sync.Mutex
	fence uint64
	held  bool
	// before are orders that another holder has announced, announced those of
	// this one.
	before    []*rpc.AnnouncedOrder
	announced map[string]bool
	// deaf makes the group note nothing.
	deaf bool
}

func (g *leaseGroup) Execute(_ context.Context, command *rpc.Command) (*rpc.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if command.GetReleaseLease() != nil {
		g.held = false
		return &rpc.Result{Answer: &rpc.Result_Done{Done: &rpc.Done{}}}, nil
	}
	if announce := command.GetAnnounceOrders(); announce != nil {
		if g.deaf {
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
		Granted: true, Fence: g.fence, Announced: g.before,
	}}}, nil
}

// engineStub takes orders from one fence on.
type engineStub struct {
	mu     sync.Mutex
	least  tables.FencingToken
	orders []Order
	at     []tables.Instant
	now    func() tables.Instant
	report Report
}

func (e *engineStub) Report(context.Context, fleet.Endpoint) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, nil
}

func (e *engineStub) Order(_ context.Context, _ fleet.Endpoint, order Order) (OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order)
	e.at = append(e.at, e.now())
	if order.Fence < e.least {
		return Fenced, nil
	}
	e.report.Sequence++
	e.report.Weights = map[string]uint64{order.Model: order.Version}
	return Accepted, nil
}

// runUntil runs a runner until the engine has the wanted weights.
func runUntil(t *testing.T, engine *engineStub, group *leaseGroup, fenced bool) {
	t.Helper()
	started := time.Now()
	engine.now = func() tables.Instant { return time.Since(started) }
	engine.report.Weights = map[string]uint64{"m": 1}
	table := fleet.NewTable(1)
	table.List([]fleet.Endpoint{{ID: "e", Zone: "z", Born: 1, Weights: map[string]uint64{"m": 1}}})
	r := NewController(Options{
		Engines: engine, Executor: group, IsLeader: func() bool { return true }, Fleet: table,
		TargetVersions: func() map[string]uint64 { return map[string]uint64{"m": 2} },
		Instance:       "c", Boot: 1, LeaseDuration: 1200 * time.Millisecond, HandoverDelay: turnFor, EnginesCheckFence: fenced, Now: engine.now, Log: zap.NewNop(),
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
		assert.Assert(t, time.Now().Before(deadline), "no weights after 30 s")
		time.Sleep(10 * time.Millisecond)
	}
}

// An engine has seen orders of a holder with a higher fencing number. Called
// again under the lower one, it could undo what the other holder has done.
func TestAFencedHolderTakesANewNumber(t *testing.T) {
	engine := &engineStub{least: 2}
	runUntil(t, engine, &leaseGroup{}, true)
	assert.Equal(t, engine.orders[0].Fence, tables.FencingToken(1))
	for _, order := range engine.orders[1:] {
		assert.Assert(t, order.Fence >= 2, "fence %d after a refusal", order.Fence)
	}
}

// turnFor is the least time between two holders' orders in tests.
const turnFor = 600 * time.Millisecond

// Engines do not check fencing numbers, and an earlier holder may just have given
// an order. The next holder's order to the same engine must not mix with it.
func TestWithoutFencesANewHolderLetsAnEngineRest(t *testing.T) {
	engine := &engineStub{}
	group := &leaseGroup{announced: map[string]bool{}, before: []*rpc.AnnouncedOrder{{Endpoint: "e", AgeNanos: 0}}}
	runUntil(t, engine, group, false)
	assert.Assert(t, engine.at[0] >= turnFor+leaveWithin, "first order after %v", engine.at[0])
	assert.Assert(t, group.announced["e"])
}

// An order that the group has not noted would be unknown to the next holder, whose
// own order might follow at once.
func TestAnOrderThatIsNotNotedDoesNotLeave(t *testing.T) {
	engine := &engineStub{now: func() tables.Instant { return 0 }}
	group := &leaseGroup{announced: map[string]bool{}, deaf: true}
	r := NewController(Options{
		Engines: engine, Executor: group, Instance: "c", Boot: 1, LeaseDuration: time.Minute, HandoverDelay: turnFor,
		Now: engine.now, Log: zap.NewNop(), Fleet: fleet.NewTable(1),
	})
	assert.NilError(t, r.lease.Renew(t.Context()))
	fence, _ := r.lease.Held()
	taken, err := r.send(t.Context(), Action{Endpoint: fleet.Endpoint{ID: "e"}}, Order{Fence: fence})
	assert.Equal(t, taken, Rejected)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(engine.orders), 0)
}

// The holder is frozen between the announcement and the order. When it goes on,
// its lease is over and another holder may give orders.
func TestAnOrderDoesNotLeaveAfterTheLease(t *testing.T) {
	now := tables.Instant(0)
	engine := &engineStub{now: func() tables.Instant { return now }}
	group := &leaseGroup{announced: map[string]bool{}}
	r := NewController(Options{
		Engines: engine, Executor: group, Instance: "c", Boot: 1, LeaseDuration: time.Second, HandoverDelay: turnFor,
		Now: engine.now, Log: zap.NewNop(), Fleet: fleet.NewTable(1),
	})
	assert.NilError(t, r.lease.Renew(t.Context()))
	fence, _ := r.lease.Held()
	now = 2 * time.Second
	taken, err := r.send(t.Context(), Action{Endpoint: fleet.Endpoint{ID: "e"}}, Order{Fence: fence})
	assert.Equal(t, taken, Rejected)
	assert.NilError(t, err)
	assert.Equal(t, len(engine.orders), 0)
}
