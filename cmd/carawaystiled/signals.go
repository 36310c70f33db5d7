package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/cmd/carawaystiled/hangup"
	"github.com/carawaystile/carawaystile/events"
)

// signals are the signals of a daemon. Each kind has a channel of its own, so that a series of one
// kind cannot displace another.
type signals struct {
	terminate, interrupt, reload chan os.Signal
}

// notifySignals starts to receive signals.
func notifySignals() *signals {
	s := &signals{terminate: make(chan os.Signal, 1), interrupt: make(chan os.Signal, 1), reload: hangup.Signals}
	signal.Notify(s.terminate, syscall.SIGTERM)
	signal.Notify(s.interrupt, os.Interrupt)
	return s
}

// awaitStop waits for SIGTERM or an interrupt. It ignores SIGHUP.
func (s *signals) awaitStop() {
	for {
		select {
		case <-s.terminate:
			return
		case <-s.interrupt:
			return
		case <-s.reload:
		}
	}
}

// drain runs a drain until it ends, its timeout has elapsed or an interrupt arrives. A further
// SIGTERM changes nothing: supervisors repeat it, and it must not cut the requests that the
// first one lets end.
func (s *signals) drain(ctx context.Context, timeout time.Duration, log *zap.Logger, drain func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go func() {
		for {
			select {
			case <-s.terminate:
				events.DrainAlreadyStarted.Log(log)
			case <-s.interrupt:
				cancel()
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	drain(ctx)
}
