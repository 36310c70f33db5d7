package replog

// ProgressState is the flow control state of the leader's replication to a
// member.
type ProgressState uint8

// The flow control states.
const (
	// ProgressProbe sends one message at a time until the last matching entry
	// is known.
	ProgressProbe ProgressState = iota
	// ProgressReplicate pipelines messages without waiting for responses.
	ProgressReplicate
	// ProgressSnapshot sends no entries until a snapshot is acknowledged.
	ProgressSnapshot
)

// String returns the state's name in lower case.
func (s ProgressState) String() string {
	names := [...]string{"probe", "replicate", "snapshot"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Progress is the leader's view of the replication to one member.
type Progress struct {
	// Match is the index of the last entry that is known to be durable on the
	// member and equal to the leader's (matchIndex in the Raft paper).
	Match uint64
	// Next is the index of the next entry to send (nextIndex in the Raft
	// paper).
	Next  uint64
	State ProgressState
	// TicksSinceResponse is the time since the member's last response, or since
	// this replica became leader. For the former leader it is the time since that
	// was last heard from.
	TicksSinceResponse int
	// Leaving is set for an election timeout after the member has said that it is about to
	// stop. A learner may replace it at once: it may be gone for good.
	Leaving bool
	// leavingTicks is the rest of that time.
	leavingTicks int
	// LostState is set if the member is a voter and its last response said that
	// it has no state. Its disk is lost: it has to be removed and to join again
	// under a new ReplicaID.
	LostState bool

	// KeepsUp is set while the member acknowledges the last entry of the log within an
	// election timeout. This is the criterion for promotions in section 4.2.1 of the Raft
	// dissertation: it measures rounds, each of which ends when the entry that was the last
	// one at its start is acknowledged.
	KeepsUp bool
	// roundTarget is the entry that ends the present round, roundTicks its duration so far.
	roundTarget uint64
	roundTicks  int

	// probeSent is set while a probe is in flight.
	probeSent bool
	// inflight holds the last index of each append that is not yet
	// acknowledged.
	inflight []uint64
	// snapshotIndex and snapshotTicks are used only in ProgressSnapshot.
	snapshotIndex uint64
	snapshotTicks int
	// sentCommit is the last commit index sent.
	sentCommit uint64
	// ackedReadRound is the last heartbeat round that the member has confirmed.
	ackedReadRound uint64
}

// HasCaughtUp reports whether the member has all committed entries or keeps up with the
// leader. Under constant load, a member that works is always a little behind.
func (p *Progress) HasCaughtUp(commit uint64) bool { return p.Match >= commit || p.KeepsUp }

// tickLeave ends Leaving in time: a member that was restarted is back by then.
func (p *Progress) tickLeave() {
	p.leavingTicks = max(0, p.leavingTicks-1)
	p.Leaving = p.leavingTicks > 0
}

// tickRound advances the present round by a tick, and starts the next one if it has ended.
func (p *Progress) tickRound(lastIndex uint64, electionTicks int) {
	p.roundTicks++
	if p.roundTicks > electionTicks {
		p.KeepsUp = false
	}
	if p.Match >= p.roundTarget {
		p.KeepsUp = p.roundTicks <= electionTicks
		p.roundTarget, p.roundTicks = lastIndex, 0
	}
}

func (p *Progress) becomeProbe() {
	p.Next = p.Match + 1
	p.State = ProgressProbe
	p.probeSent = false
	p.inflight = nil
}

func (p *Progress) becomeReplicate() {
	p.State = ProgressReplicate
	p.Next = p.Match + 1
	p.inflight = nil
}

func (p *Progress) becomeSnapshot(index uint64) {
	p.State = ProgressSnapshot
	p.snapshotIndex = index
	p.snapshotTicks = 0
	p.inflight = nil
}

// isPaused reports whether flow control forbids to send another append.
func (p *Progress) isPaused(maxInflight int) bool {
	switch p.State {
	case ProgressProbe:
		return p.probeSent
	case ProgressReplicate:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// recordSent records an append of n entries, the last of which has the index
// last.
func (p *Progress) recordSent(last uint64, n int) {
	if p.State == ProgressProbe {
		p.probeSent = true
		return
	}
	if n > 0 {
		p.Next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// recordAck records an acknowledgement and reports whether it advances Match.
func (p *Progress) recordAck(index uint64) bool {
	p.Next = max(p.Next, index+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.Match {
		return false
	}
	p.Match = index
	return true
}

// recordReject records the rejection of an append that follows the entry at
// index, and reports whether it is current. next is the index to continue from.
func (p *Progress) recordReject(index, next uint64) bool {
	if p.State == ProgressReplicate {
		if index <= p.Match {
			return false
		}
		p.becomeProbe()
		return true
	}
	if p.State == ProgressSnapshot || p.Next != index+1 {
		return false
	}
	p.Next = max(min(index, next), p.Match+1)
	p.probeSent = false
	return true
}
