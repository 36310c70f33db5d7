package replog

import (
	"encoding/binary"
	"fmt"
	"slices"

	"gotest.tools/v3/assert"
)

// action is one thing that may happen; weight says how often.
type action struct {
	weight int
	do     func(*chaos)
}

var actions = []action{
	{50, (*chaos).work},
	{40, (*chaos).deliverOne},
	{10, (*chaos).tickOne},
	{20, (*chaos).saveOne},
	{12, (*chaos).propose},
	{6, (*chaos).read},
	{4, (*chaos).dropOne},
	{4, (*chaos).doubleOne},
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

func (c *chaos) draw() int {
	if len(c.queue) == 0 {
		return -1
	}
	return c.rand.IntN(len(c.queue))
}

func (c *chaos) deliverOne() {
	if i := c.draw(); i >= 0 {
		m := c.queue[i]
		c.queue = slices.Delete(c.queue, i, i+1)
		c.pass(m)
	}
}

func (c *chaos) dropOne() {
	if i := c.draw(); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

func (c *chaos) doubleOne() {
	if i := c.draw(); i >= 0 {
		c.pass(c.queue[i])
	}
}

func (c *chaos) tickOne() {
	if id := c.pick(); id != None {
		for range 1 + c.rand.IntN(15) {
			c.replicas[id].node.Tick()
		}
	}
}

func (c *chaos) saveOne() {
	if id := c.pick(); id != None {
		c.save(id)
	}
}

// pickLeader draws one of the replicas that believe they lead, or None.
func (c *chaos) pickLeader() ReplicaID {
	var ids []ReplicaID
	for _, id := range c.running() {
		if c.replicas[id].node.role == Leader {
			ids = append(ids, id)
		}
	}
	return c.oneOf(ids)
}

func (c *chaos) propose() {
	id := c.pickLeader()
	if id == None {
		return
	}
	for range 1 + c.rand.IntN(4) {
		c.nextNo++
		data := fmt.Sprint("p", c.nextNo)
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
	id := c.pickLeader()
	if id == None {
		return
	}
	c.nextNo++
	c.copy.floors[c.nextNo] = c.copy.lastIndex()
	assert.NilError(c.t, c.replicas[id].node.ReadIndex(c.nextNo))
}

func (c *chaos) cutLink() {
	from, to := c.pick(), c.pick()
	c.cut[[2]ReplicaID{from, to}] = true
}

func (c *chaos) isolateOne() { c.isolate(c.pick(), true) }

func (c *chaos) healLinks() { clear(c.cut) }

// crashOne stops a replica. Its outstanding write is lost, or was made and not
// reported.
func (c *chaos) crashOne() {
	id := c.pick()
	if id == None {
		return
	}
	r := c.replicas[id]
	if c.chance(2) {
		for _, rd := range r.pending {
			assert.NilError(c.t, r.store.Save(rd))
		}
	}
	r.up = false
	r.pending = nil
}

func (c *chaos) startOne() {
	for _, id := range c.order {
		if !c.replicas[id].up && !c.lost[id] && c.chance(2) {
			c.start(id)
		}
	}
}

func (c *chaos) start(id ReplicaID) {
	c.restart(id)
	c.copy.installed(c.replicas[id].start)
	delete(c.proposed, id)
}

func (c *chaos) pauseOne() {
	if id := c.pick(); id != None && len(c.paused) == 0 {
		c.paused[id] = true
		return
	}
	clear(c.paused)
}

func (c *chaos) compactOne() {
	id := c.pick()
	if id == None {
		return
	}
	n := c.replicas[id].node
	if n.log.applied <= n.log.snapshot.Index {
		return
	}
	index := n.log.snapshot.Index + 1 + c.rand.Uint64N(n.log.applied-n.log.snapshot.Index)
	data := binary.LittleEndian.AppendUint64(nil, c.copy.stateAt(index))
	s, err := n.Compact(index, data)
	assert.NilError(c.t, err)
	assert.NilError(c.t, c.replicas[id].store.Compact(s))
}

// loseDisk destroys a replica for good and starts an empty one under a new
// identity, unless the group could no longer form a quorum.
func (c *chaos) loseDisk() {
	id := c.pick()
	if id == None || !c.survives(id) {
		return
	}
	c.lost[id] = true
	c.replicas[id].up = false
	c.replicas[id].pending = nil
	c.add(c.nextID, PersistentState{})
	c.nextID++
}

// survives reports whether every membership that may be in force keeps a quorum
// of disks without one more replica.
func (c *chaos) survives(id ReplicaID) bool {
	for _, other := range c.order {
		for _, at := range c.replicas[other].node.members {
			if len(at.members) == 0 {
				continue
			}
			if !at.members.hasQuorum(func(v ReplicaID) bool { return v != id && !c.lost[v] }) {
				return false
			}
		}
	}
	return true
}

// changeMembers proposes a random change, mostly one that repairs the group.
func (c *chaos) changeMembers() {
	id := c.pickLeader()
	if id == None {
		return
	}
	n := c.replicas[id].node
	target := c.oneOf(c.order)
	member, ok := n.members.current().Find(target)
	change := Change{Kind: Promote, Replica: target}
	switch {
	case c.lost[target]:
		change.Kind = Remove
	case !ok:
		change.Kind = AddLearner
	case !member.Learner && c.chance(4):
		if c.removable(n, target) {
			change.Kind = Remove
		}
	case !member.Learner:
		change = Change{Kind: SetAddress, Replica: target, Address: "moved"}
	}
	_, _ = n.ProposeChange(change)
}

// removable keeps the group at three voters with a disk or more; smaller ones
// leave nothing to fail.
func (c *chaos) removable(n *Node, target ReplicaID) bool {
	left := 0
	for _, v := range n.members.current().Voters() {
		if v != target && !c.lost[v] {
			left++
		}
	}
	return left >= 3
}

func (c *chaos) transfer() {
	if id := c.pickLeader(); id != None {
		_ = c.replicas[id].node.TransferLeadership(c.pick())
	}
}
