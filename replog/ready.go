package replog

// hasUnsubmitted reports whether any state is not yet submitted for saving.
func (n *Node) hasUnsubmitted() bool {
	return n.term != n.submittedTerm || n.vote != n.submittedVote || n.log.hasUnsubmitted()
}

func (n *Node) softState() SoftState {
	return SoftState{Leader: n.leader, Role: n.role, UpToDate: n.staleness.within(n.cfg.ElectionTicks)}
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.replicateAll()
	return len(n.outbox) > 0 || len(n.readStates) > 0 ||
		n.softState() != n.prevSoftState ||
		n.log.lastApplicable() > n.log.applied ||
		n.hasUnsubmitted() && !n.writeOutstanding
}

// Ready returns the work that has accumulated since the last call. The
// application has to carry out every Ready, in order, and pass it to Advance; a
// Ready with nothing to save may skip Advance.
func (n *Node) Ready() Ready {
	n.replicateAll()
	rd := Ready{Messages: n.outbox, ReadStates: n.readStates}
	n.outbox = nil
	n.readStates = nil
	if soft := n.softState(); soft != n.prevSoftState {
		n.prevSoftState = soft
		rd.SoftState = &soft
	}
	if n.hasUnsubmitted() && !n.writeOutstanding {
		n.submitWrites(&rd)
	}
	if hi := n.log.lastApplicable(); hi > n.log.applied {
		rd.Committed = n.log.slice(n.log.applied, hi)
		n.log.applied = hi
		n.staleness.observeApplied(hi)
	}
	return rd
}

// submitWrites adds everything that is not yet submitted for saving to a Ready.
func (n *Node) submitWrites(rd *Ready) {
	n.writeSeq++
	n.writeOutstanding = true
	n.writeElapsed = 0
	rd.seq = n.writeSeq
	rd.MustSync = true
	rd.HardState = &HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	n.submittedTerm = n.term
	n.submittedVote = n.vote
	if n.log.snapshotUnsubmitted {
		s := n.log.snapshot
		rd.Snapshot = &s
		n.log.snapshotUnsubmitted = false
	}
	rd.Entries = n.log.slice(n.log.submitted, n.log.lastIndex())
	n.log.submitted = n.log.lastIndex()
	n.writeEnd = Position{Term: n.log.lastTerm(), Index: n.log.lastIndex()}
}

// Advance reports that the writes of rd are durable. Messages that were
// deferred until then come with the next Ready.
func (n *Node) Advance(rd Ready) {
	if rd.seq == 0 || rd.seq != n.writeSeq || !n.writeOutstanding {
		return
	}
	n.writeOutstanding = false
	n.log.markStable(n.writeEnd)
	deferred := n.deferred
	n.deferred = nil
	for _, d := range deferred {
		if d.seq <= rd.seq {
			n.sendDurable(d.msg)
		} else {
			n.deferred = append(n.deferred, d)
		}
	}
	if n.role == Leader {
		n.progress[n.cfg.ID].Match = n.log.stable
		n.maybeCommit()
	}
}
