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
	minHang     = 300 * time.Millisecond
	hangTargets = 2
	hangFactor  = 6
	// probeTimeout bounds the look at an endpoint whose connection broke.
	probeTimeout = 200 * time.Millisecond
)

// firstWait is how long the endpoint may say nothing; zero means any time. Only
// repeatable requests are taken away: of others nobody knows whether they run.
func (t *try) firstWait() time.Duration {
	if !t.job.route.SafeToRetry() {
		return 0
	}
	return max(minHang, t.job.target()/hangTargets, hangFactor*t.chosen.ExpectedLatency)
}

// watch takes the request away from the endpoint when nothing comes for that
// long, if it can go on elsewhere. An endpoint's silence alone is no reason to
// end an answer: one that is only slow still brings it.
func (t *try) watch(limit time.Duration) {
	if limit <= 0 || !t.job.hasAttempts() {
		return
	}
	if t.hang != nil {
		t.hang.Reset(limit)
		return
	}
	t.hang = time.AfterFunc(limit, func() {
		if !t.job.canMove() {
			t.hang.Reset(limit)
			return
		}
		t.hung.Store(true)
		t.cancel()
	})
}

// unwatch stops the watch and says whether it has struck.
func (t *try) unwatch() bool {
	if t.hang != nil {
		t.hang.Stop()
	}
	return t.hung.Load()
}

// hasAttempts says whether the request may be handed to a further endpoint.
func (j *job) hasAttempts() bool { return j.sends < max(1, j.route.MaxAttempts) }

// canMove says whether a further endpoint could take the request now.
func (j *job) canMove() bool {
	s := j.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.CanRetry(s.options.Now(), j.service.Name)
}

// probe looks whether the endpoint of a broken connection is gone. A request
// that crashes endpoints shows by what was running when they went.
func (t *try) probe() {
	s, endpoint := t.job.server, t.chosen.Endpoint
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
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
		suspects := s.suspects.Crashed(s.options.Now(), quarantine.Incarnation{Endpoint: endpoint.ID})
		s.mu.Unlock()
		events.EndpointCrashed.Log(s.log, zap.String("endpoint", string(endpoint.ID)), zap.Int("suspects", len(suspects)))
		if len(suspects) > 0 {
			s.options.ShareSuspects(suspects)
		}
	}()
}
