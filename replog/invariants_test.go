package replog

import (
	"encoding/binary"
	"hash/fnv"

	"gotest.tools/v3/assert"
)

// singleCopy is the naive version of the replicated log: one list in one place.
// Every replica has to agree with it at every moment.
type singleCopy struct {
	t assert.TestingT
	// entries are the committed entries; the first one has the index after the
	// bootstrap snapshot's.
	entries []Entry
	// digests[i] stands for the state after entries[:i].
	digests []uint64
	// leaders is the leader of each term.
	leaders map[uint64]ReplicaID
	// seen holds each entry ever found in a log, by place and term, with the term
	// of the one before.
	seen map[Position]seenEntry
	// floors is the last committed index when a read was asked for.
	floors map[uint64]uint64
	// confirmed are the proposals that came back to their proposer.
	confirmed map[string]Position
}

type seenEntry struct {
	before uint64
	kind   EntryKind
	data   string
}

const bootstrapIndex = 1

func newSingleCopy(t assert.TestingT) *singleCopy {
	return &singleCopy{
		t: t, digests: []uint64{0}, leaders: map[uint64]ReplicaID{},
		seen: map[Position]seenEntry{}, floors: map[uint64]uint64{}, confirmed: map[string]Position{},
	}
}

func (c *singleCopy) lastIndex() uint64 { return bootstrapIndex + uint64(len(c.entries)) }

// applied checks an entry that a replica applies against the single copy.
func (c *singleCopy) applied(id ReplicaID, e Entry) {
	if e.Index == c.lastIndex()+1 {
		c.entries = append(c.entries, e)
		c.digests = append(c.digests, digest(c.digests[len(c.digests)-1], e))
		return
	}
	assert.Assert(c.t, e.Index <= c.lastIndex(), "replica %d skips to %d", id, e.Index)
	have := c.entries[e.Index-bootstrapIndex-1]
	assert.Equal(c.t, e.Term, have.Term, "replica %d applies another entry at %d", id, e.Index)
	assert.Equal(c.t, string(e.Data), string(have.Data))
}

// installed checks a snapshot that a replica takes over.
func (c *singleCopy) installed(s Snapshot) {
	if s.Data != nil {
		assert.Equal(c.t, binary.LittleEndian.Uint64(s.Data), c.stateAt(s.Index))
	}
}

// stateAt stands for the state after the entry at index.
func (c *singleCopy) stateAt(index uint64) uint64 { return c.digests[index-bootstrapIndex] }

func digest(before uint64, e Entry) uint64 {
	h := fnv.New64a()
	b := binary.LittleEndian.AppendUint64(nil, before)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	h.Write(append(b, e.Data...))
	return h.Sum64()
}

// checkNode checks what must hold of a replica at any time.
func (c *singleCopy) checkNode(n *Node) {
	c.checkLog(n)
	if n.role != Leader {
		return
	}
	known, ok := c.leaders[n.term]
	if ok {
		assert.Equal(c.t, known, n.cfg.ID, "two leaders in term %d", n.term)
		return
	}
	c.leaders[n.term] = n.cfg.ID
	c.checkComplete(n)
}

// checkLog checks that entries with the same place and term are the same and
// follow on the same.
func (c *singleCopy) checkLog(n *Node) {
	before := n.log.base.Term
	for _, e := range n.log.entries {
		at := Position{Term: e.Term, Index: e.Index}
		is := seenEntry{before: before, kind: e.Kind, data: string(e.Data)}
		was, ok := c.seen[at]
		if ok && was != is {
			assert.Assert(c.t, false, "replica %d has another entry at %+v", n.cfg.ID, at)
		}
		c.seen[at] = is
		before = e.Term
	}
}

// checkComplete checks that a new leader has all committed entries.
func (c *singleCopy) checkComplete(n *Node) {
	for _, e := range c.entries {
		if e.Index > n.log.base.Index && !n.log.matches(e.Index, e.Term) {
			assert.Assert(c.t, false, "leader %d of term %d lacks committed entry %d", n.cfg.ID, n.term, e.Index)
		}
	}
}

// checkPromise checks that what a message promises is on the sender's disk.
func (c *singleCopy) checkPromise(m Message, disk PersistentState) {
	last := disk.Snapshot.Index + uint64(len(disk.Entries))
	switch {
	case m.Type == MessageAppendResponse && !m.Reject:
		assert.Assert(c.t, m.Index <= last, "%d acknowledges %d and has %d", m.From, m.Index, last)
	case m.Type == MessageVote:
		assert.Assert(c.t, disk.HardState.Term > m.Term ||
			disk.HardState.Term == m.Term && disk.HardState.Vote == m.From && last >= m.Index)
	case m.Type == MessageVoteResponse && !m.Reject:
		assert.Assert(c.t, disk.HardState.Term > m.Term ||
			disk.HardState.Term == m.Term && disk.HardState.Vote == m.To)
	}
}

// checkRead checks that a read sees all that was committed when it was asked
// for.
func (c *singleCopy) checkRead(r ReadState) {
	floor, ok := c.floors[r.RequestID]
	assert.Assert(c.t, ok, "answer to read %d, which nobody asked for", r.RequestID)
	delete(c.floors, r.RequestID)
	assert.Assert(c.t, r.Aborted || r.Index >= floor, "read %d sees %d and not %d", r.RequestID, r.Index, floor)
}

// checkOutcome checks that each confirmed proposal is in the log once, and that
// none is there twice.
func (c *singleCopy) checkOutcome() {
	count := map[string]int{}
	for _, e := range c.entries {
		if e.Kind == EntryCommand {
			count[string(e.Data)]++
		}
	}
	for data, n := range count {
		assert.Equal(c.t, n, 1, "%s is in the log %d times", data, n)
	}
	for data := range c.confirmed {
		assert.Equal(c.t, count[data], 1, "confirmed proposal %s was lost", data)
	}
}
