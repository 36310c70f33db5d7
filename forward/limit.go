package forward

import (
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// noteLimit takes the rate limit that an answer names, or its absence. It is called with the
// server's mu held.
func (t *try) noteLimit(now tables.Instant, text string) {
	s := t.job.server
	perSecond, limited := dialect.ParseRate(text)
	limit := dispatch.RateLimit{PerSecond: perSecond, Limited: limited}
	before := s.dispatch.LimitNamed(now, t.chosen, limit)
	if before == limit {
		return
	}
	events.EndpointLimited.Log(s.log, zap.String("endpoint", string(t.chosen.Endpoint.ID)), zap.String("request", t.job.id),
		zap.Bool("limited", limited), zap.Float64("per_second", perSecond), zap.Float64("before", before.PerSecond))
}
