package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// Ready reports whether the load balancer should send requests to this
// instance.
func (s *Server) Ready() bool { return s.gate.State().Ready() && s.configIndex.Load() != nil }

// admit counts a request as in flight, or returns the failure with which the
// request is rejected.
func (s *Server) admit() *outcome.Failure {
	inFlight, admitted := s.gate.Admit()
	var failure *outcome.Failure
	switch {
	case !admitted:
		failure = notRun("", tables.CodeDraining, retryAfterDraining)
	case inFlight > int64(s.limits.MaxInFlight):
		failure = notRun("", tables.CodeOverloaded, retryAfterOverload)
	case s.configIndex.Load() == nil:
		failure = notRun("", tables.CodeNotReady, retryAfterDraining)
	default:
		return nil
	}
	s.gate.Done()
	return failure
}

// Drain takes the instance out of service without interrupting a request. If
// the context ends first, Drain returns early with an error.
func (s *Server) Drain(ctx context.Context) error {
	events.DrainStarted.Log(s.log, zap.Int64("open", s.gate.InFlight()))
	if err := s.gate.Drain(ctx, s.now); err != nil {
		events.DrainAborted.Log(s.log, zap.Int64("open", s.gate.InFlight()))
		return err
	}
	events.DrainEnded.Log(s.log)
	return nil
}
