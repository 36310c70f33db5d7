// Package serves drops endpoints that cannot answer the request: another kind,
// model, service or weights version.
package serves

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Filter keeps endpoints that serve what the profile asks for.
type Filter struct{}

// Name is the reason given for a dropped candidate.
func (Filter) Name() string { return "serves" }

// Keep compares kind, and then service, or model and weights.
func (Filter) Keep(q *placement.Query, c *placement.Candidate) bool {
	profile := q.Request.Profile
	if c.Row.Endpoint.Kind != profile.Kind {
		return false
	}
	if profile.Kind == tables.PlainService {
		return c.Row.Endpoint.Service == profile.Service
	}
	return c.Row.Serves(profile.Model, q.Weights)
}
