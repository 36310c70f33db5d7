// Package gate is the admission gate of a server. It counts the requests in
// flight and shuts the server down gracefully, in the steps of package drain,
// without interrupting a request.
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

// Gate counts requests in flight and drains them. It is safe for concurrent
// use.
type Gate struct {
	mu      sync.Mutex
	machine drain.Machine
	// state is the state of machine, for reading without the lock.
	state    atomic.Uint32
	inFlight atomic.Int64
	// idle is signalled when the last request in flight ends.
	idle chan struct{}
}

// New returns an open gate. After a drain has begun, the gate admits new
// requests for the duration serve.
func New(serve time.Duration) *Gate {
	return &Gate{machine: drain.Machine{LameDuckPeriod: serve}, idle: make(chan struct{}, 1)}
}

// Admit counts a request as in flight, returns the number in flight and reports
// whether the request is admitted. It counts before it reads the state, so that
// a drain that sees no request in flight can be sure that none is admitted
// afterwards. In either case, Done must follow.
func (g *Gate) Admit() (inFlight int64, admitted bool) {
	inFlight = g.inFlight.Add(1)
	return inFlight, g.State().AcceptsRequests()
}

// Done ends the count of a request.
func (g *Gate) Done() {
	if g.inFlight.Add(-1) == 0 {
		select {
		case g.idle <- struct{}{}:
		default:
		}
	}
}

// State returns the state of the drain.
func (g *Gate) State() drain.State { return drain.State(g.state.Load()) }

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Drain makes the server not ready, admits requests until the load balancer
// must have noticed, and then admits none. It returns when the last request in
// flight has ended. If the context ends first, Drain gives up and returns the
// context's error.
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

// update changes the drain state machine under the lock.
func (g *Gate) update(f func(*drain.Machine)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.machine)
}

// tick advances the drain and returns its state.
func (g *Gate) tick(now tables.Instant) drain.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.machine.Tick(now, int(g.inFlight.Load()))
	g.state.Store(uint32(state))
	return state
}

// untilClosing returns how long the drain still admits requests; zero if it
// admits none or has not begun.
func (g *Gate) untilClosing(now tables.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.UntilDraining(now)
}
