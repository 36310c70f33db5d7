package replog

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// single returns replica 1 of a group of three, with entries of term 1 after
// the bootstrap.
func single(t *testing.T, terms ...uint64) *Node {
	s := BootstrapGroupState(Members{{Replica: 1}, {Replica: 2}, {Replica: 3}}, 1, nil)
	for i, term := range terms {
		s.Entries = append(s.Entries, Entry{Term: term, Index: uint64(i + 2), Kind: EntryCommand, Data: []byte("x")})
		s.HardState.Term = term
	}
	n, err := NewNode(testConfig(1, 1), s)
	assert.NilError(t, err)
	return n
}

// saveAll carries out all Readys and returns their messages.
func saveAll(n *Node) []Message {
	var out []Message
	for n.HasReady() {
		rd := n.Ready()
		out = append(out, rd.Messages...)
		n.Advance(rd)
	}
	return out
}

func find(ms []Message, typ MessageType) []Message {
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

// makeLeader has replica 1 win the next election with the vote of replica 2.
func makeLeader(t *testing.T, n *Node) {
	for range 2 * defaultElectionTicks {
		if n.role == Follower {
			n.Tick()
		}
	}
	assert.Equal(t, n.role, PreCandidate)
	answer := Message{Type: MessagePreVoteResponse, From: 2, To: 1, Term: n.term + 1}
	assert.NilError(t, n.Step(answer))
	saveAll(n)
	assert.NilError(t, n.Step(Message{Type: MessageVoteResponse, From: 2, To: 1, Term: n.term}))
	assert.Equal(t, n.role, Leader)
}

// A replica takes entries, and before its disk has them it votes for another
// leader. If the acknowledgement left then, the old leader could tell a caller
// that an entry is safe which the new leader doesn't have.
func TestOldAcknowledgementIsDropped(t *testing.T) {
	n := single(t)
	assert.NilError(t, n.Step(appendFrom(2, 2, 1, 1, 1, 2)))
	write := n.Ready()
	assert.NilError(t, n.Step(appendFrom(3, 3, 1, 1, 1, 3)))
	n.Advance(write)
	acks := find(saveAll(n), MessageAppendResponse)
	assert.Equal(t, len(acks), 1)
	assert.Equal(t, acks[0].To, ReplicaID(3))
}

// A write is under way when its entries are replaced. When it ends, the disk has
// the old entries; the new ones must not count as durable, or a crash would lose
// entries that were handed to the owner.
func TestReplacedWriteIsNotDurable(t *testing.T) {
	n := single(t)
	assert.NilError(t, n.Step(appendFrom(2, 2, 1, 1, 1, 2, 2)))
	first := n.Ready()
	assert.NilError(t, n.Step(appendFrom(3, 3, 1, 1, 3, 3, 3)))
	n.Advance(first)
	second := n.Ready()
	assert.Equal(t, len(second.Committed), 0)
	assert.Equal(t, len(second.Entries), 2)
	n.Advance(second)
	assert.Equal(t, len(n.Ready().Committed), 2)
	// What the first write was given has not changed under it.
	assert.Equal(t, first.Entries[0].Term, uint64(2))
}

// A new leader finds an older leader's entry on a quorum. It may still be
// replaced by a replica that has a newer entry; counted as committed, it would
// vanish after callers have seen it.
func TestOlderEntryIsNotCommittedAlone(t *testing.T) {
	n := single(t, 2)
	makeLeader(t, n)
	saveAll(n)
	assert.NilError(t, n.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: n.term, Index: 2}))
	assert.Equal(t, n.Status().Commit, uint64(1))
	assert.NilError(t, n.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: n.term, Index: 3}))
	assert.Equal(t, n.Status().Commit, uint64(3))
}

// The leader probes a replica whose log has entries of a lost leader further
// on. The leader's commit index says nothing about those; applied, they would be
// changes that nobody accepted.
func TestCommitStopsAtWhatMatches(t *testing.T) {
	n := single(t, 2, 2)
	assert.NilError(t, n.Step(appendFrom(2, 3, 1, 1, 3)))
	assert.Equal(t, n.Status().Commit, uint64(1))
}

// A snapshot is delayed by minutes and arrives when the replica is further on.
// Taking it over would bring an old configuration back into force.
func TestLateSnapshotIsIgnored(t *testing.T) {
	n := single(t)
	assert.NilError(t, n.Step(appendFrom(2, 2, 1, 1, 6, 2, 2, 2, 2, 2, 2, 2, 2)))
	saveAll(n)
	_, err := n.Compact(6, []byte("state"))
	assert.NilError(t, err)
	late := Message{Type: MessageSnapshot, From: 2, To: 1, Term: 2, Snapshot: &Snapshot{Index: 2, Term: 2}}
	assert.NilError(t, n.Step(late))
	assert.Equal(t, n.Status().Commit, uint64(6))
	acks := find(saveAll(n), MessageAppendResponse)
	assert.Equal(t, acks[0].Index, uint64(6))
}

// A leader that is cut off has appended a membership change that nobody else
// has. When the next leader replaces it, the membership before holds again;
// otherwise this replica would count other quorums than the group.
func TestReplacedChangeIsUndone(t *testing.T) {
	n := single(t)
	m := appendFrom(2, 2, 1, 1, 1, 2)
	m.Entries[0].Kind = EntryMembership
	m.Entries[0].Data = EncodeMembers(Members{{Replica: 1}})
	assert.NilError(t, n.Step(m))
	assert.Equal(t, len(n.Status().Members), 1)
	assert.NilError(t, n.Step(appendFrom(3, 3, 1, 1, 1, 3)))
	assert.Equal(t, len(n.Status().Members), 3)
}

// Operators and programs ask for changes that could leave two quorums without a
// common voter, or none at all. They are refused with the reason.
func TestChangesAreRefused(t *testing.T) {
	n := single(t, 2)
	makeLeader(t, n)
	saveAll(n)
	refused := func(c Change, reason ChangeRejectReason) {
		t.Helper()
		_, err := n.ProposeChange(c)
		var r *ChangeRejectedError
		assert.Assert(t, errors.As(err, &r))
		assert.Equal(t, r.Reason, reason)
	}
	refused(Change{Kind: AddLearner, Replica: 4}, ChangeNoCommitInTerm)
	assert.NilError(t, n.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: n.term, Index: 3}))
	refused(Change{Kind: AddLearner}, ChangeInvalidID)
	refused(Change{Kind: AddLearner, Replica: 2}, ChangeAlreadyMember)
	refused(Change{Kind: Promote, Replica: 2}, ChangeNotLearner)
	refused(Change{Kind: Remove, Replica: 9}, ChangeNotMember)
	refused(Change{Kind: Remove, Replica: 1}, ChangeRemovesLeader)
	refused(Change{Kind: Remove, Replica: 2}, ChangeLosesQuorum)
	refused(Change{Kind: 99, Replica: 2}, ChangeUnknownKind)
	_, err := n.ProposeChange(Change{Kind: AddLearner, Replica: 4})
	assert.NilError(t, err)
	refused(Change{Kind: AddLearner, Replica: 5}, ChangePending)
	saveAll(n)
	assert.NilError(t, n.Step(Message{Type: MessageAppendResponse, From: 2, To: 1, Term: n.term, Index: 4}))
	refused(Change{Kind: Promote, Replica: 4}, ChangeNotCaughtUp)
}

// A replica that was removed is at a newer term and still answers messages that
// were under way. It has no say in the group any more; if it deposed the leader,
// callers would wait for an election each time.
func TestRemovedReplicaCannotDepose(t *testing.T) {
	n := single(t)
	makeLeader(t, n)
	late := Message{Type: MessageAppendResponse, From: 9, To: 1, Term: n.term + 5, Reject: true}
	assert.NilError(t, n.Step(late))
	assert.Equal(t, n.Status().Role, Leader)
	vote := Message{Type: MessageVote, From: 9, To: 1, Term: n.term + 5, Index: 100, LogTerm: n.term}
	assert.NilError(t, n.Step(vote))
	assert.Equal(t, n.Status().Role, Leader)
}

// Callers send more than the group can commit, or one entry that no message can
// carry. Without a bound the leader would run out of memory and all would wait.
func TestProposalsAreBounded(t *testing.T) {
	n := single(t)
	_, err := n.Propose(nil)
	var notLeader *NotLeaderError
	assert.Assert(t, errors.As(err, &notLeader))
	makeLeader(t, n)
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

// A disk was put back from an old copy and its replica was elected by others
// like it. A replica that knows better must stop instead of reverting.
func TestContradictionStopsTheReplica(t *testing.T) {
	n := single(t, 2, 2)
	assert.NilError(t, n.Step(appendFrom(2, 2, 3, 2, 3)))
	err := n.Step(appendFrom(3, 5, 1, 1, 1, 5))
	// Entries at or below the commit index are acknowledged, not taken.
	assert.NilError(t, err)
	assert.Equal(t, n.Status().Commit, uint64(3))
	err = n.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: n.term, Index: 3, LogTerm: 2})
	var inconsistent *CommittedConflictError
	assert.NilError(t, err)
	makeLeader(t, n)
	err = n.Step(appendFrom(2, n.term, 3, 2, 3))
	assert.Assert(t, errors.As(err, &inconsistent))
}

// A message comes from another group on the same addresses, for another replica,
// or damaged on its way. It must change nothing: with a gap in its entries, the
// replica could never start again from what it saved.
func TestForeignMessagesAreRefused(t *testing.T) {
	n := single(t)
	var bad *InvalidMessageError
	for _, m := range []Message{
		{Type: MessageVote, From: 2, To: 2, Term: 9},
		{Type: MessageVote, From: 2, To: 1, Term: 9, Group: 5},
		{Type: MessageVote, To: 1, Term: 9},
		{Type: lastMessageType + 1, From: 2, To: 1, Term: 9},
		{From: 2, To: 1, Term: 9},
		{Type: MessageSnapshot, From: 2, To: 1, Term: 9},
		{Type: MessageAppend, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 9, Index: 3}}},
		{Type: MessageAppend, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 10, Index: 2}}},
	} {
		assert.Assert(t, errors.As(n.Step(m), &bad))
		assert.Equal(t, n.Status().Term, uint64(1))
	}
}

// Entries carry answers of up to 64 KiB. A thousand of them kept for replicas that
// are a little behind would take a quarter of the memory that control may use.
func TestTrailingEntriesAreBoundedInBytes(t *testing.T) {
	n := single(t)
	assert.NilError(t, n.Step(appendFrom(2, 2, 1, 1, 9, 2, 2, 2, 2, 2, 2, 2, 2)))
	saveAll(n)
	n.cfg.TrailingEntries = 100
	n.cfg.TrailingBytes = 3 * n.log.entries[0].size()
	_, err := n.Compact(8, nil)
	assert.NilError(t, err)
	assert.Equal(t, n.log.base.Index, uint64(5))
	assert.Equal(t, n.Status().LastIndex, uint64(9))
}

// FuzzStep checks that no sequence of messages makes a replica panic, and that
// its commit index and its term never fall.
func FuzzStep(f *testing.F) {
	f.Add([]byte{5, 2, 2, 1, 1, 1, 2, 0, 7, 2, 2, 0, 0, 2, 0, 0})
	f.Add([]byte{2, 2, 1, 9, 9, 0, 0, 0, 4, 2, 2, 0, 0, 0, 0, 0, 6, 2, 2, 2, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		n := single(t, 1, 1)
		for len(b) >= 8 {
			before := n.Status()
			_ = n.Step(fuzzMessage(b))
			n.Tick()
			saveAll(n)
			after := n.Status()
			assert.Assert(t, after.Commit >= before.Commit && after.Term >= before.Term)
			b = b[8:]
		}
	})
}

// fuzzMessage makes a message of eight bytes.
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

// FuzzMembers checks that a membership which decodes means the same when it is
// encoded again.
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
