package forward

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

const (
	// A repeatable request is taken away from an endpoint that says nothing after
	// minHang, the hangTargets-th part of its target and hangFactor times what was
	// expected, whichever is longest. Half of the target leaves the other half for
	// another endpoint.
	minResponseTimeout           = 300 * time.Millisecond
	responseTimeoutTargetDivisor = 2
	responseTimeoutLatencyFactor = 6
	// probeTimeout bounds the look at an endpoint whose connection broke.
	crashProbeTimeout = 200 * time.Millisecond
)

// firstWait is how long the endpoint may say nothing; zero means any time. Only
// repeatable requests are taken away: of others nobody knows whether they run.
func (a *attempt) firstResponseTimeout() time.Duration {
	if !a.request.route.SafeToRetry() {
		return 0
	}
	return max(minResponseTimeout, a.request.latencyTarget()/responseTimeoutTargetDivisor, responseTimeoutLatencyFactor*a.placement.ExpectedLatency)
}

// watch takes the request away from the endpoint when nothing comes for that
// long, if it can go on elsewhere. An endpoint's silence alone is no reason to
// end an answer: one that is only slow still brings it.
func (a *attempt) armResponseTimer(limit time.Duration) {
	if limit <= 0 || !a.request.hasAttemptsLeft() {
		return
	}
	if a.responseTimer != nil {
		a.responseTimer.Reset(limit)
		return
	}
	a.responseTimer = time.AfterFunc(limit, func() {
		if !a.request.canRetry() {
			a.responseTimer.Reset(limit)
			return
		}
		a.timedOut.Store(true)
		a.cancel()
	})
}

// unwatch stops the watch and says whether it has struck.
func (a *attempt) stopResponseTimer() bool {
	if a.responseTimer != nil {
		a.responseTimer.Stop()
	}
	return a.timedOut.Load()
}

// hasAttempts says whether the request may be handed to a further endpoint.
func (c *clientRequest) hasAttemptsLeft() bool { return c.attemptsUsed < max(1, c.route.MaxAttempts) }

// canMove says whether a further endpoint could take the request now.
func (c *clientRequest) canRetry() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.CanRetry(s.options.Now(), c.service.Name)
}

// probe looks whether the endpoint of a broken connection is gone. A request
// that crashes endpoints shows by what was running when they went.
func (a *attempt) probeForCrash() {
	s, endpoint := a.request.server, a.placement.Endpoint
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", endpoint.Address.String())
		if err == nil {
			_ = conn.Close()
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		s.mu.Lock()
		suspects := s.crashDetector.Crashed(s.options.Now(), quarantine.Incarnation{Endpoint: endpoint.ID})
		s.mu.Unlock()
		events.EndpointCrashed.Log(s.log, zap.String("endpoint", string(endpoint.ID)), zap.Int("suspects", len(suspects)))
		if len(suspects) > 0 {
			s.options.ShareSuspects(suspects)
		}
	}()
}
