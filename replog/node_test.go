package replog

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// newTestNode returns replica 1 of a group of three, with entries of the given
// terms after the bootstrap snapshot.
func newTestNode(t *testing.T, terms ...uint64) *Node {
	s := BootstrapGroupState(Members{{Replica: 1}, {Replica: 2}, {Replica: 3}}, 1, nil)
	for i, term := range terms {
		s.Entries = append(s.Entries, Entry{Term: term, Index: uint64(i + 2), Kind: EntryCommand, Data: []byte("x")})
		s.HardState.Term = term
	}
	n, err := NewNode(testConfig(1, 1), s)
	assert.NilError(t, err)
	return n
}

// drainReady processes all Readys and returns their messages.
func drainReady(n *Node) []Message {
	var out []Message
	for n.HasReady() {
		rd := n.Ready()
		out = append(out, rd.Messages...)
		n.Advance(rd)
	}
	return out
}

func messagesOfType(ms []Message, typ MessageType) []Message {
	var out []Message
	for _, m := range ms {
		if m.Type == typ {
			out = append(out, m)
		}
	}
	return out
}

func appendFrom(leader ReplicaID, term, prev, prevTerm, commit uint64, terms ...uint64) Message {
	m := Message{Type: MessageAppend, From: leader, To: 1, Term: term, Index: prev, LogTerm: prevTerm, Commit: commit}
	for i, t := range terms {
		m.Entries = append(m.Entries, Entry{Term: t, Index: prev + 1 + uint64(i), Kind: EntryCommand, Data: []byte{byte(t)}})
	}
	return m
}

// electNode makes replica 1 win the next election with the vote of replica 2.
func electNode(t *testing.T, n *Node) {
	for range 2 * defaultElectionTicks {
		if n.role == Follower {
			n.Tick()
		}
	}
	assert.Equal(t, n.role, PreCandidate)
	answer := Message{Type: MessagePreVoteResponse, From: 2, To: 1, Term: n.term + 1}
	assert.NilError(t, n.Step(answer))
	drainReady(n)
	assert.NilError(t, n.Step(Message{Type: MessageVoteResponse, From: 2, To: 1, Term: n.term}))
	assert.Equal(t, n.role, Leader)
}

// A replica accepts entries and, before they are durable, votes for another
// leader. If the acknowledgement were sent then, the old leader could report an
// entry as committed that the new leader doesn't have.
func TestAckOfOldTermIsDropped(t *testing.T) {
	n := newTestNode(t)
	assert.NilError(t, n.Step(appendFrom(2, 2, 1, 1, 1, 2)))
	write := n.Ready()
	assert.NilError(t, n.Step(appendFrom(3, 3, 1, 1, 1, 3)))
	n.Advance(write)
	acks := messagesOfType(drainReady(n), MessageAppendResponse)
	assert.Equal(t, len(acks), 1)
	assert.Equal(t, acks[0].To, ReplicaID(3))
}

// Entries are replaced while they are being written. When the write completes,
// the disk holds the old entries. If the new ones counted as durable, a crash
// would lose entries that were already applied.
func TestReplacedEntriesAreNotStable(t *testing.T) {
	n := newTestNode(t)
	assert.NilError(t, n.Step(appendFrom(2, 2, 1, 1, 1, 2, 2)))
	first := n.Ready()
	assert.NilError(t, n.Step(appendFrom(3, 3, 1, 1, 3, 3, 3)))
	n.Advance(first)
	second := n.Ready()
	assert.Equal(t, len(second.Committed), 0)
	assert.Equal(t, len(second.Entries), 2)
	n.Advance(second)
	assert.Equal(t, len(n.Ready().Committed), 2)
	// The entries passed to the first write must not change while it runs.
	assert.Equal(t, first.Entries[0].Term, uint64(2))
}

// A new leader finds an entry of an earlier term on a quorum. A replica with a
// newer entry may still replace it (figure 8 of the Raft paper). If the entry
// counted as committed, it would disappear after clients have seen it.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	n := newTestNode(t, 2)
	electNode(t, n)
	drainReady(n)
	assert.NilError(t, n.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: n.term, Index: 2}))
	assert.Equal(t, n.Status().Commit, uint64(1))
	assert.NilError(t, n.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: n.term, Index: 3}))
	assert.Equal(t, n.Status().Commit, uint64(3))
}

// The leader probes a replica whose log continues with entries of a failed
// leader. The leader's commit index doesn't cover those entries. If they were
// applied, the replica would execute commands that were never committed.
func TestCommitIndexStopsAtLastMatchingEntry(t *testing.T) {
	n := newTestNode(t, 2, 2)
	assert.NilError(t, n.Step(appendFrom(2, 3, 1, 1, 3)))
	assert.Equal(t, n.Status().Commit, uint64(1))
}

// A snapshot is delayed by minutes and arrives when the replica has already
// applied later entries. Restoring it would bring an old configuration back
// into force.
func TestOutdatedSnapshotIsIgnored(t *testing.T) {
	n := newTestNode(t)
	assert.NilError(t, n.Step(appendFrom(2, 2, 1, 1, 6, 2, 2, 2, 2, 2, 2, 2, 2)))
	drainReady(n)
	_, err := n.Compact(6, []byte("state"))
	assert.NilError(t, err)
	late := Message{Type: MessageSnapshot, From: 2, To: 1, Term: 2, Snapshot: &Snapshot{Index: 2, Term: 2}}
	assert.NilError(t, n.Step(late))
	assert.Equal(t, n.Status().Commit, uint64(6))
	acks := messagesOfType(drainReady(n), MessageAppendResponse)
	assert.Equal(t, acks[0].Index, uint64(6))
}

// An isolated leader has appended a membership change that no other replica
// has. When the next leader replaces the entry, the previous membership must be
// in force again; otherwise this replica would count other quorums than the
// group.
func TestReplacedMembershipChangeIsReverted(t *testing.T) {
	n := newTestNode(t)
	m := appendFrom(2, 2, 1, 1, 1, 2)
	m.Entries[0].Kind = EntryMembership
	m.Entries[0].Data = EncodeMembers(Members{{Replica: 1}})
	assert.NilError(t, n.Step(m))
	assert.Equal(t, len(n.Status().Members), 1)
	assert.NilError(t, n.Step(appendFrom(3, 3, 1, 1, 1, 3)))
	assert.Equal(t, len(n.Status().Members), 3)
}

// Operators and programs request membership changes that could leave two
// quorums without a common voter, or no quorum at all. They are rejected with a
// reason.
func TestUnsafeMembershipChangesAreRejected(t *testing.T) {
	n := newTestNode(t, 2)
	electNode(t, n)
	drainReady(n)
	expectRejected := func(c Change, reason ChangeRejectReason) {
		t.Helper()
		_, err := n.ProposeChange(c)
		var r *ChangeRejectedError
		assert.Assert(t, errors.As(err, &r))
		assert.Equal(t, r.Reason, reason)
	}
	expectRejected(Change{Kind: AddLearner, Replica: 4}, ChangeNoCommitInTerm)
	assert.NilError(t, n.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: n.term, Index: 3}))
	expectRejected(Change{Kind: AddLearner}, ChangeInvalidID)
	expectRejected(Change{Kind: AddLearner, Replica: 2}, ChangeAlreadyMember)
	expectRejected(Change{Kind: Promote, Replica: 2}, ChangeNotLearner)
	expectRejected(Change{Kind: Remove, Replica: 9}, ChangeNotMember)
	expectRejected(Change{Kind: Remove, Replica: 1}, ChangeRemovesLeader)
	expectRejected(Change{Kind: Remove, Replica: 2}, ChangeLosesQuorum)
	expectRejected(Change{Kind: 99, Replica: 2}, ChangeUnknownKind)
	_, err := n.ProposeChange(Change{Kind: AddLearner, Replica: 4})
	assert.NilError(t, err)
	expectRejected(Change{Kind: AddLearner, Replica: 5}, ChangePending)
	drainReady(n)
	assert.NilError(t, n.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: n.term, Index: 4}))
	expectRejected(Change{Kind: Promote, Replica: 4}, ChangeNotCaughtUp)
}

// A removed replica has a newer term, and its responses to earlier messages
// still arrive. If they deposed the leader, clients would wait for an election
// each time.
func TestRemovedReplicaCannotDeposeLeader(t *testing.T) {
	n := newTestNode(t)
	electNode(t, n)
	late := Message{Type: MessageAppendResponse, From: 9, To: 1, Term: n.term + 5, Reject: true}
	assert.NilError(t, n.Step(late))
	assert.Equal(t, n.Status().Role, Leader)
	vote := Message{Type: MessageVote, From: 9, To: 1, Term: n.term + 5, Index: 100, LogTerm: n.term}
	assert.NilError(t, n.Step(vote))
	assert.Equal(t, n.Status().Role, Leader)
}

// Clients propose more than the group can commit, or an entry that is too large
// for any message. Without limits the leader would run out of memory.
func TestProposalsAreBounded(t *testing.T) {
	n := newTestNode(t)
	_, err := n.Propose(nil)
	var notLeader *NotLeaderError
	assert.Assert(t, errors.As(err, &notLeader))
	electNode(t, n)
	_, err = n.Propose(make([]byte, n.cfg.MaxEntryBytes+1))
	var tooLarge *EntryTooLargeError
	assert.Assert(t, errors.As(err, &tooLarge))
	n.cfg.MaxUncommittedBytes = 100
	_, err = n.Propose(make([]byte, 101))
	assert.NilError(t, err)
	_, err = n.Propose(nil)
	var busy *ProposalDroppedError
	assert.Assert(t, errors.As(err, &busy))
}

// An old copy of a disk was restored, and its replica was elected by others
// like it. A replica that has committed other entries must stop instead of
// reverting them.
func TestConflictWithCommittedEntryIsAnError(t *testing.T) {
	n := newTestNode(t, 2, 2)
	assert.NilError(t, n.Step(appendFrom(2, 2, 3, 2, 3)))
	err := n.Step(appendFrom(3, 5, 1, 1, 1, 5))
	// Entries at or below the commit index are acknowledged and not appended.
	assert.NilError(t, err)
	assert.Equal(t, n.Status().Commit, uint64(3))
	err = n.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: n.term, Index: 3, LogTerm: 2})
	var inconsistent *CommittedConflictError
	assert.NilError(t, err)
	electNode(t, n)
	err = n.Step(appendFrom(2, n.term, 3, 2, 3))
	assert.Assert(t, errors.As(err, &inconsistent))
}

// A message comes from another group on the same addresses, is addressed to
// another replica, or was damaged in transit. It must have no effect: if it
// left a gap in the entries, the replica could never restart from its storage.
func TestInvalidMessagesAreRejected(t *testing.T) {
	n := newTestNode(t)
	var bad *InvalidMessageError
	for _, m := range []Message{
		{Type: MessageVote, From: 2, To: 2, Term: 9},
		{Type: MessageVote, From: 2, To: 1, Term: 9, Group: 5},
		{Type: MessageVote, To: 1, Term: 9},
		{Type: maxMessageType + 1, From: 2, To: 1, Term: 9},
		{From: 2, To: 1, Term: 9},
		{Type: MessageSnapshot, From: 2, To: 1, Term: 9},
		{Type: MessageAppend, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 9, Index: 3}}},
		{Type: MessageAppend, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 10, Index: 2}}},
	} {
		assert.Assert(t, errors.As(n.Step(m), &bad))
		assert.Equal(t, n.Status().Term, uint64(1))
	}
}

// Entries contain answers of up to 64 KiB. If a thousand of them were kept for
// replicas that are a little behind, they would take a quarter of the control
// component's memory limit.
func TestTrailingEntriesAreBoundedInBytes(t *testing.T) {
	n := newTestNode(t)
	assert.NilError(t, n.Step(appendFrom(2, 2, 1, 1, 9, 2, 2, 2, 2, 2, 2, 2, 2)))
	drainReady(n)
	n.cfg.TrailingEntries = 100
	n.cfg.TrailingBytes = 3 * n.log.entries[0].size()
	_, err := n.Compact(8, nil)
	assert.NilError(t, err)
	assert.Equal(t, n.log.base.Index, uint64(5))
	assert.Equal(t, n.Status().LastIndex, uint64(9))
}

// FuzzStep checks that no sequence of messages makes a replica panic or lowers
// its commit index or its term.
func FuzzStep(f *testing.F) {
	f.Add([]byte{5, 2, 2, 1, 1, 1, 2, 0, 7, 2, 2, 0, 0, 2, 0, 0})
	f.Add([]byte{2, 2, 1, 9, 9, 0, 0, 0, 4, 2, 2, 0, 0, 0, 0, 0, 6, 2, 2, 2, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		n := newTestNode(t, 1, 1)
		for len(b) >= 8 {
			before := n.Status()
			_ = n.Step(fuzzMessage(b))
			n.Tick()
			drainReady(n)
			after := n.Status()
			assert.Assert(t, after.Commit >= before.Commit && after.Term >= before.Term)
			b = b[8:]
		}
	})
}

// fuzzMessage decodes a message from eight bytes.
func fuzzMessage(b []byte) Message {
	m := Message{
		Type: MessageType(b[0] % 12), From: ReplicaID(b[1] % 5), To: 1, Term: uint64(b[2] % 8),
		Index: uint64(b[3] % 10), LogTerm: uint64(b[4] % 8), Commit: uint64(b[5] % 10),
		RejectIndex: uint64(b[3] % 10), HintIndex: uint64(b[5] % 10), HintTerm: uint64(b[6] % 8),
		ReadRound: uint64(b[5]), Reject: b[7]&1 != 0, LeadershipTransfer: b[7]&2 != 0, ToLearner: b[7]&4 != 0, LostState: b[7]&8 != 0,
	}
	for i := range uint64(b[6] % 4) {
		kind := EntryKind(b[7] >> 4 % 3)
		m.Entries = append(m.Entries, Entry{Term: m.Term, Index: m.Index + 1 + i, Kind: kind})
	}
	if m.Type == MessageSnapshot && b[6]&4 == 0 {
		m.Snapshot = &Snapshot{Index: m.Index, Term: m.LogTerm, Members: Members{{Replica: 1}, {Replica: 2}}}
	}
	return m
}

// FuzzMembers checks that a membership that decodes is unchanged by another
// round of encoding and decoding.
func FuzzMembers(f *testing.F) {
	f.Add(EncodeMembers(nil))
	f.Add(EncodeMembers(Members{{Replica: 1, Address: "a:1"}, {Replica: 900, Learner: true}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		ms, err := DecodeMembers(b)
		if err != nil {
			return
		}
		again, err := DecodeMembers(EncodeMembers(ms))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, ms)
	})
}
