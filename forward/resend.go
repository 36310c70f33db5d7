package forward

import (
	"errors"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
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
		fields = append(fields, zap.Int("status", rejected.Status), zap.String("echoed", rejected.Evidence.EchoedID),
			zap.Bool("reused", rejected.Evidence.Reused), zap.Duration("idle", rejected.Evidence.Idle),
			zap.Int64("bytes_before", rejected.Evidence.BytesBefore))
	}
	events.RequestResent.Log(c.server.log, fields...)
	// A stalled log must not hold up the request.
	_ = c.server.log.Sync()
}
