package replog

import (
	"encoding/binary"
	"fmt"
	"slices"

	"gotest.tools/v3/assert"
)

// action is a random action; weight is its relative frequency.
type action struct {
	weight int
	do     func(*chaos)
}

var actions = []action{
	{50, (*chaos).runRounds},
	{40, (*chaos).deliverOne},
	{10, (*chaos).tickOne},
	{20, (*chaos).saveOne},
	{12, (*chaos).propose},
	{6, (*chaos).read},
	{4, (*chaos).dropOne},
	{4, (*chaos).duplicateOne},
	{3, (*chaos).cutLink},
	{6, (*chaos).healLinks},
	{2, (*chaos).isolateOne},
	{3, (*chaos).crashOne},
	{8, (*chaos).startOne},
	{3, (*chaos).pauseOne},
	{3, (*chaos).compactOne},
	{1, (*chaos).loseDisk},
	{8, (*chaos).changeMembers},
	{2, (*chaos).transfer},
}

// randomMessage returns the position of a random message in the queue, or -1.
func (c *chaos) randomMessage() int {
	if len(c.queue) == 0 {
		return -1
	}
	return c.rand.IntN(len(c.queue))
}

func (c *chaos) deliverOne() {
	if i := c.randomMessage(); i >= 0 {
		m := c.queue[i]
		c.queue = slices.Delete(c.queue, i, i+1)
		c.deliverOrHold(m)
	}
}

func (c *chaos) dropOne() {
	if i := c.randomMessage(); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

func (c *chaos) duplicateOne() {
	if i := c.randomMessage(); i >= 0 {
		c.deliverOrHold(c.queue[i])
	}
}

func (c *chaos) tickOne() {
	if id := c.randomRunning(); id != None {
		for range 1 + c.rand.IntN(15) {
			c.replicas[id].node.Tick()
		}
	}
}

func (c *chaos) saveOne() {
	if id := c.randomRunning(); id != None {
		c.save(id)
	}
}

// randomLeader returns a random replica among those that regard themselves as
// leader, or None.
func (c *chaos) randomLeader() ReplicaID {
	var ids []ReplicaID
	for _, id := range c.running() {
		if c.replicas[id].node.role == Leader {
			ids = append(ids, id)
		}
	}
	return c.randomOf(ids)
}

func (c *chaos) propose() {
	id := c.randomLeader()
	if id == None {
		return
	}
	for range 1 + c.rand.IntN(4) {
		c.nextNumber++
		data := fmt.Sprint("p", c.nextNumber)
		at, err := c.replicas[id].node.Propose([]byte(data))
		if err != nil {
			return
		}
		if c.proposed[id] == nil {
			c.proposed[id] = map[Position]string{}
		}
		c.proposed[id][at] = data
	}
}

func (c *chaos) read() {
	id := c.randomLeader()
	if id == None {
		return
	}
	c.nextNumber++
	c.reference.readFloors[c.nextNumber] = c.reference.lastIndex()
	assert.NilError(c.t, c.replicas[id].node.ReadIndex(c.nextNumber))
}

func (c *chaos) cutLink() {
	from, to := c.randomRunning(), c.randomRunning()
	c.blocked[[2]ReplicaID{from, to}] = true
}

func (c *chaos) isolateOne() { c.isolate(c.randomRunning(), true) }

func (c *chaos) healLinks() { clear(c.blocked) }

// crashOne stops a replica. Its outstanding write is either lost, or completed
// but not reported.
func (c *chaos) crashOne() {
	id := c.randomRunning()
	if id == None {
		return
	}
	r := c.replicas[id]
	if c.oneIn(2) {
		for _, rd := range r.pending {
			assert.NilError(c.t, r.store.Save(rd))
		}
	}
	r.running = false
	r.pending = nil
}

func (c *chaos) startOne() {
	for _, id := range c.order {
		if !c.replicas[id].running && !c.lostDisk[id] && c.oneIn(2) {
			c.start(id)
		}
	}
}

func (c *chaos) start(id ReplicaID) {
	c.restart(id)
	c.reference.checkSnapshot(c.replicas[id].start)
	delete(c.proposed, id)
}

func (c *chaos) pauseOne() {
	if id := c.randomRunning(); id != None && len(c.paused) == 0 {
		c.paused[id] = true
		return
	}
	clear(c.paused)
}

func (c *chaos) compactOne() {
	id := c.randomRunning()
	if id == None {
		return
	}
	n := c.replicas[id].node
	if n.log.applied <= n.log.snapshot.Index {
		return
	}
	index := n.log.snapshot.Index + 1 + c.rand.Uint64N(n.log.applied-n.log.snapshot.Index)
	data := binary.LittleEndian.AppendUint64(nil, c.reference.digestAt(index))
	s, err := n.Compact(index, data)
	assert.NilError(c.t, err)
	assert.NilError(c.t, c.replicas[id].store.Compact(s))
}

// loseDisk destroys a replica permanently and starts an empty one under a new
// ReplicaID, unless the group could no longer form a quorum.
func (c *chaos) loseDisk() {
	id := c.randomRunning()
	if id == None || !c.keepsQuorumWithout(id) {
		return
	}
	c.lostDisk[id] = true
	c.replicas[id].running = false
	c.replicas[id].pending = nil
	c.add(c.nextID, PersistentState{})
	c.nextID++
}

// keepsQuorumWithout reports whether every membership that may be in force
// keeps a quorum of disks if one more replica is lost.
func (c *chaos) keepsQuorumWithout(id ReplicaID) bool {
	for _, other := range c.order {
		for _, at := range c.replicas[other].node.members {
			if len(at.members) == 0 {
				continue
			}
			if !at.members.hasQuorum(func(v ReplicaID) bool { return v != id && !c.lostDisk[v] }) {
				return false
			}
		}
	}
	return true
}

// changeMembers proposes a random membership change, usually one that repairs
// the group.
func (c *chaos) changeMembers() {
	id := c.randomLeader()
	if id == None {
		return
	}
	n := c.replicas[id].node
	target := c.randomOf(c.order)
	member, ok := n.members.current().Find(target)
	change := Change{Kind: Promote, Replica: target}
	switch {
	case c.lostDisk[target]:
		change.Kind = Remove
	case !ok:
		change.Kind = AddLearner
	case !member.Learner && c.oneIn(4):
		if c.canRemove(n, target) {
			change.Kind = Remove
		}
	case !member.Learner:
		change = Change{Kind: SetAddress, Replica: target, Address: "moved"}
	}
	_, _ = n.ProposeChange(change)
}

// canRemove reports whether at least three voters with a disk remain without
// the target. Smaller groups tolerate no failure.
func (c *chaos) canRemove(n *Node, target ReplicaID) bool {
	left := 0
	for _, v := range n.members.current().Voters() {
		if v != target && !c.lostDisk[v] {
			left++
		}
	}
	return left >= 3
}

func (c *chaos) transfer() {
	if id := c.randomLeader(); id != None {
		_ = c.replicas[id].node.TransferLeadership(c.randomRunning())
	}
}
