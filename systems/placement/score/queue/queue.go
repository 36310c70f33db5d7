// Package queue scores the wait for an endpoint's queue.
package queue

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
)

// DefaultServiceTime is the time an attempt is taken to run before any has ended.
const DefaultServiceTime = 2 * time.Second

// Scorer gives the expected wait before the request's own prefill begins, in
// seconds from 0 up: the prefill work ahead of it, and the wait for a slot.
type Scorer struct{}

// Name names the part in explanations.
func (Scorer) Name() string { return "queue" }

// Score adds own dispatches, counted exactly, to what the last report said of
// others.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	return q.WaitWeight * ExpectedWait(q, c)
}

// ExpectedWait is the expected wait in seconds.
func ExpectedWait(q *placement.Query, c *placement.Candidate) float64 {
	prefill := c.Row.Load.PrefillTokensAhead(q.Request.Priority, &q.PriorityMix) / c.PrefillRate()
	return prefill + slotWait(c)
}

func slotWait(c *placement.Candidate) float64 {
	slots := c.Row.Slots()
	excess := c.Row.Load.TotalAttempts() - slots + 1
	if excess <= 0 {
		return 0
	}
	service := c.Row.Throughput.MeanServiceTime
	if service <= 0 {
		service = DefaultServiceTime
	}
	return float64(excess) / float64(slots) * service.Seconds()
}
