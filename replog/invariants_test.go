package replog

import (
	"encoding/binary"
	"hash/fnv"

	"gotest.tools/v3/assert"
)

// referenceLog is the reference model of the replicated log: a single list in
// one place. Every replica has to agree with it at all times.
type referenceLog struct {
	t assert.TestingT
	// entries are the committed entries; the first one follows the bootstrap
	// snapshot.
	entries []Entry
	// digests[i] is a digest of the state after entries[:i].
	digests []uint64
	// leaders holds the leader of each term.
	leaders map[uint64]ReplicaID
	// observed holds every entry that was ever found in a log, by index and
	// term, together with the term of the previous entry.
	observed map[Position]observedEntry
	// readFloors holds the last committed index at the time of each read
	// request.
	readFloors map[uint64]uint64
	// confirmed holds the proposals whose proposer has seen them committed.
	confirmed map[string]Position
}

// observedEntry is the content of an entry and the term of the one before it.
type observedEntry struct {
	prevTerm uint64
	kind     EntryKind
	data     string
}

const bootstrapIndex = 1

func newReferenceLog(t assert.TestingT) *referenceLog {
	return &referenceLog{
		t: t, digests: []uint64{0}, leaders: map[uint64]ReplicaID{},
		observed: map[Position]observedEntry{}, readFloors: map[uint64]uint64{}, confirmed: map[string]Position{},
	}
}

func (c *referenceLog) lastIndex() uint64 { return bootstrapIndex + uint64(len(c.entries)) }

// checkApplied checks an entry that a replica applies against the reference
// log.
func (c *referenceLog) checkApplied(id ReplicaID, e Entry) {
	if e.Index == c.lastIndex()+1 {
		c.entries = append(c.entries, e)
		c.digests = append(c.digests, digest(c.digests[len(c.digests)-1], e))
		return
	}
	assert.Assert(c.t, e.Index <= c.lastIndex(), "replica %d skips to entry %d", id, e.Index)
	have := c.entries[e.Index-bootstrapIndex-1]
	assert.Equal(c.t, e.Term, have.Term, "replica %d applies another entry at %d", id, e.Index)
	assert.Equal(c.t, string(e.Data), string(have.Data))
}

// checkSnapshot checks the state in a snapshot that a replica restores.
func (c *referenceLog) checkSnapshot(s Snapshot) {
	if s.Data != nil {
		assert.Equal(c.t, binary.LittleEndian.Uint64(s.Data), c.digestAt(s.Index))
	}
}

// digestAt returns the digest of the state after the entry at index.
func (c *referenceLog) digestAt(index uint64) uint64 { return c.digests[index-bootstrapIndex] }

func digest(before uint64, e Entry) uint64 {
	h := fnv.New64a()
	b := binary.LittleEndian.AppendUint64(nil, before)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	h.Write(append(b, e.Data...))
	return h.Sum64()
}

// checkNode checks the invariants that hold for a replica at all times.
func (c *referenceLog) checkNode(n *Node) {
	c.checkLog(n)
	if n.role != Leader {
		return
	}
	leader, ok := c.leaders[n.term]
	if ok {
		assert.Equal(c.t, leader, n.cfg.ID, "two leaders in term %d", n.term)
		return
	}
	c.leaders[n.term] = n.cfg.ID
	c.checkComplete(n)
}

// checkLog checks the log matching property: entries with the same index and
// term are equal and follow equal entries.
func (c *referenceLog) checkLog(n *Node) {
	prevTerm := n.log.base.Term
	for _, e := range n.log.entries {
		at := Position{Term: e.Term, Index: e.Index}
		entry := observedEntry{prevTerm: prevTerm, kind: e.Kind, data: string(e.Data)}
		previous, ok := c.observed[at]
		if ok && previous != entry {
			assert.Assert(c.t, false, "replica %d has another entry at %+v", n.cfg.ID, at)
		}
		c.observed[at] = entry
		prevTerm = e.Term
	}
}

// checkComplete checks leader completeness: a new leader has all committed
// entries.
func (c *referenceLog) checkComplete(n *Node) {
	for _, e := range c.entries {
		if e.Index > n.log.base.Index && !n.log.matches(e.Index, e.Term) {
			assert.Assert(c.t, false, "leader %d of term %d lacks committed entry %d", n.cfg.ID, n.term, e.Index)
		}
	}
}

// checkDurable checks that the state that a message depends on is on the
// sender's disk.
func (c *referenceLog) checkDurable(m Message, disk PersistentState) {
	last := disk.Snapshot.Index + uint64(len(disk.Entries))
	switch {
	case m.Type == MessageAppendResponse && !m.Reject:
		assert.Assert(c.t, m.Index <= last, "replica %d acknowledges index %d and has saved %d", m.From, m.Index, last)
	case m.Type == MessageVote:
		assert.Assert(c.t, disk.HardState.Term > m.Term ||
			disk.HardState.Term == m.Term && disk.HardState.Vote == m.From && last >= m.Index)
	case m.Type == MessageVoteResponse && !m.Reject:
		assert.Assert(c.t, disk.HardState.Term > m.Term ||
			disk.HardState.Term == m.Term && disk.HardState.Vote == m.To)
	}
}

// checkRead checks that a read is linearizable: it sees everything that was
// committed when it was requested.
func (c *referenceLog) checkRead(r ReadState) {
	floor, ok := c.readFloors[r.RequestID]
	assert.Assert(c.t, ok, "result of read %d, which was not requested", r.RequestID)
	delete(c.readFloors, r.RequestID)
	assert.Assert(c.t, r.Aborted || r.Index >= floor, "read %d sees index %d, want at least %d", r.RequestID, r.Index, floor)
}

// checkOutcome checks that each confirmed proposal is in the log exactly once,
// and that no proposal is there twice.
func (c *referenceLog) checkOutcome() {
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
