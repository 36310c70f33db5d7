package replog

// MessageType tells which fields of a Message have a meaning.
type MessageType uint8

// The types of messages. Every message has From, To, Group and Term.
const (
	// MessagePreVote asks whether an election could succeed: Term is the term
	// that the election would have, Index and LogTerm the sender's last entry.
	MessagePreVote MessageType = iota + 1
	// MessagePreVoteResponse answers with Reject.
	MessagePreVoteResponse
	// MessageVote asks for a vote: Index and LogTerm are the sender's last
	// entry. Force is set when the leader itself asked for the election.
	MessageVote
	// MessageVoteResponse answers with Reject.
	MessageVoteResponse
	// MessageAppend carries Entries that follow the entry at Index and LogTerm,
	// the leader's Commit and ToLearner.
	MessageAppend
	// MessageAppendResponse acknowledges all entries up to Index as durable, or
	// has Reject, RejectIndex, HintIndex and HintTerm.
	MessageAppendResponse
	// MessageHeartbeat carries Round, Commit as far as the receiver has the
	// entries, and in Index the leader's commit index: 0 until that is known to be
	// the group's.
	MessageHeartbeat
	// MessageHeartbeatResponse echoes Round.
	MessageHeartbeatResponse
	// MessageSnapshot carries Snapshot and ToLearner. It is answered by a
	// MessageAppendResponse.
	MessageSnapshot
	// MessageTimeoutNow asks the receiver to start an election at once.
	MessageTimeoutNow

	lastMessageType = MessageTimeoutNow
)

// String gives the type's name in lower case.
func (t MessageType) String() string {
	names := [...]string{
		"none", "pre-vote", "pre-vote-response", "vote", "vote-response", "append",
		"append-response", "heartbeat", "heartbeat-response", "snapshot", "timeout-now",
	}
	if int(t) < len(names) {
		return names[t]
	}
	return "unknown"
}

// Message passes between two replicas. Messages may be lost, delayed,
// duplicated and reordered. The Entries and the Snapshot of a message are shared
// with the Node that made it and must not be changed.
type Message struct {
	Type MessageType
	// Group is the group of replicas; messages of another group are refused.
	Group    uint64
	From, To ReplicaID
	Term     uint64

	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64

	// Reject says no to what was asked.
	Reject bool
	// RejectIndex is the Index of the rejected MessageAppend.
	RejectIndex uint64
	// HintIndex and HintTerm name the last entry of the sender that may be equal
	// to the leader's.
	HintIndex uint64
	HintTerm  uint64

	// ReadRound numbers the leader's heartbeats for reads.
	ReadRound uint64
	// LeadershipTransfer is set on votes that may depose a live leader.
	LeadershipTransfer bool
	// ToLearner says that the receiver is a learner in the leader's membership.
	ToLearner bool
	// LostState is set on rejections by a replica without any state that was
	// addressed as a voter: it has lost its disk.
	LostState bool

	Snapshot *Snapshot
}

// wellFormed reports whether the fields fit the type. A log with a gap would be
// saved as it came, and the replica couldn't start from it again.
func (m *Message) wellFormed() bool {
	if m.Type == 0 || m.Type > lastMessageType || m.Type == MessageSnapshot && m.Snapshot == nil {
		return false
	}
	term := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	return true
}

// promises reports whether the message may leave only once all that this
// replica has in memory is durable.
func (m *Message) promises() bool {
	switch m.Type {
	case MessageVote, MessageVoteResponse, MessageAppendResponse:
		return true
	}
	return false
}

func (m *Message) fromLeader() bool {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return true
	}
	return false
}
