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
type charge struct {
	limiter RateLimiter
	id      tables.OrganisationID
	subject usage.Subject
	limit   usage.Limit
	cost    int64
	// unused is set while what was counted belongs to no run.
	unused bool
	// decision is the last one, for the log.
	decision usage.Decision
}

// admitUsage counts the request against its organisation's limit, and says whether it is
// within it. It answers the caller if it is not.
func (j *job) admitUsage() bool {
	limiter := j.server.options.RateLimiter
	if limiter == nil || j.org == nil || !j.org.UsageLimit.Limited() {
		return true
	}
	limit := EnforcedLimit(j.org, j.server.options.UsageTolerance)
	j.charge = charge{limiter: limiter, id: j.org.ID, subject: usage.OrganisationSubject(j.org.ID), limit: limit, cost: j.usageCost()}
	j.charge.decision = limiter.Admit(j.ctx, j.charge.subject, limit, j.charge.cost)
	j.server.metrics.usageDecided(j)
	if !j.charge.decision.Admitted {
		j.refuse(tables.CodeOrganisationLimit, max(j.charge.decision.RetryAfter, retryElsewhere))
		return false
	}
	j.charge.unused = true
	return true
}

// EnforcedLimit is what is enforced of an organisation's limit.
func EnforcedLimit(o *routes.Organisation, t usage.Tolerance) usage.Limit {
	return t.Relax(usage.Limit{Rate: o.UsageLimit.Rate, Burst: o.UsageLimit.Burst})
}

// usageCost is what the request costs in the unit of its organisation's limit.
func (j *job) usageCost() int64 {
	if j.org.UsageLimit.Unit == routes.UsageInRequests {
		return 1
	}
	tokens, named := j.usageTokens()
	if !named {
		return j.org.UsageLimit.DefaultTokens
	}
	return tokens
}

// run counts a run of the request. Each beyond the first costs as much again.
func (c *charge) run() {
	if c.limiter == nil {
		return
	}
	if !c.unused {
		c.limiter.Charge(c.subject, c.limit, c.cost)
	}
	c.unused = false
}

// notRun notes that a run that was counted did not take place.
func (c *charge) notRun() { c.unused = c.limiter != nil }

// settle gives back what no run has used.
func (c *charge) settle() {
	if c.limiter != nil && c.unused {
		c.unused = false
		c.limiter.Charge(c.subject, c.limit, -c.cost)
	}
}

// fields are what the decision rested on.
func (c *charge) fields() []zap.Field {
	if c.limiter == nil || c.decision.Admitted {
		return nil
	}
	return []zap.Field{
		zap.String("usage_by", string(c.decision.Basis)), zap.Int64("usage_cost", c.cost),
		zap.Int64("usage_level", c.decision.Level), zap.Duration("usage_level_age", c.decision.LevelAge),
		zap.Float64("usage_limit", c.limit.Rate),
	}
}
