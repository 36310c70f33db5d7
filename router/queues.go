package router

import (
	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/systems/fairness"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/waiting"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// headsTried is how many groups of one organisation are tried in a round.
	headsTried = 8
	// maxFailures bounds the requests of a class that are tried in vain in one
	// round, for the sake of processor time.
	maxFailures = 16
)

// class holds the waiting requests of one priority.
type class struct {
	schedule fairness.Scheduler
	// The following are by organisation; recent is the group served last.
	queues  []waiting.Queue
	backlog []admission.Backlog
	recent  []tables.BlockHash
	// blocked is the round, from 1 up, in which nothing of an organisation could be placed.
	blocked []uint32
	// cursor walks through the groups of an organisation, so that one which
	// cannot be placed does not keep the others from being tried.
	cursor []int
	round  uint32
}

// heading is the head of a group that is being tried.
type heading = waiting.Item

func (c *class) configure(flow fairness.Flow, weight float64) {
	c.schedule.SetWeight(flow, weight)
	for int(flow) >= len(c.queues) {
		c.queues = append(c.queues, waiting.Queue{})
		c.backlog = append(c.backlog, admission.Backlog{})
		c.recent = append(c.recent, 0)
		c.blocked = append(c.blocked, 0)
		c.cursor = append(c.cursor, 0)
	}
}

// takeFresh places new requests at once, unless others of their organisation
// and class wait already and would be overtaken. What cannot be placed waits, or
// is refused at once if it would wait in vain.
func (r *Router) takeFresh(now tables.Instant) {
	for _, row := range r.fresh {
		if row.State != tables.Pending {
			continue
		}
		c := &r.classes[row.Priority]
		if c.queues[row.Organisation].Len() == 0 && r.startFresh(now, row) {
			continue
		}
		row.StartBy = admission.StartBy(row, 0)
		if refusal, ok := c.backlog[row.Organisation].Check(now, row.StartBy-now); !ok {
			r.notePressure(now, row)
			r.refuse(row.Request, refusal)
			r.finish(row)
			continue
		}
		r.enqueue(now, row, r.groupOf(row))
	}
	clear(r.fresh)
	r.fresh = r.fresh[:0]
}

func (r *Router) startFresh(now tables.Instant, row *tables.RequestRow) bool {
	if r.organisations.rows[row.Organisation].limiter.Full(r.share) {
		return false
	}
	if !r.place(now, row, false) {
		return false
	}
	r.started(now, row)
	return true
}

// groupOf is the block by which a waiting request is grouped: the end of what
// it shares with others.
func (r *Router) groupOf(row *tables.RequestRow) tables.BlockHash {
	blocks := row.Request.Blocks
	if level := r.sharedLevel(blocks); level > 0 {
		return blocks[level-1]
	}
	return 0
}

// ownGroup is a group that a request that failed has for itself, so that it
// does not hold up others that can be placed.
func ownGroup(row *tables.RequestRow) tables.BlockHash {
	return tables.BlockHash(placement.Mix(uint64(row.SubmittedAt) + uint64(row.Retries)<<56))
}

// enqueue makes a request wait in its class.
func (r *Router) enqueue(now tables.Instant, row *tables.RequestRow, key tables.BlockHash) {
	row.State = tables.Pending
	row.Queued = true
	row.QueueGroup = key
	c := &r.classes[row.Priority]
	flow := row.Organisation
	c.queues[flow].Add(waiting.Item{Row: row, GroupKey: key, StartBy: row.StartBy})
	c.schedule.Add(flow)
	c.backlog[flow].Queued(now, row.StartBy-now)
}

// dequeue takes a request out of its class, if it waits there.
func (r *Router) dequeue(row *tables.RequestRow) {
	if !row.Queued {
		return
	}
	row.Queued = false
	c := &r.classes[row.Priority]
	c.queues[row.Organisation].Remove(row, row.QueueGroup)
	c.schedule.Remove(row.Organisation)
	c.backlog[row.Organisation].Left()
}

// serve places waiting requests of a class, organisation by organisation in
// the order of fair shares, until nothing more can be placed or enough have been
// tried in vain. The round goes on in the next call, so that every organisation
// is tried in turn however many there are.
func (r *Router) serve(now tables.Instant, p tables.Priority) {
	c := &r.classes[p]
	blocked := func(f fairness.Flow) bool { return c.blocked[f] == c.round }
	r.failures = 0
	for r.failures < maxFailures {
		flow, ok := c.schedule.Next(blocked)
		if !ok {
			c.round++
			return
		}
		if !r.serveOne(now, c, flow) {
			c.blocked[flow] = c.round
		}
	}
}

// serveOne places one waiting request of an organisation.
func (r *Router) serveOne(now tables.Instant, c *class, flow fairness.Flow) bool {
	if r.organisations.rows[flow].limiter.Full(r.share) {
		r.failures++
		return false
	}
	r.heads = c.queues[flow].Candidates(r.heads[:0], c.recent[flow], c.cursor[flow], headsTried)
	c.cursor[flow]++
	for i := range r.heads {
		row := r.heads[i].Row
		if row.NotBefore > now {
			continue
		}
		if !r.place(now, row, false) {
			r.failures++
			continue
		}
		c.recent[flow] = row.QueueGroup
		r.dequeue(row)
		r.started(now, row)
		return true
	}
	return false
}

// started accounts for a request whose first or next attempt was dispatched.
func (r *Router) started(now tables.Instant, row *tables.RequestRow) {
	c := &r.classes[row.Priority]
	c.backlog[row.Organisation].Started(now)
	cost := r.costOf(row)
	c.schedule.Charge(row.Organisation, cost)
	r.pressure.work(now, cost, row.Profile.MaxWait > 0)
	if !row.HoldsConcurrencySlot {
		row.HoldsConcurrencySlot = true
		r.organisations.rows[row.Organisation].limiter.Start()
	}
}

// costOf is what a dispatched request takes of the endpoints, in tokens of
// prefill. A token of the answer counts as answerCost tokens of prefill.
func (r *Router) costOf(row *tables.RequestRow) float64 {
	a := row.Attempts[len(row.Attempts)-1]
	return float64(a.UncachedTokens) + answerCost*float64(row.Request.MaxTokens) + 1
}

// notePressure takes a refusal of work that cannot be held as a sign of
// overload.
func (r *Router) notePressure(now tables.Instant, row *tables.RequestRow) {
	if row.Profile.MaxWait <= 0 {
		r.pressure.sign(now)
	}
}

const answerCost = 4
