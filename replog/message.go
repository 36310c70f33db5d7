package replog

// MessageType is the type of a Message and determines which of its fields are
// used.
type MessageType uint8

// The types of messages. Every message has From, To, Group and Term.
const (
	// MessagePreVote asks whether the sender would win an election. Term is the
	// term of the proposed election; Index and LogTerm describe the sender's
	// last entry.
	MessagePreVote MessageType = iota + 1
	// MessagePreVoteResponse answers a pre-vote; Reject refuses it.
	MessagePreVoteResponse
	// MessageVote requests a vote. Index and LogTerm describe the candidate's
	// last entry. LeadershipTransfer is set if the leader asked for the
	// election.
	MessageVote
	// MessageVoteResponse answers a vote request; Reject refuses it.
	MessageVoteResponse
	// MessageAppend replicates Entries that follow the entry at Index and
	// LogTerm. It also carries the leader's Commit, and ToLearner.
	MessageAppend
	// MessageAppendResponse acknowledges all entries up to Index as durable. If
	// Reject is set, RejectIndex, HintIndex and HintTerm say why, or LostState
	// does.
	MessageAppendResponse
	// MessageHeartbeat carries ReadRound, and in Commit the commit index
	// limited to the entries that the receiver is known to have. Index is the
	// leader's full commit index, or 0 until that is known to be the group's.
	MessageHeartbeat
	// MessageHeartbeatResponse echoes ReadRound.
	MessageHeartbeatResponse
	// MessageSnapshot carries Snapshot and ToLearner. The receiver answers with
	// a MessageAppendResponse.
	MessageSnapshot
	// MessageTimeoutNow tells the receiver to start an election at once.
	MessageTimeoutNow

	maxMessageType = MessageTimeoutNow
)

// String returns the type's name in lower case.
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

// Message is a message between two replicas. Messages may be lost, delayed,
// duplicated and reordered. The Entries and the Snapshot of a message are
// shared with the Node that created it and must not be modified.
type Message struct {
	// Type determines which of the other fields are used.
	Type MessageType
	// Group identifies the sender's group; a replica of another group rejects
	// the message.
	Group    uint64
	From, To ReplicaID
	Term     uint64

	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64

	// Reject is set if the request is rejected.
	Reject bool
	// RejectIndex is the Index of the rejected MessageAppend.
	RejectIndex uint64
	// HintIndex and HintTerm describe the last entry in the sender's log that
	// may match the leader's log.
	HintIndex uint64
	HintTerm  uint64

	// ReadRound is the number of the heartbeat round that confirms linearizable
	// reads.
	ReadRound uint64
	// LeadershipTransfer is set on vote requests that may depose a live leader
	// because the leader itself asked for the election.
	LeadershipTransfer bool
	// ToLearner is set if the receiver is a learner in the leader's membership.
	ToLearner bool
	// LostState is set on rejections by a replica that the leader regards as a
	// voter and that has no state: it has lost its disk.
	LostState bool

	Snapshot *Snapshot
}

// isWellFormed reports whether the fields are valid for the type. Entries with
// a gap would be saved like others, and the replica could not restart from
// them.
func (m *Message) isWellFormed() bool {
	if m.Type == 0 || m.Type > maxMessageType || m.Type == MessageSnapshot && m.Snapshot == nil {
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

// needsDurability reports whether the message may be sent only once everything
// that this replica has in memory is durable.
func (m *Message) needsDurability() bool {
	switch m.Type {
	case MessageVote, MessageVoteResponse, MessageAppendResponse:
		return true
	}
	return false
}

// isFromLeader reports whether only a leader sends messages of this type.
func (m *Message) isFromLeader() bool {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return true
	}
	return false
}
