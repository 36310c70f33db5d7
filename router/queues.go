package router

import (
	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/systems/fairness"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/waiting"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// maxHeadsPerTurn is the number of groups of one organisation that one turn
	// tries.
	maxHeadsPerTurn = 8
	// maxFailedPlacements limits the failed placement attempts per class and
	// call of serveClass, to bound processor time.
	maxFailedPlacements = 16
)

// priorityClass is the queue of one priority: weighted fair queueing with one
// flow per organisation. Within a flow, requests with a common prefix form a
// group and are dispatched one after the other, while the prefix is cached.
type priorityClass struct {
	scheduler fairness.Scheduler
	// The slices below are indexed by flow. lastGroup is the group that was
	// served last.
	queues    []waiting.Queue
	backlog   []admission.Backlog
	lastGroup []tables.BlockHash
	// blockedRound is the last round, counted from 1 up, in which no request of
	// the flow could be placed.
	blockedRound []uint32
	// cursor rotates through a flow's groups, so that a group that cannot be
	// placed does not block the others.
	cursor []int
	round  uint32
}

// queueHead is the first request of a group that is being tried.
type queueHead = waiting.Item

func (c *priorityClass) configure(flow fairness.Flow, weight float64) {
	c.scheduler.SetWeight(flow, weight)
	for int(flow) >= len(c.queues) {
		c.queues = append(c.queues, waiting.Queue{})
		c.backlog = append(c.backlog, admission.Backlog{})
		c.lastGroup = append(c.lastGroup, 0)
		c.blockedRound = append(c.blockedRound, 0)
		c.cursor = append(c.cursor, 0)
	}
}

// placeNewRequests tries to place new requests immediately, unless earlier
// requests of the same organisation and class are queued, which they would
// overtake. A request that cannot be placed is queued, or refused at once if
// its predicted wait exceeds its limit.
func (r *Router) placeNewRequests(now tables.Instant) {
	for _, row := range r.newRequests {
		if row.State != tables.Pending {
			continue
		}
		c := &r.classes[row.Priority]
		if c.queues[row.Organisation].Len() == 0 && r.startNewRequest(now, row) {
			continue
		}
		row.StartBy = admission.StartBy(row, 0)
		if refusal, ok := c.backlog[row.Organisation].Admit(now, row.StartBy-now); !ok {
			r.recordShed(now, row)
			r.refuse(row.Request, refusal)
			r.finish(row)
			continue
		}
		r.enqueue(now, row, r.sharedGroup(row))
	}
	clear(r.newRequests)
	r.newRequests = r.newRequests[:0]
}

func (r *Router) startNewRequest(now tables.Instant, row *tables.RequestRow) bool {
	if r.organisations.rows[row.Organisation].limiter.AtConcurrencyLimit(r.trafficShare) {
		return false
	}
	if !r.tryPlace(now, row, false) {
		return false
	}
	r.recordStart(now, row)
	return true
}

// sharedGroup returns the queue group of a request: the last block of the
// prefix that it shares with others.
func (r *Router) sharedGroup(row *tables.RequestRow) tables.BlockHash {
	blocks := row.Request.Blocks
	if depth := r.sharedDepth(blocks); depth > 0 {
		return blocks[depth-1]
	}
	return 0
}

// privateGroup returns a unique queue group for a failed request, so that it
// does not delay requests that can be placed.
func privateGroup(row *tables.RequestRow) tables.BlockHash {
	return tables.BlockHash(placement.Mix64(uint64(row.SubmittedAt) + uint64(row.Retries)<<56))
}

// enqueue adds a request to the queue of its class.
func (r *Router) enqueue(now tables.Instant, row *tables.RequestRow, key tables.BlockHash) {
	row.State = tables.Pending
	row.Queued = true
	row.QueueGroup = key
	c := &r.classes[row.Priority]
	flow := row.Organisation
	c.queues[flow].Add(waiting.Item{Row: row, GroupKey: key, StartBy: row.StartBy})
	c.scheduler.Enqueue(flow)
	c.backlog[flow].Enqueued(now, row.StartBy-now)
}

// dequeue removes a request from the queue of its class, if it is queued.
func (r *Router) dequeue(row *tables.RequestRow) {
	if !row.Queued {
		return
	}
	row.Queued = false
	c := &r.classes[row.Priority]
	c.queues[row.Organisation].Remove(row, row.QueueGroup)
	c.scheduler.Dequeue(row.Organisation)
	c.backlog[row.Organisation].Dequeued()
}

// serveClass places queued requests of a class, flow by flow in fair-share
// order, until none can be placed or maxFailedPlacements attempts have failed.
// The next call continues the same round, so that every flow gets its turn
// however many there are.
func (r *Router) serveClass(now tables.Instant, p tables.Priority) {
	c := &r.classes[p]
	blocked := func(f fairness.Flow) bool { return c.blockedRound[f] == c.round }
	r.failedPlacements = 0
	for r.failedPlacements < maxFailedPlacements {
		flow, ok := c.scheduler.Next(blocked)
		if !ok {
			c.round++
			return
		}
		if !r.serveFlow(now, c, flow) {
			c.blockedRound[flow] = c.round
		}
	}
}

// serveFlow places one queued request of a flow.
func (r *Router) serveFlow(now tables.Instant, c *priorityClass, flow fairness.Flow) bool {
	if r.organisations.rows[flow].limiter.AtConcurrencyLimit(r.trafficShare) {
		r.failedPlacements++
		return false
	}
	r.headBuf = c.queues[flow].Candidates(r.headBuf[:0], c.lastGroup[flow], c.cursor[flow], maxHeadsPerTurn)
	c.cursor[flow]++
	for i := range r.headBuf {
		row := r.headBuf[i].Row
		if row.NotBefore > now {
			continue
		}
		if !r.tryPlace(now, row, false) {
			r.failedPlacements++
			continue
		}
		c.lastGroup[flow] = row.QueueGroup
		r.dequeue(row)
		r.recordStart(now, row)
		return true
	}
	return false
}

// recordStart charges a dispatched attempt to its flow. The request counts once
// against the organisation's concurrency limit, however often it is retried.
func (r *Router) recordStart(now tables.Instant, row *tables.RequestRow) {
	c := &r.classes[row.Priority]
	c.backlog[row.Organisation].Started(now)
	cost := r.requestCost(row)
	c.scheduler.Charge(row.Organisation, cost)
	r.overload.recordWork(now, cost, row.Profile.MaxWait > 0)
	if !row.HoldsConcurrencySlot {
		row.HoldsConcurrencySlot = true
		r.organisations.rows[row.Organisation].limiter.Acquire()
	}
}

// requestCost returns the cost of a dispatched request in prefill tokens. A
// token of the answer costs as much as decodeTokenCost prefill tokens.
func (r *Router) requestCost(row *tables.RequestRow) float64 {
	a := row.Attempts[len(row.Attempts)-1]
	return float64(a.UncachedTokens) + decodeTokenCost*float64(row.Request.MaxTokens) + 1
}

// recordShed treats the refusal of work that is not deferrable as a sign of
// overload.
func (r *Router) recordShed(now tables.Instant, row *tables.RequestRow) {
	if row.Profile.MaxWait <= 0 {
		r.overload.trigger(now)
	}
}

const decodeTokenCost = 4
