// Package queue scores the expected queueing time at an endpoint.
package queue

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
)

// DefaultServiceTime is the service time assumed for an endpoint before its
// first attempt has completed.
const DefaultServiceTime = 2 * time.Second

// Scorer returns the expected wait, in seconds from 0 up, before the request's
// own prefill begins: the prefill work ahead of it plus the wait for a free
// slot.
type Scorer struct{}

// Name is the name of the cost term in reports.
func (Scorer) Name() string { return "queue" }

// Score weights the expected wait by the query's WaitWeight. The load combines
// this instance's attempts, which are counted exactly, with an estimate of the
// others' from load reports.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	return q.WaitWeight * ExpectedWait(q, c)
}

// ExpectedWait returns the expected wait in seconds, unweighted.
func ExpectedWait(q *placement.Query, c *placement.Candidate) float64 {
	prefill := c.Row.Load.PrefillTokensAhead(q.Request.Priority, &q.PriorityMix) / c.PrefillRate()
	return prefill + slotWait(c)
}

// slotWait returns the expected wait for a free slot in seconds: the number of
// slots that must become free first, at the rate at which the endpoint frees
// slots.
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
