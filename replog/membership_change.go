package replog

// ChangeKind is what a membership change does.
type ChangeKind uint8

// The kinds of changes.
const (
	// AddLearner adds a replica that receives entries and doesn't count.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner a voter. It is refused until the learner has
	// acknowledged all committed entries as durable.
	Promote
	// Remove takes a replica out of the group. It may come back as a learner under
	// its identity only with the disk that it had.
	Remove
	// SetAddress changes the address of a member.
	SetAddress
)

// Change is one membership change.
type Change struct {
	Kind    ChangeKind
	Replica ReplicaID
	// Address is used by AddLearner and SetAddress.
	Address string
}

// ProposeChange appends a membership change. It holds from the moment it is
// appended; it is decided when its entry, of kind EntryMembers, is committed. It
// fails with *NotLeader or *ChangeRefused; in particular a second change is
// refused while one is not committed.
func (n *Node) ProposeChange(c Change) (Position, error) {
	if n.role != Leader {
		return Position{}, &NotLeaderError{Leader: n.leader}
	}
	if reason := n.refusal(c); reason != "" {
		return Position{}, &ChangeRejectedError{Change: c, Reason: reason}
	}
	ms := n.changed(c)
	at := n.appendOwn(EntryMembership, EncodeMembers(ms))
	n.members.add(at.Index, ms)
	n.updateProgress(at.Index)
	n.maybeCommit()
	return at, nil
}

func (n *Node) changed(c Change) Members {
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

// refusal returns why a change is not possible now, or "".
func (n *Node) refusal(c Change) ChangeRejectReason {
	switch {
	case c.Replica == None:
		return ChangeInvalidID
	case n.transferee != None:
		return ChangeDuringTransfer
	case n.members.lastIndex() > n.log.commit:
		// Two changes at once could leave two quorums without a common voter.
		return ChangePending
	case !n.committedInTerm():
		// A change of an earlier leader could still be in force elsewhere; once
		// an entry of this term is committed, it can't be committed any more.
		return ChangeNoCommitInTerm
	}
	return n.refusalByKind(c)
}

func (n *Node) refusalByKind(c Change) ChangeRejectReason {
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
		return n.refusalOfPromotion(member)
	case c.Kind == Remove:
		return n.refusalOfRemoval(member)
	}
	return ""
}

func (n *Node) refusalOfPromotion(m Member) ChangeRejectReason {
	p := n.progress[m.Replica]
	switch {
	case !m.Learner:
		return ChangeNotLearner
	case p.Match < n.log.commit || !n.active(m.Replica):
		return ChangeNotCaughtUp
	}
	return ""
}

// answeredInTerm reports whether a replica has acknowledged an entry of this
// leader and still answers.
func (n *Node) answeredInTerm(id ReplicaID) bool {
	return id == n.cfg.ID || n.active(id) && n.progress[id].Match >= n.termStart
}

func (n *Node) refusalOfRemoval(m Member) ChangeRejectReason {
	if m.Replica == n.cfg.ID {
		return ChangeRemovesLeader
	}
	if m.Learner {
		return ""
	}
	rest := n.members.current().without(m.Replica)
	if !rest.hasQuorum(n.answeredInTerm) {
		return ChangeLosesQuorum
	}
	return ""
}
