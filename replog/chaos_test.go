package replog

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Messages are lost, late, doubled and out of order, links fail in one
// direction, processes pause, run at different speeds and crash with writes that
// were not synced, disks are lost and replaced, and meanwhile operators change
// the membership. Callers must never see an accepted change vanish or come back
// in another order, and the group has to work again once the faults are over.
func TestGroupUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(100, 2500).Draw(rt, "steps")
		runChaos(rt, seed, steps)
	})
}

// runChaos lets the steps that the seed determines happen, and then the group
// recover.
func runChaos(t *rapid.T, seed uint64, steps int) {
	c := newChaos(t, seed)
	for range steps {
		c.step()
	}
	c.recover()
	c.copy.checkOutcome()
}

// chaos does random things to a group and checks it after each.
type chaos struct {
	*group
	t      *rapid.T
	rand   *rand.Rand
	copy   *singleCopy
	lost   map[ReplicaID]bool
	paused map[ReplicaID]bool
	nextID ReplicaID
	nextNo uint64
	// checked is the last commit of each leader that was checked.
	checked map[ReplicaID]Position
	// proposed are proposals whose outcome is open, by proposer.
	proposed map[ReplicaID]map[Position]string
}

func newChaos(t *rapid.T, seed uint64) *chaos {
	r := rand.New(rand.NewPCG(seed, 0))
	n := 3 + r.IntN(3)
	var ids []ReplicaID
	for i := range n {
		ids = append(ids, ReplicaID(i+1))
	}
	g := newGroup(t, seed, ids...)
	g.delay = true
	return &chaos{
		group: g, t: t, rand: r, copy: newSingleCopy(t),
		lost: map[ReplicaID]bool{}, paused: map[ReplicaID]bool{}, nextID: ReplicaID(n + 1),
		checked: map[ReplicaID]Position{}, proposed: map[ReplicaID]map[Position]string{},
	}
}

func (c *chaos) step() {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	n := c.rand.IntN(total)
	for _, a := range actions {
		if n -= a.weight; n < 0 {
			a.do(c)
			break
		}
	}
	for _, id := range c.running() {
		c.take(id)
	}
}

func (c *chaos) running() []ReplicaID {
	var ids []ReplicaID
	for _, id := range c.order {
		if c.replicas[id].up && !c.paused[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// pick draws one of the running replicas, or None.
func (c *chaos) pick() ReplicaID {
	return c.oneOf(c.running())
}

func (c *chaos) oneOf(ids []ReplicaID) ReplicaID {
	if len(ids) == 0 {
		return None
	}
	return ids[c.rand.IntN(len(ids))]
}

// chance is true once in n times.
func (c *chaos) chance(n int) bool { return c.rand.IntN(n) == 0 }

// take collects what a replica wants done and checks it. Its writes stay
// outstanding.
func (c *chaos) take(id ReplicaID) {
	r := c.replicas[id]
	c.copy.checkNode(r.node)
	c.checkCommit(r.node)
	for r.node.HasReady() {
		rd := r.node.Ready()
		disk, _ := r.store.Load()
		for _, m := range rd.Messages {
			c.copy.checkPromise(m, disk)
		}
		c.queue = append(c.queue, rd.Messages...)
		c.apply(id, rd)
		if rd.MustSync {
			r.pending = append(r.pending, rd)
		}
	}
	c.copy.checkNode(r.node)
}

// checkCommit checks that what a leader takes for committed is on the disks of a
// quorum, those that were lost since included.
func (c *chaos) checkCommit(n *Node) {
	at := Position{Term: n.term, Index: n.log.commit}
	if n.role != Leader || !n.log.matches(at.Index, at.Term) || c.checked[n.cfg.ID] == at {
		return
	}
	c.checked[n.cfg.ID] = at
	voters, have := 0, 0
	for _, m := range n.members.current() {
		if m.Learner {
			continue
		}
		voters++
		saved := c.replicas[m.Replica].store.saved
		l := newEntryLog(saved)
		if saved.Snapshot.Index >= at.Index || l.matches(at.Index, at.Term) {
			have++
		}
	}
	assert.Assert(c.t, 2*have > voters, "leader %d commits %+v, which is on %d disks of %d", n.cfg.ID, at, have, voters)
}

func (c *chaos) apply(id ReplicaID, rd Ready) {
	r := c.replicas[id]
	if rd.Snapshot != nil {
		c.copy.installed(*rd.Snapshot)
	}
	r.take(rd)
	for _, e := range rd.Committed {
		c.copy.applied(id, e)
		at := Position{Term: e.Term, Index: e.Index}
		if data, ok := c.proposed[id][at]; ok {
			c.copy.confirmed[data] = at
		}
	}
	for _, s := range rd.ReadStates {
		c.copy.checkRead(s)
	}
}

// work lets a few rounds pass without further faults.
func (c *chaos) work() {
	for range 1 + c.rand.IntN(4) {
		for _, id := range c.running() {
			c.replicas[id].node.Tick()
		}
		for range 3 {
			c.settle()
		}
	}
}

// settle saves most writes and delivers what is queued.
func (c *chaos) settle() {
	for _, id := range c.running() {
		c.take(id)
		if !c.chance(4) {
			c.save(id)
		}
		c.take(id)
	}
	batch := c.queue
	c.queue = nil
	for _, m := range batch {
		c.pass(m)
	}
}

// pass delivers a message, or keeps it if the receiver is paused.
func (c *chaos) pass(m Message) {
	if c.paused[m.To] {
		c.queue = append(c.queue, m)
		return
	}
	c.group.step(m)
}

// recover ends all faults and checks that the group works again and agrees.
func (c *chaos) recover() {
	clear(c.cut)
	clear(c.paused)
	for _, id := range c.order {
		if !c.replicas[id].up && !c.lost[id] {
			c.start(id)
		}
	}
	for range 40 * defaultElectionTicks {
		c.work()
		if c.leader() != None && c.agreed() {
			return
		}
	}
	for _, id := range c.order {
		if c.replicas[id].up {
			c.t.Logf("%+v", c.replicas[id].node.Status())
		}
	}
	c.t.Fatalf("the group doesn't work again")
}

// agreed reports whether the leader can commit, and all members have applied
// all.
func (c *chaos) agreed() bool {
	l := c.replicas[c.leader()].node
	for _, m := range l.members.current() {
		if c.lost[m.Replica] {
			continue
		}
		n := c.replicas[m.Replica].node
		if n.term != l.term || n.log.applied != l.log.lastIndex() {
			return false
		}
	}
	return l.committedInTerm()
}
