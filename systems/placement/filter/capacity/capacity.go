// Package capacity drops endpoints that have as much work as they should get.
package capacity

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// MaxAttemptsPerSlot are the most attempts at an endpoint, as multiples of its slots, for
// requests of each priority. Urgent work may queue at the endpoint, which
// honours priorities; work that can wait waits here, where it can still be
// placed elsewhere.
var MaxAttemptsPerSlot = [tables.PriorityCount]float64{
	tables.Urgent:     2,
	tables.Normal:     1.25,
	tables.Background: 0.75,
}

// Filter keeps endpoints with room.
type Filter struct{}

// Name is the reason given for a dropped candidate.
func (Filter) Name() string { return "capacity" }

// Keep compares the estimated attempts with the limit of the priority.
func (Filter) Keep(q *placement.Query, c *placement.Candidate) bool {
	part := MaxAttemptsPerSlot[q.Request.Priority]
	if q.Promoted {
		part = MaxAttemptsPerSlot[tables.Urgent]
	}
	limit := part * float64(c.Row.Slots())
	return float64(c.Row.Load.TotalAttempts()) < max(1, limit)
}
