// Package health drops endpoints that traffic has shown to be broken.
package health

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// MaxProbationAttempts is how many own attempts an endpoint on probation may have
// at once. A crashed endpoint looks idle when it returns; without the limit
// all waiting work would go to it in one moment, before it has proved itself.
const MaxProbationAttempts = 2

// Filter keeps healthy endpoints, and those on probation up to a limit.
type Filter struct{}

// Name is the reason given for a dropped candidate.
func (Filter) Name() string { return "health" }

// Keep drops ejected endpoints until their time is over.
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
