package replog

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	// AddLearner adds a replica that receives entries and doesn't count for a
	// quorum.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner a voter. It is rejected until the learner has
	// acknowledged all committed entries as durable, or keeps up with the leader.
	Promote
	// Remove takes a replica out of the group. The replica may rejoin as a
	// learner under its old ReplicaID only if it still has its old disk.
	Remove
	// SetAddress changes the address of a member.
	SetAddress
)

// Change is a single-server membership change: it adds, promotes or removes
// one replica or changes its address.
type Change struct {
	Kind    ChangeKind
	Replica ReplicaID
	// Address is the new address for AddLearner and SetAddress; other kinds
	// ignore it.
	Address string
}

// ProposeChange appends a membership change. As in the Raft paper, the new
// membership is in force on a replica as soon as the entry is in its log. The
// change is final once its entry, of kind EntryMembership, is committed.
// ProposeChange fails with *NotLeaderError or *ChangeRejectedError; in
// particular, a second change is rejected while the first one is not committed.
func (n *Node) ProposeChange(c Change) (Position, error) {
	if n.role != Leader {
		return Position{}, &NotLeaderError{Leader: n.leader}
	}
	if reason := n.rejectReason(c); reason != "" {
		return Position{}, &ChangeRejectedError{Change: c, Reason: reason}
	}
	ms := n.membersAfter(c)
	at := n.appendEntry(EntryMembership, EncodeMembers(ms))
	n.members.add(at.Index, ms)
	n.syncProgress(at.Index)
	n.maybeCommit()
	return at, nil
}

// MarkLeaving records that a member is about to stop. It has no effect unless this replica leads.
func (n *Node) MarkLeaving(member ReplicaID) {
	if p := n.progress[member]; n.role == Leader && p != nil {
		p.leavingTicks, p.Leaving = n.cfg.ElectionTicks, true
	}
}

// membersAfter returns the latest membership with a change applied to it.
func (n *Node) membersAfter(c Change) Members {
	ms := n.members.current()
	m, _ := ms.Find(c.Replica)
	switch c.Kind {
	case AddLearner:
		return ms.with(Member{Replica: c.Replica, Learner: true, Address: c.Address})
	case Promote:
		m.Learner = false
	case SetAddress:
		m.Address = c.Address
	case Remove:
		return ms.without(c.Replica)
	}
	return ms.with(m)
}

// rejectReason returns why a change is not possible now, or "" if it is.
func (n *Node) rejectReason(c Change) ChangeRejectReason {
	switch {
	case c.Replica == None:
		return ChangeInvalidID
	case n.transferee != None:
		return ChangeDuringTransfer
	case n.members.lastIndex() > n.log.commit:
		// Two changes at once could leave two quorums without a common voter.
		return ChangePending
	case !n.hasCommittedInTerm():
		// A change of an earlier leader could still be committed elsewhere.
		// Once an entry of this term is committed, that is no longer possible.
		return ChangeNoCommitInTerm
	}
	return n.rejectReasonByKind(c)
}

// rejectReasonByKind checks the conditions that depend on the kind of the
// change.
func (n *Node) rejectReasonByKind(c Change) ChangeRejectReason {
	member, found := n.members.current().Find(c.Replica)
	switch {
	case c.Kind < AddLearner || c.Kind > SetAddress:
		return ChangeUnknownKind
	case c.Kind == AddLearner && found:
		return ChangeAlreadyMember
	case c.Kind == AddLearner:
		return ""
	case !found:
		return ChangeNotMember
	case c.Kind == Promote:
		return n.promotionRejectReason(member)
	case c.Kind == Remove:
		return n.removalRejectReason(member)
	}
	return ""
}

// promotionRejectReason returns why a member can't become a voter, or "".
func (n *Node) promotionRejectReason(m Member) ChangeRejectReason {
	p := n.progress[m.Replica]
	switch {
	case !m.Learner:
		return ChangeNotLearner
	case !p.HasCaughtUp(n.log.commit) || !n.isRecentlyActive(m.Replica):
		return ChangeNotCaughtUp
	}
	return ""
}

// ackedInTerm reports whether a replica has acknowledged an entry of this
// leader and is still responding.
func (n *Node) ackedInTerm(id ReplicaID) bool {
	return id == n.cfg.ID || n.isRecentlyActive(id) && n.progress[id].Match >= n.termStart
}

// removalRejectReason returns why a member can't be removed, or "". The
// remaining voters must include a responsive quorum.
func (n *Node) removalRejectReason(m Member) ChangeRejectReason {
	if m.Replica == n.cfg.ID {
		return ChangeRemovesLeader
	}
	if m.Learner {
		return ""
	}
	rest := n.members.current().without(m.Replica)
	if !rest.hasQuorum(n.ackedInTerm) {
		return ChangeLosesQuorum
	}
	return ""
}
