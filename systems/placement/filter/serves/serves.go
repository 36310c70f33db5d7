// Package serves rejects endpoints that cannot run the request because their
// kind, service, model or weights version differs.
package serves

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Filter accepts endpoints that serve what the request's profile requires.
type Filter struct{}

// Name is the reason reported for a rejected candidate.
func (Filter) Name() string { return "serves" }

// Keep compares the kind, and then the service, or the model and the weights.
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
