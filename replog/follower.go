package replog

// handleLeaderMessage handles a message from the leader of the current term and
// restarts the election timer.
func (n *Node) handleLeaderMessage(m Message) error {
	if n.role == Leader {
		// There are two leaders in one term, which election safety rules out.
		return &CommittedConflictError{Index: m.Index, Commit: n.log.commit, From: m.From}
	}
	if n.role != Follower {
		n.becomeFollower(n.term, m.From)
	}
	n.leader = m.From
	n.lastLeader, n.ticksSinceLastLeader = m.From, 0
	n.electionElapsed = 0
	switch m.Type {
	case MessageHeartbeat:
		n.log.commitTo(m.Commit)
		if m.Index != 0 {
			n.staleness.observeCommit(m.Index, 0, n.log.applied)
		}
		n.send(Message{Type: MessageHeartbeatResponse, To: m.From, ReadRound: m.ReadRound})
		return nil
	case MessageAppend:
		return n.handleAppend(m)
	}
	return n.handleSnapshot(m)
}

// rejectIfStateLost rejects entries and snapshots if this replica has no state
// although the leader regards it as a voter. The replica must have lost its
// state: if it accepted the entries again under its old ReplicaID, it could
// vote while it lacks entries that it once acknowledged, and the whole group
// could lose them.
func (n *Node) rejectIfStateLost(m Message) bool {
	if !n.hasNoState() || m.ToLearner {
		return false
	}
	n.send(Message{
		Type: MessageAppendResponse, To: m.From,
		Reject: true, RejectIndex: m.Index, LostState: true,
	})
	return true
}

// handleAppend appends the leader's entries if the entry before them matches
// this log, and rejects them otherwise.
func (n *Node) handleAppend(m Message) error {
	if n.rejectIfStateLost(m) {
		return nil
	}
	if m.Index < n.log.commit {
		n.acknowledge(m.From, n.log.commit)
		return nil
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		n.rejectAppend(m)
		return nil
	}
	if err := n.appendFromLeader(m); err != nil {
		return err
	}
	last := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	n.acknowledge(m.From, last)
	return nil
}

// rejectAppend rejects an append whose previous entry doesn't match. The
// response hints at the last entry that may match, so that the leader can skip
// the entries of conflicting terms.
func (n *Node) rejectAppend(m Message) {
	hint := n.log.findConflictByTerm(m.Index, m.LogTerm)
	n.send(Message{
		Type: MessageAppendResponse, To: m.From,
		Reject: true, RejectIndex: m.Index, HintIndex: hint.Index, HintTerm: hint.Term,
	})
}

// acknowledge reports all entries up to index as durable once they are.
func (n *Node) acknowledge(to ReplicaID, index uint64) {
	n.send(Message{Type: MessageAppendResponse, To: to, Index: index})
}

// appendFromLeader appends the entries that this log lacks and replaces the
// conflicting entries of other leaders.
func (n *Node) appendFromLeader(m Message) error {
	es := m.Entries[n.log.findConflict(m.Entries):]
	if len(es) == 0 {
		return nil
	}
	first := es[0].Index
	if first <= n.log.commit {
		return &CommittedConflictError{Index: first, Commit: n.log.commit, From: m.From}
	}
	memberships, err := decodeMemberships(es)
	if err != nil {
		return err
	}
	if first <= n.log.lastIndex() {
		n.log.truncate(first)
		n.members.truncate(first)
	}
	n.log.append(es...)
	n.members = append(n.members, memberships...)
	return nil
}

// decodeMemberships returns the memberships contained in a sequence of entries.
func decodeMemberships(es []Entry) (membershipHistory, error) {
	var h membershipHistory
	for i := range es {
		if es[i].Kind != EntryMembership {
			continue
		}
		ms, err := DecodeMembers(es[i].Data)
		if err != nil {
			return nil, err
		}
		h.add(es[i].Index, ms)
	}
	return h, nil
}

// handleSnapshot replaces the log by the leader's snapshot, unless the log
// already holds all entries that the snapshot covers.
func (n *Node) handleSnapshot(m Message) error {
	if n.rejectIfStateLost(m) {
		return nil
	}
	s := *m.Snapshot
	if s.Index <= n.log.commit {
		n.acknowledge(m.From, n.log.commit)
		return nil
	}
	if n.log.matches(s.Index, s.Term) {
		n.log.commitTo(s.Index)
		n.acknowledge(m.From, s.Index)
		return nil
	}
	n.log.restoreSnapshot(s)
	n.members = membershipHistory{{index: s.Index, members: s.Members}}
	n.acknowledge(m.From, s.Index)
	return nil
}
