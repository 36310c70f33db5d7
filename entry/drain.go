package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/systems/drain"
	"github.com/carawaystile/carawaystile/tables"
)

// gate counts requests in and out and refuses them as the drain demands.
type gate struct {
	mu      sync.Mutex
	machine drain.Machine
	// state is machine's, for reading without the lock.
	state atomic.Uint32
	open  atomic.Int64
	// idle is signalled when the last open request ends.
	idle chan struct{}
}

// tick moves the drain on.
func (g *gate) tick(now tables.Instant) drain.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.machine.Tick(now, int(g.open.Load()))
	g.state.Store(uint32(state))
	return state
}

func (g *gate) begin(now tables.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.Begin(now)
}

func (g *gate) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.Abandon()
}

func (g *gate) wait(now tables.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Wait(now)
}

func (g *gate) current() drain.State { return drain.State(g.state.Load()) }

// Ready says whether the balancer should send callers here.
func (s *Server) Ready() bool { return s.gate.current().Ready() && s.directory.Load() != nil }

// admit counts a request in, or gives the reason why it is not served. The
// count comes before the look at the state: a drain that sees no open request
// can then be sure that none slips in.
func (s *Server) admit() *outcome.Failure {
	open := s.gate.open.Add(1)
	var failure *outcome.Failure
	switch {
	case !s.gate.current().Admits():
		failure = notRun("", tables.CodeDraining, retryDraining)
	case open > int64(s.limits.MaxOpen):
		failure = notRun("", tables.CodeOverloaded, retryFull)
	case s.directory.Load() == nil:
		failure = notRun("", tables.CodeNotReady, retryDraining)
	default:
		return nil
	}
	s.leave()
	return failure
}

// leave counts a request out.
func (s *Server) leave() {
	if s.gate.open.Add(-1) == 0 {
		select {
		case s.gate.idle <- struct{}{}:
		default:
		}
	}
}

// Drain takes the instance out of service without cutting a request: it stops
// being ready, goes on serving for a while until the balancer has noticed, then
// takes no new requests and returns when every open one has ended. It returns
// early when the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.gate.begin(s.now())
	events.DrainStarted.Log(s.log, zap.Int64("open", s.gate.open.Load()))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if s.gate.tick(s.now()) == drain.Ended {
			events.DrainEnded.Log(s.log)
			return nil
		}
		if wait := s.gate.wait(s.now()); wait > 0 {
			timer.Reset(wait)
		}
		select {
		case <-timer.C:
		case <-s.gate.idle:
		case <-ctx.Done():
			s.gate.abandon()
			s.gate.tick(s.now())
			events.DrainCut.Log(s.log, zap.Int64("open", s.gate.open.Load()))
			return trace.Wrap(ctx.Err())
		}
	}
}
