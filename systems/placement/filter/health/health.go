// Package health rejects endpoints that passive health checking has ejected.
package health

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// MaxProbationAttempts is the maximum number of concurrent attempts of this
// instance at an endpoint on probation. A crashed endpoint looks idle when it
// returns; without the limit, all queued work would be sent to it at once before
// it has proved that it works.
const MaxProbationAttempts = 2

// Filter accepts healthy endpoints, and endpoints on probation up to
// MaxProbationAttempts.
type Filter struct{}

// Name is the reason reported for a rejected candidate.
func (Filter) Name() string { return "health" }

// Keep rejects ejected endpoints, and endpoints on probation at the limit.
func (Filter) Keep(q *placement.Query, c *placement.Candidate) bool {
	switch c.Row.Health.State {
	case tables.Ejected:
		return false
	case tables.Probation:
		return c.Row.Load.LocalAttempts < MaxProbationAttempts
	default:
		return true
	}
}
