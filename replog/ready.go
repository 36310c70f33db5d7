package replog

// hasUnsaved reports whether there is something that no write was handed out
// for yet.
func (n *Node) hasUnsaved() bool {
	return n.term != n.handedTerm || n.vote != n.handedVote || n.log.hasUnsaved()
}

func (n *Node) softState() SoftState {
	return SoftState{Leader: n.leader, Role: n.role, UpToDate: n.freshness.current(n.cfg.ElectionTicks)}
}

// HasReady reports whether Ready would return something to do.
func (n *Node) HasReady() bool {
	n.flush()
	return len(n.out) > 0 || len(n.readStates) > 0 ||
		n.softState() != n.lastSoft ||
		n.log.applicable() > n.log.applied ||
		n.hasUnsaved() && !n.writing
}

// Ready returns what has to be done since the last call. Each one has to be
// carried out, in order, and given to Advance; one that has nothing to save may
// be given to Advance or not.
func (n *Node) Ready() Ready {
	n.flush()
	rd := Ready{Messages: n.out, ReadStates: n.readStates}
	n.out = nil
	n.readStates = nil
	if soft := n.softState(); soft != n.lastSoft {
		n.lastSoft = soft
		rd.SoftState = &soft
	}
	if n.hasUnsaved() && !n.writing {
		n.handOutWrites(&rd)
	}
	if hi := n.log.applicable(); hi > n.log.applied {
		rd.Committed = n.log.slice(n.log.applied, hi)
		n.log.applied = hi
		n.freshness.applied(hi)
	}
	return rd
}

func (n *Node) handOutWrites(rd *Ready) {
	n.seq++
	n.writing = true
	n.writeElapsed = 0
	rd.seq = n.seq
	rd.MustSync = true
	rd.HardState = &HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	n.handedTerm = n.term
	n.handedVote = n.vote
	if n.log.snapshotPending {
		s := n.log.snapshot
		rd.Snapshot = &s
		n.log.snapshotPending = false
	}
	rd.Entries = n.log.slice(n.log.handed, n.log.lastIndex())
	n.log.handed = n.log.lastIndex()
	n.savedAt = Position{Term: n.log.lastTerm(), Index: n.log.lastIndex()}
}

// Advance tells that the writes of rd are durable. Messages that waited for
// them come with the next Ready.
func (n *Node) Advance(rd Ready) {
	if rd.seq == 0 || rd.seq != n.seq || !n.writing {
		return
	}
	n.writing = false
	n.log.savedTo(n.savedAt)
	held := n.held
	n.held = nil
	for _, h := range held {
		if h.seq <= rd.seq {
			n.release(h.msg)
		} else {
			n.held = append(n.held, h)
		}
	}
	if n.role == Leader {
		n.progress[n.cfg.ID].Match = n.log.stable
		n.maybeCommit()
	}
}
