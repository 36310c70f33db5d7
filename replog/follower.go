package replog

func (n *Node) handleFromLeader(m Message) error {
	if n.role == Leader {
		// Two leaders in one term.
		return &CommittedConflictError{Index: m.Index, Commit: n.log.commit, From: m.From}
	}
	if n.role != Follower {
		n.becomeFollower(n.term, m.From)
	}
	n.leader = m.From
	n.electionElapsed = 0
	switch m.Type {
	case MessageHeartbeat:
		n.log.commitTo(m.Commit)
		if m.Index != 0 {
			n.freshness.newest(m.Index, 0, n.log.applied)
		}
		n.send(Message{Type: MessageHeartbeatResponse, To: m.From, ReadRound: m.ReadRound})
		return nil
	case MessageAppend:
		return n.handleAppend(m)
	}
	return n.handleSnapshot(m)
}

// refuseAsFresh answers a leader that takes this replica for a voter though it
// has no state. It must have had some and lost it: if it took the entries again
// under its old identity, it could vote while it lacks entries that it once
// acknowledged, and they could be lost for the whole group.
func (n *Node) refuseAsFresh(m Message) bool {
	if !n.fresh() || m.ToLearner {
		return false
	}
	n.send(Message{
		Type: MessageAppendResponse, To: m.From,
		Reject: true, RejectIndex: m.Index, LostState: true,
	})
	return true
}

func (n *Node) handleAppend(m Message) error {
	if n.refuseAsFresh(m) {
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
	if err := n.takeEntries(m); err != nil {
		return err
	}
	last := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	n.acknowledge(m.From, last)
	return nil
}

func (n *Node) rejectAppend(m Message) {
	hint := n.log.hint(m.Index, m.LogTerm)
	n.send(Message{
		Type: MessageAppendResponse, To: m.From,
		Reject: true, RejectIndex: m.Index, HintIndex: hint.Index, HintTerm: hint.Term,
	})
}

func (n *Node) acknowledge(to ReplicaID, index uint64) {
	n.send(Message{Type: MessageAppendResponse, To: to, Index: index})
}

// takeEntries appends the entries that this log doesn't hold and replaces those
// of other leaders.
func (n *Node) takeEntries(m Message) error {
	es := m.Entries[n.log.conflict(m.Entries):]
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

func decodeMemberships(es []Entry) (memberHistory, error) {
	var h memberHistory
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

func (n *Node) handleSnapshot(m Message) error {
	if n.refuseAsFresh(m) {
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
	n.log.install(s)
	n.members = memberHistory{{index: s.Index, members: s.Members}}
	n.acknowledge(m.From, s.Index)
	return nil
}
