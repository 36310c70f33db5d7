package replog

// Step takes in a message. It fails with *BadMessage or *BadEncoding if the
// message is not for this replica or not well formed, and with *Inconsistent if the group has broken its promises and
// this replica must be stopped.
func (n *Node) Step(m Message) error {
	if !n.addressed(m) || !m.wellFormed() {
		return &InvalidMessageError{Type: m.Type, From: m.From, To: m.To, Group: m.Group}
	}
	if n.ignores(m) {
		return nil
	}
	if m.Term < n.term {
		n.answerOldTerm(m)
		return nil
	}
	if m.Term > n.term {
		n.takeNewTerm(m)
	}
	return n.handle(m)
}

func (n *Node) addressed(m Message) bool {
	return m.To == n.cfg.ID && m.Group == n.cfg.Group && m.From != None && m.From != n.cfg.ID
}

// ignores reports whether a message must have no effect, also when its term is
// newer.
func (n *Node) ignores(m Message) bool {
	switch m.Type {
	case MessagePreVote, MessageVote:
		return m.Term > n.term && !m.LeadershipTransfer && n.underLease()
	case MessageAppendResponse, MessageHeartbeatResponse:
		// A removed replica may have a newer term; it can't depose the leader.
		return n.role == Leader && n.progress[m.From] == nil
	}
	return false
}

// answerOldTerm tells a leader or candidate of an older term about this one, so
// that a replica whose term ran ahead while it was cut off is not left out for
// ever.
func (n *Node) answerOldTerm(m Message) {
	switch {
	case m.fromLeader():
		n.send(Message{Type: MessageAppendResponse, To: m.From, Term: n.term, Reject: true})
	case m.Type == MessagePreVote:
		n.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: n.term, Reject: true})
	}
}

func (n *Node) takeNewTerm(m Message) {
	switch {
	case m.Type == MessagePreVote:
	case m.Type == MessagePreVoteResponse && !m.Reject:
		// The term of a granted pre-vote is the one that was asked for.
	case m.fromLeader():
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, None)
	}
}

func (n *Node) handle(m Message) error {
	switch m.Type {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.handleVoteResponse(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return n.handleFromLeader(m)
	case MessageAppendResponse:
		n.handleAppendResponse(m)
	case MessageHeartbeatResponse:
		n.handleHeartbeatResponse(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow()
	}
	return nil
}

// send puts a message into the next Ready, or holds it until what it promises
// is durable. Message.Term defaults to the current term.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	m.Group = n.cfg.Group
	if m.Term == 0 {
		m.Term = n.term
	}
	if !m.promises() {
		n.out = append(n.out, m)
		return
	}
	switch {
	case n.hasUnsaved():
		n.held = append(n.held, heldMessage{msg: m, seq: n.seq + 1})
	case n.writing:
		n.held = append(n.held, heldMessage{msg: m, seq: n.seq})
	default:
		n.release(m)
	}
}

func (n *Node) release(m Message) {
	if m.To == n.cfg.ID {
		n.handleVoteResponse(m)
		return
	}
	n.out = append(n.out, m)
}
