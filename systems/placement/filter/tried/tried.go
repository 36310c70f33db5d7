// Package tried rejects endpoints where an attempt of the request has failed or
// is running.
package tried

import "github.com/carawaystile/carawaystile/systems/placement"

// Filter accepts endpoints without a failed or running attempt of the request.
type Filter struct{}

// Name is the reason reported for a rejected candidate.
func (Filter) Name() string { return "tried" }

// Keep rejects the endpoints of failed and of running attempts.
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
