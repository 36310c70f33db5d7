package replog

// readQueue implements the read-index protocol for linearizable reads: it holds
// each read until a quorum has confirmed that this replica was still the leader
// after the read arrived. All reads that arrive before one Ready share a
// heartbeat round.
type readQueue struct {
	// round is the number of the last round that was started.
	round uint64
	// queued reads are not yet assigned to a round.
	queued []pendingRead
	// awaitingQuorum holds the reads whose round is not confirmed yet, in the
	// order of rounds.
	awaitingQuorum []pendingRead
}

// pendingRead is a read that a quorum has not confirmed yet.
type pendingRead struct {
	requestID uint64
	index     uint64
	round     uint64
}

// ReadIndex requests a linearizable read. The result is a ReadState with the
// same requestID: once its Index is applied, the application's state includes
// everything that was committed when ReadIndex was called. ReadIndex fails with
// *NotLeaderError. There is no result while no quorum can be reached; when the
// leader steps down, the result is Aborted.
func (n *Node) ReadIndex(requestID uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	n.reads.queued = append(n.reads.queued, pendingRead{requestID: requestID, index: n.log.commit})
	return nil
}

// hasCommittedInTerm reports whether an entry of the leader's own term is
// committed. Before that, the leader's commit index may be behind the group's.
func (n *Node) hasCommittedInTerm() bool { return n.log.commit >= n.termStart }

// raiseReadIndexes raises the index of reads that arrived before the leader
// knew the group's commit index.
func (n *Node) raiseReadIndexes() {
	for i := range n.reads.queued {
		r := &n.reads.queued[i]
		if r.index < n.termStart {
			r.index = n.log.commit
		}
	}
}

// startReadRound assigns the queued reads to a new heartbeat round.
func (n *Node) startReadRound() {
	q := &n.reads
	if len(q.queued) == 0 || !n.hasCommittedInTerm() {
		return
	}
	q.round++
	for _, r := range q.queued {
		r.round = q.round
		q.awaitingQuorum = append(q.awaitingQuorum, r)
	}
	q.queued = nil
	n.broadcastHeartbeat()
	n.releaseConfirmedReads()
}

// releaseConfirmedReads completes the reads whose round a quorum has confirmed.
func (n *Node) releaseConfirmedReads() {
	q := &n.reads
	for len(q.awaitingQuorum) > 0 && n.isRoundConfirmed(q.awaitingQuorum[0].round) {
		r := q.awaitingQuorum[0]
		q.awaitingQuorum = q.awaitingQuorum[1:]
		n.readStates = append(n.readStates, ReadState{RequestID: r.requestID, Index: r.index})
	}
}

func (n *Node) isRoundConfirmed(round uint64) bool {
	return n.members.current().hasQuorum(func(id ReplicaID) bool {
		return id == n.cfg.ID || n.progress[id].ackedReadRound >= round
	})
}

// abortReads fails all pending reads when leadership ends.
func (n *Node) abortReads() {
	for _, r := range append(n.reads.awaitingQuorum, n.reads.queued...) {
		n.readStates = append(n.readStates, ReadState{RequestID: r.requestID, Aborted: true})
	}
	n.reads = readQueue{}
}
