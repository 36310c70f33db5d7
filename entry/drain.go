package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// drain is how far the instance has gone out of service.
type drain struct {
	notReady atomic.Bool
	closed   atomic.Bool
}

// Ready says whether the balancer should send callers here.
func (s *Server) Ready() bool { return !s.stop.notReady.Load() && s.directory.Load() != nil }

// admit counts a request in, or gives the reason why it is not served.
func (s *Server) admit() *outcome.Failure {
	if s.open.Add(1) > int64(s.limits.MaxOpen) {
		s.leave()
		return notRun("", tables.CodeOverloaded, retryFull)
	}
	if s.stop.closed.Load() {
		s.leave()
		return notRun("", tables.CodeDraining, retryDraining)
	}
	if s.directory.Load() == nil {
		s.leave()
		return notRun("", tables.CodeNotReady, retryDraining)
	}
	return nil
}

// leave counts a request out.
func (s *Server) leave() {
	if s.open.Add(-1) == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// Drain takes the instance out of service without cutting a request: it stops
// being ready, goes on serving for a while until the balancer has noticed, then
// takes no new requests and returns when every open one has ended. It returns
// early when the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.stop.notReady.Store(true)
	events.DrainStarted.Log(s.log, zap.Int64("open", s.open.Load()))
	serve := time.NewTimer(s.limits.DrainServe)
	defer serve.Stop()
	select {
	case <-serve.C:
	case <-ctx.Done():
	}
	s.stop.closed.Store(true)
	for s.open.Load() > 0 {
		select {
		case <-s.idle:
		case <-ctx.Done():
			events.DrainCut.Log(s.log, zap.Int64("open", s.open.Load()))
			return trace.Wrap(ctx.Err())
		}
	}
	events.DrainEnded.Log(s.log)
	return nil
}
