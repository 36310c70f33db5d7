package replog

import (
	"math/rand/v2"
	"slices"
)

// Node is one replica of a group: the state machine of the Raft algorithm. The
// package comment describes its use.
type Node struct {
	cfg  Config
	rand *rand.Rand

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID
	log    entryLog
	// members is never empty: a replica without state has one empty membership.
	members membershipHistory

	// electionElapsed is the number of ticks since this replica heard from a
	// leader. On the leader, it limits the duration of a leadership transfer.
	electionElapsed int
	// lastLeader is the other replica that led last, and ticksSinceLastLeader the
	// time since this replica heard from it.
	lastLeader           ReplicaID
	ticksSinceLastLeader int
	heartbeatElapsed     int
	electionTimeout      int
	// writeElapsed is the number of ticks since the outstanding write was
	// submitted.
	writeElapsed int
	staleness    staleness

	// votes holds the responses to the current pre-vote or election.
	votes map[ReplicaID]bool

	// The following fields are used only on the leader.
	progress   map[ReplicaID]*Progress
	transferee ReplicaID
	// uncommitted is the size in bytes of the entries that are proposed in this
	// term and not committed.
	uncommitted int
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	reads     readQueue

	outbox     []Message
	deferred   []deferredMessage
	readStates []ReadState
	// submittedTerm and submittedVote are the last term and vote submitted for
	// saving.
	submittedTerm uint64
	submittedVote ReplicaID
	// writeOutstanding is set while the write numbered writeSeq is not durable.
	writeOutstanding bool
	writeSeq         uint64
	// writeEnd is the last log entry as of the outstanding write.
	writeEnd      Position
	prevSoftState SoftState
}

// deferredMessage is a message that is sent once the write numbered seq is
// durable.
type deferredMessage struct {
	msg Message
	seq uint64
}

// NewNode returns a replica that restarts from its persistent state. The
// application has to restore its own state from s.Snapshot.Data; later entries
// that are known to be committed come with the first Ready.
func NewNode(cfg Config, s PersistentState) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	members, err := loadMembershipHistory(s)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:           cfg,
		rand:          rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		term:          s.HardState.Term,
		vote:          s.HardState.Vote,
		submittedTerm: s.HardState.Term,
		submittedVote: s.HardState.Vote,
		log:           newEntryLog(s),
		members:       members,
	}
	n.becomeFollower(n.term, None)
	return n, nil
}

// loadMembershipHistory collects the memberships from the persistent state and
// checks that the entries have no gap.
func loadMembershipHistory(s PersistentState) (membershipHistory, error) {
	h := membershipHistory{{index: s.Snapshot.Index, members: s.Snapshot.Members}}
	for i, e := range s.Entries {
		if e.Index != s.Snapshot.Index+1+uint64(i) {
			return nil, &InvalidConfigError{Field: "Entries", Reason: "have a gap"}
		}
		if e.Kind != EntryMembership {
			continue
		}
		ms, err := DecodeMembers(e.Data)
		if err != nil {
			return nil, err
		}
		h.add(e.Index, ms)
	}
	return h, nil
}

// hasNoState reports whether this replica has no state. Such a replica must not
// vote, since it may have lost a state that it had before.
func (n *Node) hasNoState() bool {
	return n.log.lastIndex() == 0 && len(n.members.current()) == 0
}

func (n *Node) isVoter() bool { return n.members.current().IsVoter(n.cfg.ID) }

// Tick advances the Node's clock by one tick.
func (n *Node) Tick() {
	n.electionElapsed++
	n.ticksSinceLastLeader++
	n.writeElapsed++
	n.staleness.tick()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed < n.electionTimeout {
		return
	}
	if !n.isVoter() || n.isDiskStalled() {
		// This replica doesn't start an election, which would also clear the
		// leader. The leader is cleared here, since a client that relies on
		// this replica would otherwise believe that it still follows a leader.
		n.leader = None
		return
	}
	n.electionElapsed = 0
	n.campaign(PreCandidate, false)
}

// tickLeader advances the leader's timers. The leader steps down if it has lost
// contact with a quorum (check-quorum) or if its disk is stalled.
func (n *Node) tickLeader() {
	n.heartbeatElapsed++
	n.retryLostSnapshots()
	for _, p := range n.progress {
		p.TicksSinceResponse++
		p.tickLeave()
		p.tickRound(n.log.lastIndex(), n.cfg.ElectionTicks)
	}
	if !n.members.current().hasQuorum(n.isRecentlyActive) {
		// An isolated leader notices it here, while the other replicas may
		// already have elected a new leader. Without this check, its clients
		// would wait forever.
		n.becomeFollower(n.term, None)
		return
	}
	if n.isDiskStalled() {
		n.becomeFollower(n.term, None)
		return
	}
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.transferee = None
	}
	n.observeOwnCommit()
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// isDiskStalled reports whether the outstanding write has exceeded
// WriteTimeoutTicks. The heartbeats of such a replica would keep it the leader,
// while it applies nothing and clients wait. It doesn't start elections either:
// it would only raise the term, since its requests for votes wait for the
// write.
func (n *Node) isDiskStalled() bool {
	return n.writeOutstanding && n.writeElapsed >= n.cfg.WriteTimeoutTicks
}

// isRecentlyActive reports whether a replica has responded within the election
// timeout.
func (n *Node) isRecentlyActive(id ReplicaID) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.progress[id]
	return p != nil && p.TicksSinceResponse <= n.cfg.ElectionTicks
}

// Propose appends data to the log and returns the position of the entry. It
// fails with *NotLeaderError, *ProposalDroppedError or *EntryTooLargeError if
// nothing was appended. The entry is committed only when it appears in
// Ready.Committed. Until then it may still be lost, or be committed even though
// this replica loses its leadership.
func (n *Node) Propose(data []byte) (Position, error) {
	if n.role != Leader {
		return Position{}, &NotLeaderError{Leader: n.leader}
	}
	if len(data) > n.cfg.MaxEntryBytes {
		return Position{}, &EntryTooLargeError{Bytes: len(data), Limit: n.cfg.MaxEntryBytes}
	}
	if n.transferee != None || n.uncommitted > n.cfg.MaxUncommittedBytes {
		return Position{}, &ProposalDroppedError{Uncommitted: n.uncommitted, Transferee: n.transferee}
	}
	return n.appendEntry(EntryCommand, data), nil
}

// TransferLeadership transfers leadership to another voter as soon as that
// voter has all entries. It fails with *NotLeaderError or
// *InvalidTransferError. Until the transfer is complete, or ElectionTicks have
// passed, proposals fail with *ProposalDroppedError.
func (n *Node) TransferLeadership(to ReplicaID) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if to == n.cfg.ID || !n.members.current().IsVoter(to) {
		return &InvalidTransferError{To: to}
	}
	n.transferee = to
	n.electionElapsed = 0
	n.continueTransfer(to)
	return nil
}

// continueTransfer tells the transferee to start an election once it has all
// entries.
func (n *Node) continueTransfer(id ReplicaID) {
	if id == n.transferee && n.progress[id].Match == n.log.lastIndex() {
		n.send(Message{Type: MessageTimeoutNow, To: id})
	}
}

// ReportUnreachable tells the leader that a message to a replica was lost. The
// leader then probes the replica with one message at a time until it responds,
// and sends a lost snapshot again.
func (n *Node) ReportUnreachable(id ReplicaID) {
	p := n.progress[id]
	if p != nil && p.State != ProgressProbe {
		p.becomeProbe()
	}
}

// Compact replaces the entries up to index by a snapshot, whose Data is the
// application's state after applying exactly the entries up to index. It
// returns the snapshot, which the application passes to Storage.Compact. All
// entries up to index must have appeared in Ready.Committed, and index must be
// above that of the last snapshot; otherwise Compact fails with
// *InvalidCompactionError.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if index <= n.log.snapshot.Index || index > n.log.applied {
		return Snapshot{}, &InvalidCompactionError{Index: index, Snapshot: n.log.snapshot.Index, Applied: n.log.applied}
	}
	term, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: term, Members: n.members.at(index), Data: data}
	n.log.compact(s, n.cfg.TrailingEntries, n.cfg.TrailingBytes)
	n.members.compact(index)
	return s, nil
}

// Status is a copy of a Node's state at one moment.
type Status struct {
	ID      ReplicaID
	Term    uint64
	Role    Role
	Leader  ReplicaID
	Commit  uint64
	Applied uint64
	// LastIndex is the index of the last entry in the log, StableIndex that of
	// the last durable entry.
	LastIndex   uint64
	StableIndex uint64
	// SnapshotIndex is the index of the last snapshot.
	SnapshotIndex uint64
	// Members is the latest membership in the log, which was added by the entry
	// at MembersIndex. It is not yet committed if MembersIndex is above Commit.
	Members      Members
	MembersIndex uint64
	// CommittedInTerm is set on a leader once an entry of its term is committed. Before
	// that, it must not change the membership.
	CommittedInTerm bool
	// Transferee is the target of a leadership transfer in progress, or None.
	Transferee ReplicaID
	// StalenessKnown is set once the applied state was known to include
	// everything that the group had committed. StalenessTicks is the number of
	// ticks since then.
	StalenessKnown bool
	StalenessTicks int
	// Progress holds the replication progress of each member; it is nil except
	// on the leader.
	Progress map[ReplicaID]Progress
}

// Status returns a copy of the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.term, Role: n.role, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied,
		LastIndex: n.log.lastIndex(), StableIndex: n.log.stable,
		SnapshotIndex:   n.log.snapshot.Index,
		Members:         slices.Clone(n.members.current()),
		MembersIndex:    n.members.lastIndex(),
		Transferee:      n.transferee,
		CommittedInTerm: n.role == Leader && n.hasCommittedInTerm(),
		StalenessKnown:  n.staleness.known,
		StalenessTicks:  n.staleness.age,
	}
	if n.role != Leader {
		return s
	}
	s.Progress = make(map[ReplicaID]Progress, len(n.progress))
	for id, p := range n.progress {
		s.Progress[id] = *p
	}
	return s
}
