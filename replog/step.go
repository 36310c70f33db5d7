package replog

// Step processes a message. It fails with *InvalidMessageError or *DecodeError
// if the message is malformed or not addressed to this replica, and with
// *CommittedConflictError if the group has violated the protocol and this
// replica must be stopped.
func (n *Node) Step(m Message) error {
	if !n.isAddressedToSelf(m) || !m.isWellFormed() {
		return &InvalidMessageError{Type: m.Type, From: m.From, To: m.To, Group: m.Group}
	}
	if m.From == n.lastLeader {
		n.ticksSinceLastLeader = 0
	}
	if n.shouldIgnore(m) {
		return nil
	}
	if m.Term < n.term {
		n.respondToOldTerm(m)
		return nil
	}
	if m.Term > n.term {
		n.adoptTerm(m)
	}
	return n.dispatch(m)
}

// isAddressedToSelf reports whether the message is for this replica and comes
// from another replica of its group.
func (n *Node) isAddressedToSelf(m Message) bool {
	return m.To == n.cfg.ID && m.Group == n.cfg.Group && m.From != None && m.From != n.cfg.ID
}

// shouldIgnore reports whether a message must have no effect, even if its term
// is newer.
func (n *Node) shouldIgnore(m Message) bool {
	switch m.Type {
	case MessagePreVote, MessageVote:
		return m.Term > n.term && !m.LeadershipTransfer && n.inLeaderLease()
	case MessageAppendResponse, MessageHeartbeatResponse:
		// A removed replica may have a newer term; it must not depose the
		// leader.
		return n.role == Leader && n.progress[m.From] == nil
	}
	return false
}

// respondToOldTerm tells a leader or pre-candidate of an older term about the
// current term. Without the response, a replica whose term ran ahead while it
// was isolated would reject the leader's messages forever.
func (n *Node) respondToOldTerm(m Message) {
	switch {
	case m.isFromLeader():
		n.send(Message{Type: MessageAppendResponse, To: m.From, Term: n.term, Reject: true})
	case m.Type == MessagePreVote:
		n.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: n.term, Reject: true})
	}
}

// adoptTerm enters the newer term of a message, unless the term is only that of
// a proposed election.
func (n *Node) adoptTerm(m Message) {
	switch {
	case m.Type == MessagePreVote:
	case m.Type == MessagePreVoteResponse && !m.Reject:
		// A granted pre-vote carries the term of the proposed election.
	case m.isFromLeader():
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, None)
	}
}

// dispatch passes a message to the handler of its type.
func (n *Node) dispatch(m Message) error {
	switch m.Type {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.handleVoteResponse(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return n.handleLeaderMessage(m)
	case MessageAppendResponse:
		n.handleAppendResponse(m)
	case MessageHeartbeatResponse:
		n.handleHeartbeatResponse(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow()
	}
	return nil
}

// send puts a message into the next Ready, or defers it until the state that it
// depends on is durable. Message.Term defaults to the current term.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	m.Group = n.cfg.Group
	if m.Term == 0 {
		m.Term = n.term
	}
	if !m.needsDurability() {
		n.outbox = append(n.outbox, m)
		return
	}
	switch {
	case n.hasUnsubmitted():
		n.deferred = append(n.deferred, deferredMessage{msg: m, seq: n.writeSeq + 1})
	case n.writeOutstanding:
		n.deferred = append(n.deferred, deferredMessage{msg: m, seq: n.writeSeq})
	default:
		n.sendDurable(m)
	}
}

// sendDurable sends a message that depends on no unsaved state. The replica's
// vote for itself is counted directly.
func (n *Node) sendDurable(m Message) {
	if m.To == n.cfg.ID {
		n.handleVoteResponse(m)
		return
	}
	n.outbox = append(n.outbox, m)
}
