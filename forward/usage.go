package forward

import (
	"context"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// RateLimiter decides whether requests are within the rate limits of organisations and of
// endpoints, over all instances.
type RateLimiter interface {
	// Admit decides about a request, and counts its cost if it is admitted.
	Admit(ctx context.Context, subject usage.Subject, limit usage.Limit, cost int64) usage.Decision
	// Charge counts use that is not asked about; a negative amount gives back.
	Charge(subject usage.Subject, limit usage.Limit, amount int64)
}

// charge is what a job has counted against its organisation's rate limit.
type reservation struct {
	limiter      RateLimiter
	organisation tables.OrganisationID
	subject      usage.Subject
	limit        usage.Limit
	cost         int64
	// unused is set while what was counted belongs to no run.
	unused bool
	// decision is the last one, for the log.
	decision usage.Decision
}

// admitUsage counts the request against its organisation's limit, and says whether it is
// within it. It answers the caller if it is not.
func (c *clientRequest) reserveUsage() bool {
	limiter := c.server.options.RateLimiter
	if limiter == nil || c.org == nil || !c.org.UsageLimit.Limited() {
		return true
	}
	limit := EnforcedLimit(c.org, c.server.options.UsageTolerance)
	c.reservation = reservation{limiter: limiter, organisation: c.org.ID, subject: usage.OrganisationSubject(c.org.ID), limit: limit, cost: c.usageCost()}
	c.reservation.decision = limiter.Admit(c.ctx, c.reservation.subject, limit, c.reservation.cost)
	c.server.metrics.countUsageDecision(c)
	if !c.reservation.decision.Admitted {
		c.rejectRetryable(tables.CodeOrganisationLimit, max(c.reservation.decision.RetryAfter, minRetryAfter))
		return false
	}
	c.reservation.unused = true
	return true
}

// EnforcedLimit is what is enforced of an organisation's limit.
func EnforcedLimit(o *routes.Organisation, t usage.Tolerance) usage.Limit {
	return t.Relax(usage.Limit{Rate: o.UsageLimit.Rate, Burst: o.UsageLimit.Burst})
}

// usageCost is what the request costs in the unit of its organisation's limit.
func (c *clientRequest) usageCost() int64 {
	if c.org.UsageLimit.Unit == routes.UsageInRequests {
		return 1
	}
	tokens, declared := c.declaredTokens()
	if !declared {
		return c.org.UsageLimit.DefaultTokens
	}
	return tokens
}

// run counts a run of the request. Each beyond the first costs as much again.
func (r *reservation) chargeAttempt() {
	if r.limiter == nil {
		return
	}
	if !r.unused {
		r.limiter.Charge(r.subject, r.limit, r.cost)
	}
	r.unused = false
}

// notRun notes that a run that was counted did not take place.
func (r *reservation) markUnused() { r.unused = r.limiter != nil }

// settle gives back what no run has used.
func (r *reservation) refundUnused() {
	if r.limiter != nil && r.unused {
		r.unused = false
		r.limiter.Charge(r.subject, r.limit, -r.cost)
	}
}

// fields are what the decision rested on.
func (r *reservation) logFields() []zap.Field {
	if r.limiter == nil || r.decision.Admitted {
		return nil
	}
	return []zap.Field{
		zap.String("usage_by", string(r.decision.Basis)), zap.Int64("usage_cost", r.cost),
		zap.Int64("usage_level", r.decision.Level), zap.Duration("usage_level_age", r.decision.LevelAge),
		zap.Float64("usage_limit", r.limit.Rate),
	}
}
