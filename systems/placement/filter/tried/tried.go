// Package tried drops endpoints at which the request has failed already or is
// running now.
package tried

import "github.com/carawaystile/carawaystile/systems/placement"

// Filter keeps endpoints that the request has not been to.
type Filter struct{}

// Name is the reason given for a dropped candidate.
func (Filter) Name() string { return "tried" }

// Keep drops endpoints of failed and of running attempts.
func (Filter) Keep(q *placement.Query, c *placement.Candidate) bool {
	if q.Request.HasFailedAt(c.Row.Index) {
		return false
	}
	for _, a := range q.Request.Attempts {
		if a.Endpoint == c.Row.Index {
			return false
		}
	}
	return true
}
