package replog

// becomeFollower enters a term as a follower, or steps down within the current
// term.
func (n *Node) becomeFollower(term uint64, leader ReplicaID) {
	n.enterTerm(term)
	n.role = Follower
	n.leader = leader
	n.resetElectionTimer()
	n.progress = nil
	n.transferee = None
	n.uncommitted = 0
	n.abortReads()
}

// enterTerm moves this replica on to a term. It drops the deferred messages of
// the old term. An acknowledgement that waits for its write could otherwise be
// sent after the entries were replaced, or after this replica voted without
// them, and could let the old leader commit entries that the new leader doesn't
// have.
func (n *Node) enterTerm(term uint64) {
	if term == n.term {
		return
	}
	n.term = term
	n.vote = None
	n.deferred = nil
}

// resetElectionTimer restarts the election timer with a new random timeout and
// discards the votes of the previous election.
func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.rand.IntN(n.cfg.ElectionTicks)
	n.votes = nil
}

// campaign starts a pre-vote or an election. A pre-vote changes no term, so
// that it can't disrupt a working leader. leadershipTransfer is set when the
// leader itself asked for the election.
func (n *Node) campaign(role Role, leadershipTransfer bool) {
	n.role = role
	n.leader = None
	n.resetElectionTimer()
	n.votes = make(map[ReplicaID]bool)
	if role == PreCandidate {
		n.requestVotes(Message{Type: MessagePreVote, Term: n.term + 1})
		n.countVote(n.cfg.ID, true)
		return
	}
	n.enterTerm(n.term + 1)
	n.vote = n.cfg.ID
	n.requestVotes(Message{Type: MessageVote, Term: n.term, LeadershipTransfer: leadershipTransfer})
	// The replica's own vote counts only once it is durable.
	n.send(Message{Type: MessageVoteResponse, To: n.cfg.ID, Term: n.term})
}

// requestVotes sends a vote or pre-vote request to all other voters.
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

// countVote records a response and ends the current round once a quorum has
// granted or rejected it.
func (n *Node) countVote(from ReplicaID, granted bool) {
	n.votes[from] = granted
	ms := n.members.current()
	switch {
	case ms.hasQuorum(func(id ReplicaID) bool { return n.votes[id] }):
		n.handleVoteQuorum()
	case ms.hasQuorum(func(id ReplicaID) bool { v, ok := n.votes[id]; return ok && !v }):
		n.becomeFollower(n.term, None)
	}
}

// handleVoteQuorum moves a pre-candidate on to the election and a candidate on
// to leadership.
func (n *Node) handleVoteQuorum() {
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

// becomeLeader starts leadership with a no-op entry, whose commitment tells the
// leader which entries are committed.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.resetElectionTimer()
	n.uncommitted = 0
	n.reads = readQueue{}
	n.progress = make(map[ReplicaID]*Progress)
	n.syncProgress(n.log.lastIndex() + 1)
	if former := n.progress[n.lastLeader]; former != nil {
		former.TicksSinceResponse = n.ticksSinceLastLeader
	}
	n.termStart = n.appendEntry(EntryNoOp, nil).Index
}

// inLeaderLease reports whether this replica heard from a leader within the
// election timeout, in which case it ignores requests for votes. Without this
// check, a replica that only fails to hear the leader, or that was removed and
// doesn't know it, could depose the leader again and again.
func (n *Node) inLeaderLease() bool {
	return n.leader != None && n.electionElapsed < n.cfg.ElectionTicks
}

// handleVoteRequest answers a pre-vote or a vote request. A vote is granted
// only to a candidate whose log is at least as up-to-date as this one.
func (n *Node) handleVoteRequest(m Message) {
	granted := n.canGrantVote(m) && n.log.upToDate(m.Index, m.LogTerm) && !n.hasNoState()
	if m.Type == MessagePreVote {
		n.respondToPreVote(m, granted)
		return
	}
	if granted {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.send(Message{Type: MessageVoteResponse, To: m.From, Term: n.term, Reject: !granted})
}

// respondToPreVote answers a pre-vote. A granted response carries the term of
// the proposed election.
func (n *Node) respondToPreVote(m Message, granted bool) {
	r := Message{Type: MessagePreVoteResponse, To: m.From, Term: n.term, Reject: !granted}
	if granted {
		r.Term = m.Term
	}
	n.send(r)
}

// canGrantVote reports whether this replica's term, vote and disk allow it to
// grant a request; the candidate's log is checked separately.
func (n *Node) canGrantVote(m Message) bool {
	if m.Type == MessagePreVote && n.isDiskStalled() {
		// A vote in the election itself would have to wait for the stalled
		// disk.
		return false
	}
	if m.Type == MessagePreVote && m.Term > n.term {
		return !n.hasElectionPriorityOver(m)
	}
	return n.vote == m.From || n.vote == None && n.leader == None
}

// hasElectionPriorityOver breaks ties between simultaneous pre-votes: it
// reports whether this replica started a pre-vote for the same election in the
// current tick, has the same last entry and has the higher ID. If both
// pre-votes were granted, both replicas would vote for themselves, neither
// would win, and clients would wait for one more election timeout. The priority
// ends with the tick, so that a replica whose messages are lost doesn't delay
// the others.
func (n *Node) hasElectionPriorityOver(m Message) bool {
	return n.role == PreCandidate && n.electionElapsed == 0 && n.cfg.ID > m.From &&
		m.Index == n.log.lastIndex() && m.LogTerm == n.log.lastTerm()
}

// handleVoteResponse counts a response that belongs to the current pre-vote or
// election and ignores all others.
func (n *Node) handleVoteResponse(m Message) {
	expected := m.Type == MessageVoteResponse && n.role == Candidate ||
		m.Type == MessagePreVoteResponse && n.role == PreCandidate
	if m.Type == MessagePreVoteResponse && !m.Reject && m.Term != n.term+1 {
		return
	}
	if expected {
		n.countVote(m.From, !m.Reject)
	}
}

// handleTimeoutNow starts an election at once, without a pre-vote, because the
// leader transfers its leadership to this replica.
func (n *Node) handleTimeoutNow() {
	if n.role == Follower && n.isVoter() {
		n.campaign(Candidate, true)
	}
}
