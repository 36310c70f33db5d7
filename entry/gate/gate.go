// Package gate counts requests in and out of an entry instance and takes it out
// of service without cutting one, in the steps of package drain.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/systems/drain"
	"github.com/carawaystile/carawaystile/tables"
)

// Gate is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	machine drain.Machine
	// state is machine's, for reading without the lock.
	state    atomic.Uint32
	inFlight atomic.Int64
	// idle is signalled when the last open request ends.
	idle chan struct{}
}

// New returns an open gate. Serve is how long new requests are still served
// after a drain has begun.
func New(serve time.Duration) *Gate {
	return &Gate{machine: drain.Machine{LameDuckPeriod: serve}, idle: make(chan struct{}, 1)}
}

// Admit counts a request in and returns how many are open. The count comes
// before the look at the state: a drain that sees no open request can then be
// sure that none slips in. Whatever it returns, Leave must follow.
func (g *Gate) Admit() (inFlight int64, admitted bool) {
	inFlight = g.inFlight.Add(1)
	return inFlight, g.State().AcceptsRequests()
}

// Done counts a request out.
func (g *Gate) Done() {
	if g.inFlight.Add(-1) == 0 {
		select {
		case g.idle <- struct{}{}:
		default:
		}
	}
}

// State is how far the drain has come.
func (g *Gate) State() drain.State { return drain.State(g.state.Load()) }

// InFlight is the number of open requests.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Drain stops the gate being ready, goes on admitting for a while until the
// balancer has noticed, then admits nothing and returns when every open request
// has ended. When the context ends first it gives up and returns its failure.
func (g *Gate) Drain(ctx context.Context, now func() tables.Instant) error {
	g.update(func(m *drain.Machine) { m.Begin(now()) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if g.tick(now()) == drain.Stopped {
			return nil
		}
		if wait := g.untilClosing(now()); wait > 0 {
			timer.Reset(wait)
		}
		select {
		case <-timer.C:
		case <-g.idle:
		case <-ctx.Done():
			g.update((*drain.Machine).Abort)
			g.tick(now())
			return trace.Wrap(ctx.Err())
		}
	}
}

func (g *Gate) update(f func(*drain.Machine)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.machine)
}

// tick moves the drain on.
func (g *Gate) tick(now tables.Instant) drain.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.machine.Tick(now, int(g.inFlight.Load()))
	g.state.Store(uint32(state))
	return state
}

func (g *Gate) untilClosing(now tables.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.NextTransition(now)
}
