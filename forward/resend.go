package forward

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
)

// logResend logs that a request that may run once is sent again, and why its earlier attempt cannot
// have run. The line is written before the request is sent, so that it outlives a kill of this process.
func (a *attempt) logResend(proof error) {
	c := a.request
	if c.route.SafeToRetry() {
		return
	}
	fields := []zap.Field{
		zap.String("request", c.id), zap.String("attempt", string(a.id)),
		zap.String("endpoint", string(a.placement.Endpoint.ID)),
		zap.Stringer("address", a.placement.Endpoint.Address),
		zap.NamedError("proof", proof),
	}
	var notStarted *engine.NotStartedError
	if errors.As(proof, &notStarted) {
		fields = append(fields, zap.String("proven_attempt", string(notStarted.Attempt)))
	}
	var rejected *exchange.RejectedError
	if errors.As(proof, &rejected) {
		fields = append(fields, evidenceFields(rejected.Status, rejected.Evidence)...)
	}
	events.RequestResent.Log(c.server.log, fields...)
	// The request is sent also if the log is stalled.
	_ = c.server.log.Sync()
}

// evidenceFields returns the fields for what attributes a response to a request.
func evidenceFields(status int, evidence exchange.Evidence) []zap.Field {
	return []zap.Field{
		zap.Int("status", status), zap.String("echoed", evidence.EchoedID),
		zap.Bool("reused", evidence.Reused), zap.Duration("idle", evidence.Idle),
		zap.Int64("bytes_before", evidence.BytesBefore),
	}
}

// foreignResponseInterval is the shortest time between two log lines about foreign responses.
const foreignResponseInterval = time.Second

// countForeign counts a response that was skipped since it is not that to the attempt, and logs one a
// second.
func (a *attempt) countForeign(status int, evidence exchange.Evidence) {
	s := a.request.server
	s.metrics.countForeign(a.request.service.Name)
	if !s.foreignResponses.allow(s.options.Now(), foreignResponseInterval) {
		return
	}
	events.ForeignResponse.Log(s.log, append(evidenceFields(status, evidence),
		zap.String("request", a.request.id), zap.String("attempt", string(a.id)),
		zap.String("endpoint", string(a.placement.Endpoint.ID)))...)
}

// countForeign counts a response that was skipped.
func (m *requestMetrics) countForeign(service string) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_foreign_responses_total", "Responses that were skipped because they belong to no waiting request.",
		metrics.Label{Name: "service", Value: service}).Inc(1)
}
