package forward

import (
	"context"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// RateLimiter is a distributed rate limiter. It decides whether requests are within the
// rate limits of organisations and of endpoints, over all instances together. Package usage
// implements it.
type RateLimiter interface {
	// Admit decides about a request of the given cost, in requests or tokens, and counts the
	// cost if the request is admitted.
	Admit(ctx context.Context, subject usage.Subject, limit usage.Limit, cost int64) usage.Decision
	// Charge counts use without a decision. A negative amount is a refund.
	Charge(subject usage.Subject, limit usage.Limit, amount int64)
}

// reservation is the part of an organisation's rate limit that is reserved for a request.
// Admission reserves the cost of one attempt, each further attempt is charged, and a
// reservation that no attempt has used is refunded. The zero value is that of a request
// without a limit.
type reservation struct {
	// limiter is nil if the request has no limit.
	limiter      RateLimiter
	organisation tables.OrganisationID
	subject      usage.Subject
	limit        usage.Limit
	cost         int64
	// unused is set while the reserved cost belongs to no attempt.
	unused bool
	// decision is the limiter's decision at admission, for the log.
	decision usage.Decision
}

// reserveUsage reserves the request's cost in its organisation's rate limit. It returns
// false if it has rejected the request because the limit is exhausted.
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

// EnforcedLimit returns the limit that is enforced for an organisation: the configured one,
// relaxed by the tolerance.
func EnforcedLimit(o *routes.Organisation, t usage.Tolerance) usage.Limit {
	return t.Relax(usage.Limit{Rate: o.UsageLimit.Rate, Burst: o.UsageLimit.Burst})
}

// usageCost returns the request's cost in the unit of its organisation's limit.
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

// chargeAttempt assigns the reserved cost to an attempt. If an earlier attempt has used the
// reservation, it charges the cost again.
func (r *reservation) chargeAttempt() {
	if r.limiter == nil {
		return
	}
	if !r.unused {
		r.limiter.Charge(r.subject, r.limit, r.cost)
	}
	r.unused = false
}

// markUnused returns the cost of an attempt that did not run to the reservation.
func (r *reservation) markUnused() { r.unused = r.limiter != nil }

// refundUnused refunds the reserved cost if no attempt has used it.
func (r *reservation) refundUnused() {
	if r.limiter != nil && r.unused {
		r.unused = false
		r.limiter.Charge(r.subject, r.limit, -r.cost)
	}
}

// logFields returns the fields that explain a refusal in the log; none if the request was
// admitted.
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
