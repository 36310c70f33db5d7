package replog

import "slices"

// appendEntry appends an entry of the leader's term. It is sent with the next
// Ready, batched with all other entries appended until then.
func (n *Node) appendEntry(kind EntryKind, data []byte) Position {
	e := Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(e)
	n.uncommitted += e.size()
	return Position{Term: e.Term, Index: e.Index}
}

// syncProgress makes the progress map match the latest membership. next is the
// index of the first entry to send to new members.
func (n *Node) syncProgress(next uint64) {
	ms := n.members.current()
	for _, m := range ms {
		if n.progress[m.Replica] == nil {
			n.progress[m.Replica] = &Progress{Next: next, roundTarget: next}
		}
	}
	for id := range n.progress {
		if _, ok := ms.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	n.progress[n.cfg.ID].Match = n.log.stable
}

// otherMembers returns all members but this replica, in a fixed order.
func (n *Node) otherMembers() []ReplicaID {
	var ids []ReplicaID
	for _, m := range n.members.current() {
		if m.Replica != n.cfg.ID {
			ids = append(ids, m.Replica)
		}
	}
	return ids
}

// replicateAll queues the messages that bring all other members up to date and
// starts a heartbeat round for queued reads.
func (n *Node) replicateAll() {
	if n.role != Leader {
		return
	}
	for _, id := range n.otherMembers() {
		n.replicateTo(id)
	}
	n.startReadRound()
}

// replicateTo sends a member the entries and the commit index that it lacks, as
// far as its flow control allows.
func (n *Node) replicateTo(id ReplicaID) {
	p := n.progress[id]
	for p.Next <= n.log.lastIndex() && !p.isPaused(n.cfg.MaxInflightMessages) {
		n.sendAppend(id, p)
	}
	if p.State == ProgressReplicate && p.sentCommit < n.log.commit && !p.isPaused(n.cfg.MaxInflightMessages) {
		n.sendAppend(id, p)
	}
}

// sendAppend sends the next batch of entries, or a snapshot if the entry before
// them is already compacted.
func (n *Node) sendAppend(id ReplicaID, p *Progress) {
	prev := p.Next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	es := n.log.entriesFrom(p.Next, n.cfg.MaxBatchBytes)
	n.send(Message{
		Type: MessageAppend, To: id,
		Index: prev, LogTerm: term, Entries: es, Commit: n.log.commit,
		ToLearner: !n.members.current().IsVoter(id),
	})
	p.recordSent(prev+uint64(len(es)), len(es))
	p.sentCommit = n.log.commit
}

// sendSnapshot sends the latest snapshot and pauses the sending of entries.
func (n *Node) sendSnapshot(id ReplicaID, p *Progress) {
	s := n.log.snapshot
	p.becomeSnapshot(s.Index)
	n.send(Message{
		Type: MessageSnapshot, To: id, Snapshot: &s,
		ToLearner: !n.members.current().IsVoter(id),
	})
}

// retryLostSnapshots lets a snapshot be sent again if it is not acknowledged
// within SnapshotTimeoutTicks.
func (n *Node) retryLostSnapshots() {
	for _, p := range n.progress {
		if p.State != ProgressSnapshot {
			continue
		}
		p.snapshotTicks++
		if p.snapshotTicks >= n.cfg.SnapshotTimeoutTicks {
			p.becomeProbe()
		}
	}
}

// broadcastHeartbeat sends a heartbeat to all other members. The commit index
// in it is limited to the entries that the member is known to have.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	for _, id := range n.otherMembers() {
		n.send(Message{
			Type: MessageHeartbeat, To: id,
			Commit: min(n.log.commit, n.progress[id].Match), ReadRound: n.reads.round,
			Index: n.groupCommitIndex(),
		})
	}
}

// handleHeartbeatResponse records a sign of life, releases the reads that a
// quorum has confirmed, and resends lost entries.
func (n *Node) handleHeartbeatResponse(m Message) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.TicksSinceResponse = 0
	p.ackedReadRound = max(p.ackedReadRound, m.ReadRound)
	n.releaseConfirmedReads()
	n.resendAfterLoss(m.From, p)
}

// resendAfterLoss resends entries whose messages were lost. If the last append
// is lost, no later append follows that the replica could reject, so that only
// the heartbeat response shows that the replica still lacks entries.
func (n *Node) resendAfterLoss(id ReplicaID, p *Progress) {
	p.probeSent = false
	if len(p.inflight) >= n.cfg.MaxInflightMessages {
		p.inflight = p.inflight[1:]
	}
	if p.State == ProgressReplicate && p.Match < n.log.lastIndex() && p.Next > n.log.lastIndex() {
		n.sendAppend(id, p)
	}
}

// handleAppendResponse updates the progress of a member with an acknowledgement
// or a rejection.
func (n *Node) handleAppendResponse(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.TicksSinceResponse = 0
	p.LostState = m.LostState
	switch {
	case m.LostState:
	case m.Reject:
		p.recordReject(m.RejectIndex, n.nextAfterHint(m))
	case m.Index <= n.log.lastIndex():
		n.handleAcknowledgement(m, p)
	}
}

// nextAfterHint returns the index after the last entry at which the replica's
// log and this one may still match.
func (n *Node) nextAfterHint(m Message) uint64 {
	if m.HintIndex < n.log.base.Index {
		return m.HintIndex + 1
	}
	return n.log.findConflictByTerm(m.HintIndex, m.HintTerm).Index + 1
}

// handleAcknowledgement advances a member's match index, and with it the commit
// index and a pending leadership transfer.
func (n *Node) handleAcknowledgement(m Message, p *Progress) {
	advanced := p.recordAck(m.Index)
	switch {
	case p.State == ProgressProbe && (advanced || m.Index == p.Match):
		p.becomeReplicate()
	case p.State == ProgressSnapshot && p.Match >= p.snapshotIndex:
		p.becomeReplicate()
	}
	if !advanced {
		return
	}
	n.maybeCommit()
	n.continueTransfer(m.From)
}

// maybeCommit advances the commit index to the highest entry that is durable on
// a quorum. As in section 5.4.2 of the Raft paper, it counts replicas only for
// entries of the current term: an older entry on a quorum can still be replaced
// by a leader that doesn't have it, and becomes safe only with a newer entry
// after it.
func (n *Node) maybeCommit() {
	index := n.quorumMatchIndex()
	if !n.log.matches(index, n.term) || !n.log.commitTo(index) {
		return
	}
	n.uncommitted = 0
	for _, e := range n.log.slice(n.log.commit, n.log.lastIndex()) {
		n.uncommitted += e.size()
	}
	n.raiseReadIndexes()
}

// quorumMatchIndex returns the highest index that is durable on a quorum of
// voters.
func (n *Node) quorumMatchIndex() uint64 {
	var matches []uint64
	for _, id := range n.members.current().Voters() {
		matches = append(matches, n.progress[id].Match)
	}
	slices.Sort(matches)
	return matches[len(matches)-n.members.current().Quorum()]
}
