package replog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// group runs replicas in one process. Messages stay in queue until they are
// delivered.
type group struct {
	t        assert.TestingT
	replicas map[ReplicaID]*replica
	order    []ReplicaID
	queue    []Message
	// blocked drops the messages from the first replica to the second.
	blocked map[[2]ReplicaID]bool
	// delay keeps writes outstanding until save is called.
	delay  bool
	seed   uint64
	config func(id ReplicaID, seed uint64) Config
}

// replica is a node with its storage and the work that it has handed out.
type replica struct {
	node    *Node
	store   *MemoryStorage
	pending []Ready
	applied []Entry
	start   Snapshot
	reads   []ReadState
	soft    SoftState
	running bool
	// diskStalled keeps the writes of this replica outstanding.
	diskStalled bool
}

func testConfig(id ReplicaID, seed uint64) Config {
	return Config{ID: id, Seed: seed, TrailingEntries: 3, MaxBatchBytes: 200, MaxInflightMessages: 4}
}

func newGroup(t assert.TestingT, seed uint64, ids ...ReplicaID) *group {
	return newGroupOf(t, testConfig, seed, ids...)
}

func newGroupOf(t assert.TestingT, config func(ReplicaID, uint64) Config, seed uint64, ids ...ReplicaID) *group {
	g := &group{t: t, replicas: map[ReplicaID]*replica{}, blocked: map[[2]ReplicaID]bool{}, seed: seed, config: config}
	var ms Members
	for _, id := range ids {
		ms = append(ms, Member{Replica: id})
	}
	for _, id := range ids {
		g.add(id, BootstrapGroupState(ms, 1, nil))
	}
	return g
}

// add starts a replica from a persistent state.
func (g *group) add(id ReplicaID, s PersistentState) {
	g.replicas[id] = &replica{store: NewMemoryStorage(s)}
	g.order = append(g.order, id)
	g.restart(id)
}

// restart starts a replica from its storage; unsaved writes are lost.
func (g *group) restart(id ReplicaID) {
	r := g.replicas[id]
	s, err := r.store.Load()
	assert.NilError(g.t, err)
	r.node, err = NewNode(g.config(id, g.seed), s)
	assert.NilError(g.t, err)
	r.pending, r.reads, r.applied = nil, nil, nil
	r.start = s.Snapshot
	r.soft = SoftState{}
	r.running = true
}

// collect processes all Readys of a replica, and saves them unless writes are
// delayed.
func (g *group) collect(id ReplicaID) {
	r := g.replicas[id]
	for r.running && r.node.HasReady() {
		rd := r.node.Ready()
		g.queue = append(g.queue, rd.Messages...)
		r.recordReady(rd)
		if rd.MustSync {
			r.pending = append(r.pending, rd)
		}
		if !g.delay && !r.diskStalled {
			g.save(id)
		}
	}
}

// recordReady applies a Ready to the recorded state of the replica.
func (r *replica) recordReady(rd Ready) {
	if rd.Snapshot != nil {
		r.start = *rd.Snapshot
		r.applied = nil
	}
	if rd.SoftState != nil {
		r.soft = *rd.SoftState
	}
	r.applied = append(r.applied, rd.Committed...)
	r.reads = append(r.reads, rd.ReadStates...)
}

// save completes the outstanding writes of a replica.
func (g *group) save(id ReplicaID) {
	r := g.replicas[id]
	for _, rd := range r.pending {
		assert.NilError(g.t, r.store.Save(rd))
		r.node.Advance(rd)
	}
	r.pending = nil
}

// deliver delivers messages until there are none left.
func (g *group) deliver() {
	for {
		for _, id := range g.order {
			g.collect(id)
		}
		if len(g.queue) == 0 {
			return
		}
		m := g.queue[0]
		g.queue = g.queue[1:]
		g.step(m)
	}
}

func (g *group) step(m Message) {
	r := g.replicas[m.To]
	if r == nil || !r.running || g.blocked[[2]ReplicaID{m.From, m.To}] {
		return
	}
	assert.NilError(g.t, r.node.Step(m))
}

// tick advances all replicas by n ticks and delivers messages after each.
func (g *group) tick(n int) {
	for range n {
		for _, id := range g.order {
			if g.replicas[id].running {
				g.replicas[id].node.Tick()
			}
		}
		g.deliver()
	}
}

// isolate blocks all links of a replica in both directions, or unblocks them.
func (g *group) isolate(id ReplicaID, cut bool) {
	for _, other := range g.order {
		g.blocked[[2]ReplicaID{id, other}] = cut
		g.blocked[[2]ReplicaID{other, id}] = cut
	}
}

// leader returns the running leader of the highest term, or None.
func (g *group) leader() ReplicaID {
	best := None
	for _, id := range g.order {
		r := g.replicas[id]
		if r.running && r.node.role == Leader && (best == None || r.node.term > g.replicas[best].node.term) {
			best = id
		}
	}
	return best
}

// elect ticks until there is a leader.
func (g *group) elect() *replica {
	for range 100 {
		g.tick(1)
		if id := g.leader(); id != None {
			return g.replicas[id]
		}
	}
	g.t.Log("no leader after 100 ticks")
	g.t.FailNow()
	return nil
}

// appliedData returns the data of the applied commands.
func (r *replica) appliedData() []string {
	var out []string
	for _, e := range r.applied {
		if e.Kind == EntryCommand {
			out = append(out, string(e.Data))
		}
	}
	return out
}

func TestElectsAndReplicates(t *testing.T) {
	g := newGroup(t, 1, 1, 2, 3)
	l := g.elect()
	for _, s := range []string{"a", "b", "c"} {
		_, err := l.node.Propose([]byte(s))
		assert.NilError(t, err)
	}
	assert.NilError(t, l.node.ReadIndex(7))
	g.deliver()
	for _, id := range g.order {
		assert.DeepEqual(t, g.replicas[id].appliedData(), []string{"a", "b", "c"})
	}
	assert.Equal(t, len(l.reads), 1)
	assert.Equal(t, l.reads[0].RequestID, uint64(7))
}

// The leader is isolated without any error on its connections. If it stayed
// leader, its clients would wait forever and an operator would see two leaders.
// It has to step down by its own ticks, and the other replicas elect a new
// leader.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	g := newGroup(t, 1, 1, 2, 3)
	old := g.elect()
	assert.NilError(t, old.node.ReadIndex(1))
	g.deliver()
	g.isolate(old.node.cfg.ID, true)
	assert.NilError(t, old.node.ReadIndex(2))
	g.tick(3 * defaultElectionTicks)
	assert.Equal(t, old.node.Status().Role == Leader, false)
	assert.Equal(t, old.reads[len(old.reads)-1], ReadState{RequestID: 2, Aborted: true})
	assert.Assert(t, g.leader() != None)
	g.isolate(old.node.cfg.ID, false)
	g.tick(2)
	assert.Equal(t, old.node.Status().Leader, g.leader())
}
