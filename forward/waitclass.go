package forward

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/systems/fairness"
	"github.com/carawaystile/carawaystile/systems/waiting"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// minLowerShare is the share of the started cost below which the classes below a class are
	// served before it, so that none is starved. It equals the minimum share of less urgent work
	// in placement.
	minLowerShare = 0.25
	// classShareDecay is the time constant of the decaying cost that was started of a class.
	classShareDecay = 3 * time.Second
)

// waitClass holds the waiting requests of one priority that are of the most urgent work, or those
// that are not.
type waitClass struct {
	scheduler fairness.Scheduler
	// organisations is indexed by flow; it holds nil where no request waits.
	organisations []*organisationQueue
	// demand is indexed by flow: the decaying cost of the requests that were to join the queue,
	// with the rejected ones.
	demand []decayingCost
	// rate measures the cost that leaves the queue, and departures the requests. Those that are rejected while they wait
	// count: those behind them do not wait for them any longer.
	rate, departures admission.Throughput
	// placed is the decaying cost that was started.
	placed decayingCost
}

// organisationQueue holds the waiting requests of an organisation in one class. Sizes get equal
// shares of what the organisation gets, so that a small request does not wait behind many large
// ones. Within a size, the request with the least time left to its target is first.
type organisationQueue struct {
	queue waiting.Queue
	// sizes schedules the sizes, which are numbered by waiter.size.
	sizes fairness.Scheduler
	// cost is the sum of the costs of the waiting requests, and costs that of each size.
	cost  float64
	costs [maxSize + 1]float64
}

// decayingCost is a sum that decays exponentially, as of a point in time.
type decayingCost struct {
	sum float64
	at  tables.Instant
}

// value returns the sum at a time, given the time constant.
func (d *decayingCost) value(now tables.Instant, constant time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-float64(now-d.at)/float64(constant))
}

func (d *decayingCost) add(now tables.Instant, constant time.Duration, cost float64) {
	d.sum, d.at = d.value(now, constant)+cost, now
}

// addFlow declares an organisation, with the same weight as all others.
func (c *waitClass) addFlow(f fairness.Flow) {
	for int(f) >= len(c.organisations) {
		c.scheduler.SetWeight(fairness.Flow(len(c.organisations)), 1)
		c.organisations = append(c.organisations, nil)
		c.demand = append(c.demand, decayingCost{})
	}
}

// minDemand is the cost below which an organisation's decayed demand counts as none.
const minDemand = 1

// isIdle reports whether an organisation has nothing queued, no demand, and no more than its share.
func (c *waitClass) isIdle(now tables.Instant, f fairness.Flow) bool {
	if int(f) >= len(c.organisations) {
		return true
	}
	return c.organisations[f] == nil && c.demand[f].value(now, rateWindow) < minDemand && c.scheduler.IsIdle(f)
}

// queued returns the number of requests that an organisation has in the class.
func (c *waitClass) queued(f fairness.Flow) int {
	if o := c.organisations[f]; o != nil {
		return o.queue.Len()
	}
	return 0
}

func (c *waitClass) add(now tables.Instant, w *waiter) {
	o := c.organisations[w.flow]
	if o == nil {
		o = &organisationQueue{}
		c.organisations[w.flow] = o
	}
	o.sizes.SetWeight(w.size(), 1)
	o.queue.Add(waiting.Item{Row: &w.row, GroupKey: tables.BlockHash(w.size()), StartBy: w.arrivedAt + w.target})
	o.sizes.Enqueue(w.size())
	o.cost += w.cost()
	o.costs[w.size()] += w.cost()
	c.scheduler.Enqueue(w.flow)
	c.setQueued(now, true)
}

func (c *waitClass) remove(now tables.Instant, w *waiter) {
	o := c.organisations[w.flow]
	if o == nil || !o.queue.Remove(&w.row, tables.BlockHash(w.size())) {
		return
	}
	o.sizes.Dequeue(w.size())
	o.cost -= w.cost()
	o.costs[w.size()] -= w.cost()
	c.scheduler.Dequeue(w.flow)
	if o.queue.Len() == 0 {
		c.organisations[w.flow] = nil
	}
	c.rate.Departed(now, w.cost())
	c.departures.Departed(now, 1)
	c.setQueued(now, c.scheduler.QueueLength() > 0)
}

func (c *waitClass) setQueued(now tables.Instant, queued bool) {
	c.rate.SetQueued(now, queued)
	c.departures.SetQueued(now, queued)
}

// charge counts a started request towards the shares of its organisation, its size and the
// class.
func (c *waitClass) charge(now tables.Instant, w *waiter) {
	c.scheduler.Charge(w.flow, w.cost())
	c.placed.add(now, classShareDecay, w.cost())
	if o := c.organisations[w.flow]; o != nil && o.costs[w.size()] > 0 {
		o.sizes.Charge(w.size(), w.cost())
	}
}

// refund takes back what charge has counted at the given time, as far as it has not decayed.
func (c *waitClass) refund(now, chargedAt tables.Instant, w *waiter) {
	c.scheduler.Refund(w.flow, w.cost())
	charged := decayingCost{sum: w.cost(), at: chargedAt}
	c.placed.add(now, classShareDecay, -min(charged.value(now, classShareDecay), c.placed.value(now, classShareDecay)))
	if o := c.organisations[w.flow]; o != nil && o.costs[w.size()] > 0 {
		o.sizes.Refund(w.size(), w.cost())
	}
}

// ahead returns the cost that is expected to start before a request that joins now and waits for
// the given time. An organisation is expected to queue at the rate at which it has of late.
func (c *waitClass) ahead(now tables.Instant, w *waiter, wait time.Duration) float64 {
	own := func(fairness.Flow) float64 { return c.organisations[w.flow].ahead(w) }
	share := float64(wait) / float64(rateWindow)
	return c.scheduler.Ahead(w.flow, own, func(f fairness.Flow) float64 {
		expected := share * c.demand[f].value(now, rateWindow)
		if o := c.organisations[f]; o != nil {
			expected += o.cost
		}
		return expected
	})
}

// ahead returns the cost of the organisation's waiting requests that start before a new one.
func (o *organisationQueue) ahead(w *waiter) float64 {
	if o == nil {
		return 0
	}
	o.sizes.SetWeight(w.size(), 1)
	queued := func(size fairness.Flow) float64 { return o.costs[size] }
	return o.sizes.Ahead(w.size(), queued, queued)
}

// addDemand records that a request is to join the queue.
func (c *waitClass) addDemand(now tables.Instant, w *waiter) {
	c.demand[w.flow].add(now, rateWindow, w.cost())
}

// first returns the first request that is accepted: of the first organisation with such a request,
// the first one of the first size; nil if there is none. Requests that are not accepted use up
// no limit, or a few organisations with large requests would hide all others.
func (c *waitClass) first(accept func(*tables.RequestRow) bool) *tables.RequestRow {
	found := map[fairness.Flow]*tables.RequestRow{}
	flow, any := c.scheduler.Next(func(f fairness.Flow) bool {
		found[f] = c.organisations[f].first(accept)
		return found[f] == nil
	})
	if !any {
		return nil
	}
	return found[flow]
}

// first returns the first request that is accepted, in the order of the sizes; nil if there is
// none.
func (o *organisationQueue) first(accept func(*tables.RequestRow) bool) *tables.RequestRow {
	var found [maxSize + 1]*tables.RequestRow
	size, any := o.sizes.Next(func(size fairness.Flow) bool {
		item, accepted := o.queue.First(tables.BlockHash(size), accept)
		found[size] = item.Row
		return !accepted
	})
	if !any {
		return nil
	}
	return found[size]
}

// order returns the classes with waiting requests in the order in which they are served: by
// priority, except that a class gives way while those below it have had less than their minimum
// share.
func (q *waitQueue) order(now tables.Instant) []*waitClass {
	var waitingClasses []*waitClass
	for i := range q.classes {
		if q.classes[i].scheduler.QueueLength() > 0 {
			waitingClasses = append(waitingClasses, &q.classes[i])
		}
	}
	for first := range waitingClasses {
		below := 0.0
		for _, class := range waitingClasses[first+1:] {
			below += class.placed.value(now, classShareDecay)
		}
		isLast := first == len(waitingClasses)-1
		if isLast || below >= minLowerShare*(below+waitingClasses[first].placed.value(now, classShareDecay)) {
			chosen := waitingClasses[first]
			copy(waitingClasses[1:first+1], waitingClasses[:first])
			waitingClasses[0] = chosen
			break
		}
	}
	return waitingClasses
}
