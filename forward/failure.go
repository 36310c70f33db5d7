package forward

import (
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
	// retryElsewhere is when another instance will get the request.
	retryElsewhere = 100 * time.Millisecond
	// retryNotReady is when an instance that has just started knows enough.
	retryNotReady = 400 * time.Millisecond
	// retryFull is when there may be room again; requests take about a second.
	retryFull = 500 * time.Millisecond
	// retrySpread is the part by which times to come back differ, so that
	// callers that were refused together do not come back together.
	retrySpread = 0.5
)

// giveUp ends the request with what is certain about its work.
func (j *job) giveUp(code tables.ErrorCode) {
	if j.r.Context().Err() != nil {
		j.gone(j.r.Context().Err())
		return
	}
	if j.started {
		j.cut()
		return
	}
	if j.kept != nil {
		j.deliver(j.kept)
		return
	}
	switch state := j.state.(type) {
	case *outcome.Undispatched:
		j.answer(state.Refuse(tables.Refusal{Code: code, RetryAfter: retryFull}))
	case *outcome.Dispatched:
		j.answer(state.Fail(code, outcome.MayHaveRun, 0))
	}
}

// refuse ends a request that was never dispatched.
func (j *job) refuse(code tables.ErrorCode, after time.Duration) {
	j.answer(outcome.New(tables.RequestID(j.id)).Refuse(tables.Refusal{Code: code, RetryAfter: after}))
}

// answer tells the caller of a failure. Only work that did not run is answered
// with a status that says so.
func (j *job) answer(f *outcome.Failure) {
	status := http.StatusBadGateway
	switch {
	case f.Code == tables.CodeOrganisationLimit:
		status = http.StatusTooManyRequests
	case f.Outcome() == tables.OutcomeNotRun:
		status = http.StatusServiceUnavailable
	case j.ctx != nil && errors.Is(j.ctx.Err(), context.DeadlineExceeded):
		status = http.StatusGatewayTimeout
	}
	if f.Outcome() == tables.OutcomeNotRun && f.RetryAfter > 0 {
		after := f.RetryAfter.Seconds() * (1 + retrySpread*rand.Float64())
		j.w.Header().Set("Retry-After", strconv.FormatFloat(after, 'f', 3, 64))
	}
	j.fail(status, f.Code, f.Outcome())
}

// reject ends a request that must not be sent again as it is.
func (j *job) reject(status int, code tables.ErrorCode) { j.fail(status, code, tables.OutcomeNotRun) }

func (j *job) fail(status int, code tables.ErrorCode, result tables.Outcome) {
	header := j.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	j.w.WriteHeader(status)
	_, _ = j.w.Write([]byte(strconv.Itoa(int(code)) + " " + string(result) + "\n"))
	j.finished = true
	j.server.metrics.failed(j, code, result)
	events.RequestFailed.Log(j.server.log, append(j.fields(),
		zap.Int("status", status), zap.Uint16("code", uint16(code)), zap.String("outcome", string(result)),
		zap.String("endpoints", j.census()), zap.NamedError("cause", j.failed))...)
}

// done notes a request that got an endpoint's answer.
func (j *job) done(status int, t *try) {
	j.finished = true
	j.server.metrics.answered(j, status)
	events.RequestAnswered.Log(j.server.log, append(j.fields(),
		zap.Int("status", status), zap.Duration("first", j.first), zap.Duration("placed", t.arrived-j.arrived),
		zap.String("endpoint", string(t.chosen.Endpoint.ID)), zap.Uint64("weights", t.chosen.WeightsVersion),
		zap.Duration("target", j.target()), zap.Duration("expected", t.chosen.ExpectedLatency),
		zap.Int("prompt", j.ask.PromptTokens), zap.Int("to_read", t.chosen.UncachedTokens),
		zap.String("source", string(t.chosen.CacheSource.ID)), zap.String("rule", string(t.chosen.Rationale.Rule)),
		zap.Int("own", t.chosen.Rationale.OwnAttempts), zap.Int("others", t.chosen.Rationale.OtherAttempts),
		zap.Duration("load_age", t.chosen.Rationale.LoadAge))...)
}

// cut breaks off a stream that cannot be completed. The connection ends without
// the mark that an answer is whole.
func (j *job) cut() {
	j.finished = true
	j.server.metrics.failed(j, tables.CodeStreamBroken, tables.OutcomeUnknown)
	events.StreamCut.Log(j.server.log, append(j.fields(), zap.NamedError("cause", j.failed))...)
	panic(http.ErrAbortHandler)
}

// gone ends a request whose caller has left.
func (j *job) gone(err error) {
	j.finished = true
	events.CallerGone.Log(j.server.log, append(j.fields(), zap.Error(err))...)
	panic(http.ErrAbortHandler)
}

func (j *job) fields() []zap.Field {
	fields := []zap.Field{
		zap.String("request", j.id),
		zap.Duration("took", j.now()-j.arrived),
		zap.Int("sends", j.sends),
		zap.Int("limited", j.limited),
		zap.String("last_event", j.lastEvent),
	}
	if j.table != nil {
		fields = append(fields, zap.Uint64("revision", j.table.Revision))
	}
	if j.route != nil {
		fields = append(fields, zap.String("route", j.route.Name))
	}
	if j.service != nil {
		fields = append(fields, zap.String("service", j.service.Name))
	}
	if j.org != nil {
		fields = append(fields, zap.String("organisation", string(j.org.ID)))
	}
	fields = append(fields, j.charge.fields()...)
	return append(fields, zap.Duration("control_heard", j.server.sinceControl()))
}

// census is what stood in the way of a request at the endpoints of its service;
// empty where it was not matched to one.
func (j *job) census() string {
	if j.service == nil {
		return ""
	}
	s := j.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.CountEndpoints(j.now(), &j.ask).String()
}
