package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
)

// logFields returns the fields that identify the attempt in the log and explain its
// placement.
func (a *attempt) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("request", a.request.id),
		zap.String("attempt", string(a.id)),
		zap.String("endpoint", string(a.placement.Endpoint.ID)),
		zap.String("software", a.placement.Endpoint.Software),
		zap.Uint64("weights", a.placement.WeightsVersion),
		zap.Duration("expected", a.placement.ExpectedLatency),
		zap.Duration("took", a.request.now()-a.startedAt),
		zap.String("rule", string(a.placement.Rationale.Rule)),
		zap.Int("own", a.placement.Rationale.OwnAttempts),
		zap.Int("others", a.placement.Rationale.OtherAttempts),
		zap.Duration("load_age", a.placement.Rationale.LoadAge),
		zap.Float64("doubt", a.placement.Rationale.FailureScore),
		zap.Duration("since_answer", a.placement.Rationale.SinceResponse),
		zap.Int("arrivals", a.request.dispatchRequest.DeliveredAttempts),
		zap.String("by", a.placedBy()),
	}
	fields = append(append(fields, a.viaFields()...), a.backupFields()...)
	if a.retryAfter != "" {
		fields = append(fields, zap.String("retry_after", a.retryAfter))
	}
	return append(fields, avoidedFields(&a.placement.Rationale)...)
}

// brokenFields returns the fields that tell what crashed the endpoint of a broken attempt: how long
// before the endpoint had begun its response, negative if it had not, and the shared parts of the
// prompt.
func (a *attempt) brokenFields(result dispatch.Outcome) []zap.Field {
	if result != dispatch.Broken {
		return nil
	}
	sinceResponse := time.Duration(-1)
	if a.firstResponseAt > 0 {
		sinceResponse = a.request.now() - a.firstResponseAt
	}
	fields := []zap.Field{zap.Duration("since_response", sinceResponse)}
	if ids := a.request.sharedPartIDs(); len(ids) > 0 {
		fields = append(fields, zap.Strings("parts", ids))
	}
	return fields
}

// placedBy returns what placed the attempt, for logs and metrics.
func (a *attempt) placedBy() string {
	if a.assignment != nil {
		return "scheduler"
	}
	return "instance"
}
