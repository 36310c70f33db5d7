package replog

// ProgressState is how the leader sends entries to a replica.
type ProgressState uint8

// The states.
const (
	// ProgressProbe sends one message at a time until the replica's last common
	// entry is known.
	ProgressProbe ProgressState = iota
	// ProgressReplicate sends messages without waiting for answers.
	ProgressReplicate
	// ProgressSnapshot sends nothing until a snapshot is acknowledged.
	ProgressSnapshot
)

// String gives the state's name in lower case.
func (s ProgressState) String() string {
	names := [...]string{"probe", "replicate", "snapshot"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Progress is what the leader knows about one replica.
type Progress struct {
	// Match is the last entry known to be durable there and equal to the
	// leader's.
	Match uint64
	// Next is the next entry to send.
	Next  uint64
	State ProgressState
	// TicksSinceResponse is the time since the replica's last answer, or since this
	// replica became leader.
	TicksSinceResponse int
	// LostState is set if the replica's last answer said that it has no state though
	// it is a voter: its disk is lost, and it has to be removed and to join
	// again under a new ReplicaID.
	LostState bool

	// probeSent is set while a probe is on its way.
	probeSent bool
	// inflight are the last indexes of the messages not yet acknowledged.
	inflight []uint64
	// snapshotIndex and snapshotTicks belong to ProgressSnapshot.
	snapshotIndex uint64
	snapshotTicks int
	// sentCommit is the last commit index sent.
	sentCommit uint64
	// round is the last heartbeat round that the replica answered.
	round uint64
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

func (p *Progress) paused(maxInflight int) bool {
	switch p.State {
	case ProgressProbe:
		return p.probeSent
	case ProgressReplicate:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// sent records a message whose entries end at last; n is their number.
func (p *Progress) sent(last uint64, n int) {
	if p.State == ProgressProbe {
		p.probeSent = true
		return
	}
	if n > 0 {
		p.Next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acknowledged takes over an acknowledgement and reports whether it was news.
func (p *Progress) acknowledged(index uint64) bool {
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

// rejected takes over the rejection of a message that followed the entry at
// index, and reports whether it was news. next is where to try again.
func (p *Progress) rejected(index, next uint64) bool {
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
