package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
)

const (
	// The timeout for the first response to a request that is safe to retry is the longest of
	// minResponseTimeout, the latency target divided by responseTimeoutTargetDivisor, and the
	// expected latency times responseTimeoutLatencyFactor. Half of the target leaves the other
	// half for a retry at another endpoint.
	minResponseTimeout           = 300 * time.Millisecond
	responseTimeoutTargetDivisor = 2
	responseTimeoutLatencyFactor = 6
	// crashProbeTimeout bounds the connection attempt to an endpoint whose connection broke.
	crashProbeTimeout = 200 * time.Millisecond
)

// firstResponseTimeout returns the timeout until the endpoint's first response; zero for
// none. Only requests that are safe to retry have one: any other may already be running and
// must not run twice.
func (a *attempt) firstResponseTimeout() time.Duration {
	if !a.request.route.SafeToRetry() {
		return 0
	}
	return max(minResponseTimeout, a.request.latencyTarget()/responseTimeoutTargetDivisor, responseTimeoutLatencyFactor*a.placement.ExpectedLatency)
}

// armResponseTimer cancels the attempt when the endpoint has sent nothing for the given
// time, if the request can be retried then; a limit of zero means never. If the request
// cannot be retried, or no other endpoint could take it, it keeps waiting, since an endpoint
// that is merely slow still sends its response.
func (a *attempt) armResponseTimer(limit time.Duration) {
	if limit <= 0 || !a.mayRepeat {
		return
	}
	t := &a.responseTimer
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = false
	if fixed := a.request.dispatchRequest.SoftwareFixed; t.retry == nil || t.retry.SoftwareFixed != fixed {
		retry := a.retryRequest()
		t.retry = &retry
	}
	t.dueAt = time.Now().Add(limit)
	if t.timer != nil {
		t.timer.Reset(limit)
		return
	}
	t.timer = time.AfterFunc(limit, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		// The timer may have been started anew while its function waited for the mutex.
		due := !t.stopped && !time.Now().Before(t.dueAt)
		if due && !a.giveUp(t.retry, true) {
			t.dueAt = time.Now().Add(limit)
			t.timer.Reset(limit)
		}
	})
}

// giveUp cancels the attempt for a retry, which it takes from the retry budget: the client would
// lose a response that still comes if others took the last retries first. It returns false if there
// is no retry; if elsewhere is set, also if no other endpoint could take it. The caller holds the
// mutex of the response timer, which is not stopped.
func (a *attempt) giveUp(retry *dispatch.Request, elsewhere bool) bool {
	if a.timedOut.Load() {
		return true
	}
	if !a.request.reserveRetry(retry, elsewhere) {
		return false
	}
	a.timedOut.Store(true)
	a.cancel()
	return true
}

// giveUpPending gives up an attempt whose endpoint may be down, unless a response has begun to arrive. One
// that was sent is given up only if another endpoint could take it; another one loses nothing.
func (a *attempt) giveUpPending(retry *dispatch.Request) {
	t := &a.responseTimer
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped && !a.responded.Load() {
		a.giveUp(retry, a.sent.Load())
	}
}

// stopResponseTimer stops the timer and reports whether the attempt has timed out.
func (a *attempt) stopResponseTimer() bool {
	t := &a.responseTimer
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return a.timedOut.Load()
}

// responseTimer is a timer that its own function may restart, but not once it is stopped.
type responseTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// dueAt is when the timer expires unless it is stopped or started anew before.
	dueAt time.Time
	// retry is the placement request of a retry; nil before the timer is first armed.
	retry *dispatch.Request
}

// hasAttemptsLeft reports whether the route's MaxAttempts permits another attempt.
func (c *clientRequest) hasAttemptsLeft() bool { return c.attemptsUsed < max(1, c.route.MaxAttempts) }

// retryRequest returns the placement request of a retry of this attempt. It is a copy: the timer
// and the health checker read it beside the goroutine that serves the client.
func (a *attempt) retryRequest() dispatch.Request {
	r := a.request.dispatchRequest
	r.Tried = append(slices.Clone(r.Tried), a.placement.Endpoint.ID)
	r.DeliveredAttempts++
	if a.request.responseStarted {
		r.UrgentTarget = 0
	}
	return r
}

// probeForCrash tests whether the process of an endpoint whose connection broke has ended:
// a connection that is refused to this instance and to others means that it has. The crash
// detector then records the requests that were running there as suspects, and the other instances
// are notified of them. The end of an endpoint that was about to stop is no crash. The returned
// channel is closed after that.
func (a *attempt) probeForCrash() <-chan struct{} {
	s, endpoint := a.request.server, a.placement.Endpoint
	probed := make(chan struct{})
	go func() {
		defer close(probed)
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		err := s.options.Client.CheckReachable(ctx, endpoint.Address)
		if !errors.Is(err, syscall.ECONNREFUSED) || !s.refusesAll(s.options.Context, &endpoint) {
			return
		}
		if s.isLeaving(endpoint.ID) {
			return
		}
		s.recordCrash(incarnationOf(a.placement))
	}()
	return probed
}
