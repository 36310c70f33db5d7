package replog

import "slices"

// appendOwn appends an entry of the leader's term. It is sent with the next
// Ready, together with all others of that time.
func (n *Node) appendOwn(kind EntryKind, data []byte) Position {
	e := Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(e)
	n.uncommitted += e.size()
	return Position{Term: e.Term, Index: e.Index}
}

// updateProgress follows the latest membership. New members are sent the entry
// at next first.
func (n *Node) updateProgress(next uint64) {
	ms := n.members.current()
	for _, m := range ms {
		if n.progress[m.Replica] == nil {
			n.progress[m.Replica] = &Progress{Next: next}
		}
	}
	for id := range n.progress {
		if _, ok := ms.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	n.progress[n.cfg.ID].Match = n.log.stable
}

// peers are the members but for this replica, in a fixed order.
func (n *Node) peers() []ReplicaID {
	var ids []ReplicaID
	for _, m := range n.members.current() {
		if m.Replica != n.cfg.ID {
			ids = append(ids, m.Replica)
		}
	}
	return ids
}

// flush makes the messages that bring the others up to date.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	for _, id := range n.peers() {
		n.replicate(id)
	}
	n.startReadRound()
}

func (n *Node) replicate(id ReplicaID) {
	p := n.progress[id]
	for p.Next <= n.log.lastIndex() && !p.paused(n.cfg.MaxInflightMessages) {
		n.sendAppend(id, p)
	}
	if p.State == ProgressReplicate && p.sentCommit < n.log.commit && !p.paused(n.cfg.MaxInflightMessages) {
		n.sendAppend(id, p)
	}
}

func (n *Node) sendAppend(id ReplicaID, p *Progress) {
	prev := p.Next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return
	}
	es := n.log.from(p.Next, n.cfg.MaxBatchBytes)
	n.send(Message{
		Type: MessageAppend, To: id,
		Index: prev, LogTerm: term, Entries: es, Commit: n.log.commit,
		ToLearner: !n.members.current().IsVoter(id),
	})
	p.sent(prev+uint64(len(es)), len(es))
	p.sentCommit = n.log.commit
}

func (n *Node) sendSnapshot(id ReplicaID, p *Progress) {
	s := n.log.snapshot
	p.becomeSnapshot(s.Index)
	n.send(Message{
		Type: MessageSnapshot, To: id, Snapshot: &s,
		ToLearner: !n.members.current().IsVoter(id),
	})
}

// tickSnapshots sends snapshots again that were lost on their way.
func (n *Node) tickSnapshots() {
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

func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	for _, id := range n.peers() {
		n.send(Message{
			Type: MessageHeartbeat, To: id,
			Commit: min(n.log.commit, n.progress[id].Match), ReadRound: n.reads.round,
			Index: n.confirmedCommit(),
		})
	}
}

func (n *Node) handleHeartbeatResponse(m Message) {
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.TicksSinceResponse = 0
	p.round = max(p.round, m.ReadRound)
	n.confirmReads()
	n.resumeAfterLoss(m.From, p)
}

// resumeAfterLoss notices lost messages. A lost last message is followed by
// nothing that the replica could reject, so that only the heartbeat's answer
// tells that it still lacks entries.
func (n *Node) resumeAfterLoss(id ReplicaID, p *Progress) {
	p.probeSent = false
	if len(p.inflight) >= n.cfg.MaxInflightMessages {
		p.inflight = p.inflight[1:]
	}
	if p.State == ProgressReplicate && p.Match < n.log.lastIndex() && p.Next > n.log.lastIndex() {
		n.sendAppend(id, p)
	}
}

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
		p.rejected(m.RejectIndex, n.nextAfterHint(m))
	case m.Index <= n.log.lastIndex():
		n.handleAcknowledgement(m, p)
	}
}

// nextAfterHint finds where the replica's log and this one may still be equal.
func (n *Node) nextAfterHint(m Message) uint64 {
	if m.HintIndex < n.log.base.Index {
		return m.HintIndex + 1
	}
	return n.log.hint(m.HintIndex, m.HintTerm).Index + 1
}

func (n *Node) handleAcknowledgement(m Message, p *Progress) {
	news := p.acknowledged(m.Index)
	switch {
	case p.State == ProgressProbe && (news || m.Index == p.Match):
		p.becomeReplicate()
	case p.State == ProgressSnapshot && p.Match >= p.snapshotIndex:
		p.becomeReplicate()
	}
	if !news {
		return
	}
	n.maybeCommit()
	n.continueTransfer(m.From)
}

// maybeCommit moves the commit index to what a quorum has durably. Only entries
// of the own term are counted: an older one on a quorum can still be replaced by
// a leader that doesn't have it, and becomes safe with a newer entry after it.
func (n *Node) maybeCommit() {
	index := n.quorumMatch()
	if !n.log.matches(index, n.term) || !n.log.commitTo(index) {
		return
	}
	n.uncommitted = 0
	for _, e := range n.log.slice(n.log.commit, n.log.lastIndex()) {
		n.uncommitted += e.size()
	}
	n.admitReads()
}

func (n *Node) quorumMatch() uint64 {
	var matches []uint64
	for _, id := range n.members.current().Voters() {
		matches = append(matches, n.progress[id].Match)
	}
	slices.Sort(matches)
	return matches[len(matches)-n.members.current().Quorum()]
}
