package replog

// readQueue holds reads until a quorum has confirmed that this replica was
// still the leader after they arrived. All reads of one Ready share a round of
// heartbeats.
type readQueue struct {
	// round is the last round that was started.
	round uint64
	// waiting reads have no round yet.
	waiting []pendingRead
	// asked reads wait for the answers of their round, in order of rounds.
	asked []pendingRead
}

type pendingRead struct {
	context uint64
	index   uint64
	round   uint64
}

// ReadIndex asks for a linearizable read. The answer comes as a ReadState with
// the same context: after its Index has been applied, the owner's state holds
// everything that was committed when ReadIndex was called. It fails with
// *NotLeader. An answer may never come while no quorum can be reached; when the
// leader steps down, it comes with Aborted.
func (n *Node) ReadIndex(context uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	n.reads.waiting = append(n.reads.waiting, pendingRead{context: context, index: n.log.commit})
	return nil
}

// committedInTerm reports whether an entry of the leader's own term is
// committed. Before, the leader's commit index may be behind the true one.
func (n *Node) committedInTerm() bool { return n.log.commit >= n.termStart }

// admitReads raises the index of reads that came before the leader knew the
// true commit index.
func (n *Node) admitReads() {
	for i := range n.reads.waiting {
		r := &n.reads.waiting[i]
		if r.index < n.termStart {
			r.index = n.log.commit
		}
	}
}

func (n *Node) startReadRound() {
	q := &n.reads
	if len(q.waiting) == 0 || !n.committedInTerm() {
		return
	}
	q.round++
	for _, r := range q.waiting {
		r.round = q.round
		q.asked = append(q.asked, r)
	}
	q.waiting = nil
	n.broadcastHeartbeat()
	n.confirmReads()
}

func (n *Node) confirmReads() {
	q := &n.reads
	for len(q.asked) > 0 && n.roundConfirmed(q.asked[0].round) {
		r := q.asked[0]
		q.asked = q.asked[1:]
		n.readStates = append(n.readStates, ReadState{RequestID: r.context, Index: r.index})
	}
}

func (n *Node) roundConfirmed(round uint64) bool {
	return n.members.current().hasQuorum(func(id ReplicaID) bool {
		return id == n.cfg.ID || n.progress[id].round >= round
	})
}

// abortReads answers all reads when leadership ends.
func (n *Node) abortReads() {
	for _, r := range append(n.reads.asked, n.reads.waiting...) {
		n.readStates = append(n.readStates, ReadState{RequestID: r.context, Aborted: true})
	}
	n.reads = readQueue{}
}
