package replog

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Messages are lost, delayed, duplicated and reordered, links fail in one
// direction, processes pause, run at different speeds and crash with unsynced
// writes, disks are lost and replaced, and operators change the membership at
// the same time. Committed entries must never disappear or change their order,
// and the group has to recover once the faults are over.
func TestGroupUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(100, 2500).Draw(rt, "steps")
		runChaos(rt, seed, steps)
	})
}

// runChaos runs the random steps that the seed determines and then lets the
// group recover.
func runChaos(t *rapid.T, seed uint64, steps int) {
	c := newChaos(t, seed)
	for range steps {
		c.step()
	}
	c.healAndCheck()
	c.reference.checkOutcome()
}

// chaos injects random faults into a group and checks the invariants of the
// protocol after each step.
type chaos struct {
	*group
	t          *rapid.T
	rand       *rand.Rand
	reference  *referenceLog
	lostDisk   map[ReplicaID]bool
	paused     map[ReplicaID]bool
	nextID     ReplicaID
	nextNumber uint64
	// checked holds the last commit position of each leader that was checked.
	checked map[ReplicaID]Position
	// proposed holds the proposals without a known outcome, by proposer.
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
		group: g, t: t, rand: r, reference: newReferenceLog(t),
		lostDisk: map[ReplicaID]bool{}, paused: map[ReplicaID]bool{}, nextID: ReplicaID(n + 1),
		checked: map[ReplicaID]Position{}, proposed: map[ReplicaID]map[Position]string{},
	}
}

// step performs one random action and processes the resulting work.
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
		c.processReady(id)
	}
}

// running returns the replicas that are neither stopped nor paused.
func (c *chaos) running() []ReplicaID {
	var ids []ReplicaID
	for _, id := range c.order {
		if c.replicas[id].running && !c.paused[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// randomRunning returns a random running replica, or None.
func (c *chaos) randomRunning() ReplicaID {
	return c.randomOf(c.running())
}

// randomOf returns a random element of ids, or None.
func (c *chaos) randomOf(ids []ReplicaID) ReplicaID {
	if len(ids) == 0 {
		return None
	}
	return ids[c.rand.IntN(len(ids))]
}

// oneIn returns true with a probability of one in n.
func (c *chaos) oneIn(n int) bool { return c.rand.IntN(n) == 0 }

// processReady takes the pending work of a replica and checks it. Its writes
// stay outstanding.
func (c *chaos) processReady(id ReplicaID) {
	r := c.replicas[id]
	c.reference.checkNode(r.node)
	c.checkCommit(r.node)
	for r.node.HasReady() {
		rd := r.node.Ready()
		disk, _ := r.store.Load()
		for _, m := range rd.Messages {
			c.reference.checkDurable(m, disk)
		}
		c.queue = append(c.queue, rd.Messages...)
		c.apply(id, rd)
		if rd.MustSync {
			r.pending = append(r.pending, rd)
		}
	}
	c.reference.checkNode(r.node)
}

// checkCommit checks that the entries that a leader regards as committed are on
// the disks of a quorum, including disks that were lost since.
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
	assert.Assert(c.t, 2*have > voters, "leader %d commits %+v, which is on %d of %d disks", n.cfg.ID, at, have, voters)
}

// apply checks the work that a replica hands to its application.
func (c *chaos) apply(id ReplicaID, rd Ready) {
	r := c.replicas[id]
	if rd.Snapshot != nil {
		c.reference.checkSnapshot(*rd.Snapshot)
	}
	r.recordReady(rd)
	for _, e := range rd.Committed {
		c.reference.checkApplied(id, e)
		at := Position{Term: e.Term, Index: e.Index}
		if data, ok := c.proposed[id][at]; ok {
			c.reference.confirmed[data] = at
		}
	}
	for _, s := range rd.ReadStates {
		c.reference.checkRead(s)
	}
}

// runRounds runs a few rounds of ticks and deliveries without further faults.
func (c *chaos) runRounds() {
	for range 1 + c.rand.IntN(4) {
		for _, id := range c.running() {
			c.replicas[id].node.Tick()
		}
		for range 3 {
			c.runRound()
		}
	}
}

// runRound completes most outstanding writes and delivers the queued messages.
func (c *chaos) runRound() {
	for _, id := range c.running() {
		c.processReady(id)
		if !c.oneIn(4) {
			c.save(id)
		}
		c.processReady(id)
	}
	batch := c.queue
	c.queue = nil
	for _, m := range batch {
		c.deliverOrHold(m)
	}
}

// deliverOrHold delivers a message, or keeps it in the queue if the receiver is
// paused.
func (c *chaos) deliverOrHold(m Message) {
	if c.paused[m.To] {
		c.queue = append(c.queue, m)
		return
	}
	c.group.step(m)
}

// healAndCheck ends all faults and checks that the group recovers and
// converges.
func (c *chaos) healAndCheck() {
	clear(c.blocked)
	clear(c.paused)
	for _, id := range c.order {
		if !c.replicas[id].running && !c.lostDisk[id] {
			c.start(id)
		}
	}
	for range 40 * defaultElectionTicks {
		c.runRounds()
		if c.leader() != None && c.hasConverged() {
			return
		}
	}
	for _, id := range c.order {
		if c.replicas[id].running {
			c.t.Logf("%+v", c.replicas[id].node.Status())
		}
	}
	c.t.Fatalf("the group did not recover")
}

// hasConverged reports whether the leader can commit and all members have
// applied its whole log.
func (c *chaos) hasConverged() bool {
	l := c.replicas[c.leader()].node
	for _, m := range l.members.current() {
		if c.lostDisk[m.Replica] {
			continue
		}
		n := c.replicas[m.Replica].node
		if n.term != l.term || n.log.applied != l.log.lastIndex() {
			return false
		}
	}
	return l.hasCommittedInTerm()
}
