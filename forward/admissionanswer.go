package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/tables"
)

// placementAnswer is the result of one try to place a request while admission is enabled.
type placementAnswer struct {
	placement *dispatch.Attempt
	// code is the error code for the client if the request must not be tried again; 0 if it may.
	code tables.ErrorCode
	// reason says why there is no placement, and wait is the time until there is capacity; 0 if
	// unknown.
	reason dispatch.RejectReason
	wait   time.Duration
}

// full reports whether the request found no capacity, so that others of the same size find none
// either.
func (a *placementAnswer) full() bool {
	return a.reason == dispatch.Saturated || a.reason == dispatch.NoCapacity
}

// ask tries once to place the next attempt.
func (c *clientRequest) ask(w *waiter) placementAnswer {
	s := c.server
	if c.rejectPushedBack(w) {
		return placementAnswer{code: tables.CodeOverloaded}
	}
	c.dispatchRequest.SaturatedFor = 0
	placement, reason := s.placeWithinLimits(c)
	answer := placementAnswer{placement: placement, reason: reason, wait: c.dispatchRequest.SaturatedFor}
	switch {
	case placement != nil:
	case reason == "":
		answer.code = c.quarantineCode()
	case reason == dispatch.TooLarge, reason == dispatch.DeadlineTooSoon, reason == dispatch.NoEndpoint && s.options.Now() >= w.rejectFrom:
		answer.code = rejectCode(reason)
	}
	return answer
}

// rejectPushedBack reports whether all endpoints push the request back for longer than it may wait
// for any of them, and sets the delay that the client is told. The limit is the one that applies
// without admission: endpoints that push back name the time, and no queue shortens it.
func (c *clientRequest) rejectPushedBack(w *waiter) bool {
	left, pushedBack := c.server.pushedBack(c)
	if !pushedBack || c.now()+left.Request <= w.rejectFrom {
		return false
	}
	c.retryAfter = left.Service
	return true
}

// maxSaturatedRetryAfter is the longest Retry-After for saturation. It is the time constant of the
// measured rates, beyond which these predict little.
const maxSaturatedRetryAfter = rateWindow

// saturatedRetryAfter returns the delay that is passed to respondFailure for a predicted wait. The
// jitter is added there; here half of its maximum is subtracted, so that callers are told the
// predicted wait on average, and maxSaturatedRetryAfter at most.
func saturatedRetryAfter(predicted time.Duration) time.Duration {
	jitter := min(time.Duration(retryAfterJitter/(1+retryAfterJitter/2)*float64(predicted)), maxRetryAfterJitter)
	return min(max(minRetryAfter, predicted-jitter/2), maxSaturatedRetryAfter-maxRetryAfterJitter)
}

// endWait records, for the log and the metrics, how the request's wait ended; verdict is empty if
// the request was placed.
func (c *clientRequest) endWait(now tables.Instant, w *waiter, verdict waitVerdict) {
	if w.joinedAt > 0 {
		c.waitedInQueue += now - w.joinedAt
	}
	c.waitVerdict = verdict
	c.server.admission.metrics.observeWait(w, now, verdict)
}

// admissionFields returns the log fields that say how the request waited for capacity.
func (c *clientRequest) admissionFields() []zap.Field {
	if c.waitedInQueue == 0 && c.waitVerdict == "" {
		return nil
	}
	fields := []zap.Field{zap.Duration("queue_wait", c.waitedInQueue), zap.Duration("predicted_wait", c.waitPredicted)}
	if c.waitVerdict != "" {
		fields = append(fields, zap.String("wait_ended", string(c.waitVerdict)))
	}
	return fields
}
