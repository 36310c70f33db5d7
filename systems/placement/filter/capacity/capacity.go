// Package capacity limits the concurrent attempts at an endpoint.
package capacity

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// MaxAttemptsPerSlot is the maximum number of attempts at an endpoint per slot,
// by the priority of the request. Urgent work may queue at the endpoint, which
// schedules by priority. Work that can wait stays queued in the instance, where
// it can still be placed elsewhere.
var MaxAttemptsPerSlot = [tables.PriorityCount]float64{
	tables.Urgent:     2,
	tables.Normal:     1.25,
	tables.Background: 0.75,
}

// Filter accepts endpoints that are below the limit.
type Filter struct{}

// Name is the reason reported for a rejected candidate.
func (Filter) Name() string { return "capacity" }

// Keep compares the estimated number of attempts with the limit of the
// priority. Promoted requests get the limit of urgent ones, and every endpoint
// may have at least one attempt.
func (Filter) Keep(q *placement.Query, c *placement.Candidate) bool {
	perSlot := MaxAttemptsPerSlot[q.Request.Priority]
	if q.Promoted {
		perSlot = MaxAttemptsPerSlot[tables.Urgent]
	}
	limit := perSlot * float64(c.Row.Slots())
	return float64(c.Row.Load.TotalAttempts()) < max(1, limit)
}
