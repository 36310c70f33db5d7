package forward

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// minRetryAfter is the shortest delay. It suffices when the retry reaches another
	// instance.
	minRetryAfter = 100 * time.Millisecond
	// retryAfterNotReady is the time within which an instance that has just started receives
	// its configuration and endpoints.
	retryAfterNotReady = 400 * time.Millisecond
	// retryAfterOverload is the time until capacity may be free again. Requests take about a
	// second.
	retryAfterOverload = 500 * time.Millisecond
	// retryAfterJitter is the maximum random increase of a delay, as a fraction of it. It
	// keeps clients that were rejected together from retrying together. maxRetryAfterJitter
	// bounds the increase.
	retryAfterJitter    = 0.5
	maxRetryAfterJitter = 500 * time.Millisecond
)

// finishFailed ends a request that cannot be retried. The client receives a fallback
// response if there is one, or else an error that says whether the work may have run.
func (c *clientRequest) finishFailed(code tables.ErrorCode) {
	if c.r.Context().Err() != nil {
		c.endPause()
		c.abortDisconnected(c.r.Context().Err())
		return
	}
	if c.responseStarted {
		c.abortStream()
		return
	}
	if c.fallbackResponse != nil {
		c.writeResponse(c.fallbackResponse)
		return
	}
	switch state := c.state.(type) {
	case *outcome.Undispatched:
		c.respondFailure(state.Refuse(tables.Refusal{Code: code, RetryAfter: cmp.Or(c.retryAfter, retryAfterOverload)}))
	case *outcome.Dispatched:
		c.respondFailure(state.Fail(code, outcome.MayHaveRun, 0))
	}
}

// rejectRetryable ends a request that was never dispatched, and tells the client when to
// retry.
func (c *clientRequest) rejectRetryable(code tables.ErrorCode, retryAfter time.Duration) {
	c.respondFailure(outcome.NewUndispatched(tables.RequestID(c.id)).Refuse(tables.Refusal{Code: code, RetryAfter: retryAfter}))
}

// respondFailure sends the client an error. The statuses 429 and 503 and a Retry-After
// header are sent only for work that did not run.
func (c *clientRequest) respondFailure(f *outcome.Failure) {
	status := http.StatusBadGateway
	switch {
	case f.Code == tables.CodeOrganisationLimit:
		status = http.StatusTooManyRequests
	case f.Outcome() == tables.OutcomeNotRun:
		status = http.StatusServiceUnavailable
	case c.ctx != nil && errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		status = http.StatusGatewayTimeout
	}
	if f.Outcome() == tables.OutcomeNotRun && f.RetryAfter > 0 {
		jitter := min(time.Duration(retryAfterJitter*float64(f.RetryAfter)), maxRetryAfterJitter)
		retryAfter := f.RetryAfter + time.Duration(rand.Float64()*float64(jitter))
		c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	c.writeFailure(status, f.Code, f.Outcome())
}

// rejectPermanently ends a request that would fail in the same way again.
func (c *clientRequest) rejectPermanently(status int, code tables.ErrorCode) {
	c.writeFailure(status, code, tables.OutcomeNotRun)
}

// writeFailure writes an error response whose body holds the error code and the outcome.
func (c *clientRequest) writeFailure(status int, code tables.ErrorCode, result tables.Outcome) {
	c.limitRejectedBody()
	header := c.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	c.w.WriteHeader(status)
	_, _ = c.w.Write([]byte(strconv.Itoa(int(code)) + " " + string(result) + "\n"))
	c.finished = true
	c.server.metrics.countFailed(c, code, result)
	events.RequestFailed.Log(c.server.log, append(append(append(c.logFields(), c.avoidedFields()...), c.quarantineFields()...),
		zap.Int("status", status), zap.Uint16("code", uint16(code)), zap.String("outcome", string(result)),
		zap.String("endpoints", c.endpointCounts()), zap.String("retry_after", header.Get("Retry-After")),
		zap.NamedError("cause", c.lastErr))...)
}

// finishAnswered ends a request whose complete response was sent to the client, also if the client
// has hung up meanwhile.
func (c *clientRequest) finishAnswered(status int, a *attempt) {
	c.finished = true
	c.server.metrics.observeAnswered(c, status)
	fields := append(append(append(c.logFields(), c.pauseFields()...), a.viaFields()...), a.backupFields()...)
	fields = append(append(fields, avoidedFields(&a.placement.Rationale)...), a.recomputedFields()...)
	events.RequestAnswered.Log(c.server.log, append(fields,
		zap.Int("status", status), zap.Duration("first", c.timeToFirstEvent), zap.Duration("placed", a.startedAt-c.arrivedAt),
		zap.String("endpoint", string(a.placement.Endpoint.ID)), zap.String("software", a.placement.Endpoint.Software), zap.Uint64("weights", a.placement.WeightsVersion),
		zap.Duration("target", c.latencyTarget()), zap.Duration("expected", a.placement.ExpectedLatency),
		zap.Int("prompt", c.dispatchRequest.PromptTokens), zap.Int("to_read", a.placement.UncachedTokens),
		zap.String("source", string(a.placement.CacheSource.ID)), zap.String("rule", string(a.placement.Rationale.Rule)),
		zap.Int("own", a.placement.Rationale.OwnAttempts), zap.Int("others", a.placement.Rationale.OtherAttempts),
		zap.Duration("load_age", a.placement.Rationale.LoadAge))...)
}

// recomputedFields returns the tokens in shared parts of the prompt, and how many of them were
// computed again and mainly why; none for a prompt without shared parts.
func (a *attempt) recomputedFields() []zap.Field {
	account := a.placement.Recomputed()
	if account.SharedTokens == 0 {
		return nil
	}
	tokens, reason := account.Again()
	fields := []zap.Field{zap.Int("shared", account.SharedTokens), zap.Int("again", tokens)}
	if tokens > 0 {
		fields = append(fields, zap.String("again_reason", string(reason)))
	}
	return fields
}

// abortStream aborts a response that has started and cannot be completed. It closes the
// connection before the end of the body is marked, so that the client cannot take the
// response for a complete one.
func (c *clientRequest) abortStream() {
	c.finished = true
	c.endPause()
	c.server.metrics.countFailed(c, tables.CodeStreamBroken, tables.OutcomeUnknown)
	events.StreamAborted.Log(c.server.log, append(c.logFields(), zap.NamedError("cause", c.lastErr))...)
	panic(http.ErrAbortHandler)
}

// abortDisconnected ends a request whose client has disconnected.
func (c *clientRequest) abortDisconnected(err error) {
	c.finished = true
	events.ClientDisconnected.Log(c.server.log, append(c.logFields(), zap.Error(err))...)
	panic(http.ErrAbortHandler)
}

// logFields returns the fields that describe the request in the log. Those of a step that
// the request has not reached are left out.
func (c *clientRequest) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("request", c.id),
		zap.Duration("took", c.now()-c.arrivedAt),
		zap.Int("sends", c.attemptsUsed),
		zap.Int("limited", c.rateLimitedPlacements),
		zap.String("last_event", c.lastEventID),
	}
	if c.table != nil {
		fields = append(fields, zap.Uint64("revision", c.table.Revision))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	}
	if c.service != nil {
		fields = append(fields, zap.String("service", c.service.Name))
	}
	if c.org != nil {
		fields = append(fields, zap.String("organisation", string(c.org.ID)))
	}
	fields = append(fields, c.admissionFields()...)
	fields = append(fields, c.reservation.logFields()...)
	return append(fields, zap.Duration("control_heard", c.server.controlStaleness()))
}

// endpointCounts returns why the endpoints of the request's service were not available, for
// the log. It is empty if the request was not matched to a service.
func (c *clientRequest) endpointCounts() string {
	if c.service == nil {
		return ""
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.CountEndpoints(c.now(), &c.dispatchRequest).String()
}
