package replog

// becomeFollower enters a term, or leaves leadership or candidacy in it.
func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	n.enterTerm(term)
	n.role = Follower
	n.leader = leader
	n.resetElection()
	n.progress = nil
	n.transferee = None
	n.uncommitted = 0
	n.abortReads()
}

// enterTerm moves on to a term. Held messages of the old one are dropped: an
// acknowledgement that waits for its write could otherwise leave after the
// entries were replaced or after this replica voted without them, and let an old
// leader commit what the new one doesn't have.
func (n *Node) enterTerm(term uint64) {
	if term == n.term {
		return
	}
	n.term = term
	n.vote = None
	n.held = nil
}

func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.rand.IntN(n.cfg.ElectionTicks)
	n.votes = nil
}

// campaign starts a pre-vote, which changes no term and so can't disturb a
// working leader, or the election itself. force is set when the leader asked
// for it.
func (n *Node) campaign(role Role, force bool) {
	n.role = role
	n.leader = None
	n.resetElection()
	n.votes = make(map[ReplicaID]bool)
	if role == PreCandidate {
		n.requestVotes(Message{Type: MessagePreVote, Term: n.term + 1})
		n.countVote(n.cfg.ID, true)
		return
	}
	n.enterTerm(n.term + 1)
	n.vote = n.cfg.ID
	n.requestVotes(Message{Type: MessageVote, Term: n.term, LeadershipTransfer: force})
	// The own vote counts once it is durable.
	n.send(Message{Type: MessageVoteResponse, To: n.cfg.ID, Term: n.term})
}

func (n *Node) requestVotes(m Message) {
	m.Index = n.log.lastIndex()
	m.LogTerm = n.log.lastTerm()
	for _, id := range n.members.current().Voters() {
		if id != n.cfg.ID {
			m.To = id
			n.send(m)
		}
	}
}

func (n *Node) countVote(from ReplicaID, granted bool) {
	n.votes[from] = granted
	ms := n.members.current()
	switch {
	case ms.hasQuorum(func(id ReplicaID) bool { return n.votes[id] }):
		n.electionWon()
	case ms.hasQuorum(func(id ReplicaID) bool { v, ok := n.votes[id]; return ok && !v }):
		n.becomeFollower(n.term, None)
	}
}

func (n *Node) electionWon() {
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.resetElection()
	n.uncommitted = 0
	n.reads = readQueue{}
	n.progress = make(map[ReplicaID]*Progress)
	n.updateProgress(n.log.lastIndex() + 1)
	n.termStart = n.appendOwn(EntryNoOp, nil).Index
}

// underLease reports whether a leader was heard of so recently that an election
// is not called for. Without it, a replica that only fails to hear the leader,
// or was removed and doesn't know it, could depose the leader again and again.
func (n *Node) underLease() bool {
	return n.leader != None && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) handleVoteRequest(m Message) {
	granted := n.mayVote(m) && n.log.upToDate(m.Index, m.LogTerm) && !n.fresh()
	if m.Type == MessagePreVote {
		n.answerPreVote(m, granted)
		return
	}
	if granted {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(Message{Type: MessageVoteResponse, To: m.From, Term: n.term, Reject: !granted})
}

func (n *Node) answerPreVote(m Message, granted bool) {
	r := Message{Type: MessagePreVoteResponse, To: m.From, Term: n.term, Reject: !granted}
	if granted {
		r.Term = m.Term
	}
	n.send(r)
}

func (n *Node) mayVote(m Message) bool {
	if m.Type == MessagePreVote && n.stalled() {
		// The vote itself would wait for the disk.
		return false
	}
	if m.Type == MessagePreVote && m.Term > n.term {
		return !n.precedes(m)
	}
	return n.vote == m.From || n.vote == None && n.leader == None
}

// precedes reports whether this replica asks for the same election within the
// same tick and has the higher ID. If both were granted, both would vote for
// themselves, none would win, and callers would wait for one more election
// timeout. It ends with the tick, so that a replica that nobody hears doesn't
// hold the others up.
func (n *Node) precedes(m Message) bool {
	return n.role == PreCandidate && n.electionElapsed == 0 && n.cfg.ID > m.From &&
		m.Index == n.log.lastIndex() && m.LogTerm == n.log.lastTerm()
}

func (n *Node) handleVoteResponse(m Message) {
	waiting := m.Type == MessageVoteResponse && n.role == Candidate ||
		m.Type == MessagePreVoteResponse && n.role == PreCandidate
	if m.Type == MessagePreVoteResponse && !m.Reject && m.Term != n.term+1 {
		return
	}
	if waiting {
		n.countVote(m.From, !m.Reject)
	}
}

func (n *Node) handleTimeoutNow() {
	if n.role == Follower && n.isVoter() {
		n.campaign(Candidate, true)
	}
}
