package replog

import (
	"math/rand/v2"
	"slices"
)

// Node is one replica. See the package comment for its use.
type Node struct {
	cfg  Config
	rand *rand.Rand

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID
	log    entryLog
	// members is never empty: a replica without state has one empty membership.
	members memberHistory

	// electionElapsed counts ticks since the leader was heard of, or on the
	// leader since the last check for a quorum.
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// writeElapsed counts ticks since the outstanding write was handed out.
	writeElapsed int
	freshness    freshness

	// votes are the answers to the current election by replica.
	votes map[ReplicaID]bool

	// The following belong to the leader.
	progress   map[ReplicaID]*Progress
	transferee ReplicaID
	// uncommitted counts the bytes proposed in this term and not committed.
	uncommitted int
	// termStart is the index of the leader's first entry.
	termStart uint64
	reads     readQueue

	out        []Message
	held       []heldMessage
	readStates []ReadState
	// handedTerm and handedVote are the last ones handed out to be saved.
	handedTerm uint64
	handedVote ReplicaID
	// writing is set while write number seq is outstanding.
	writing bool
	seq     uint64
	// savedAt is the last entry of the outstanding write.
	savedAt  Position
	lastSoft SoftState
}

// heldMessage leaves once write number seq is durable.
type heldMessage struct {
	msg Message
	seq uint64
}

// NewNode returns a replica that goes on from what was saved. Its owner's state
// has to be the one in s.Snapshot.Data; entries after it that are known to be
// committed come in the first Ready.
func NewNode(cfg Config, s PersistentState) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	members, err := membersOf(s)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:        cfg,
		rand:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		term:       s.HardState.Term,
		vote:       s.HardState.Vote,
		handedTerm: s.HardState.Term,
		handedVote: s.HardState.Vote,
		log:        newEntryLog(s),
		members:    members,
	}
	n.becomeFollower(n.term, None)
	return n, nil
}

// membersOf collects the memberships in a saved log and checks that it has no
// gap.
func membersOf(s PersistentState) (memberHistory, error) {
	h := memberHistory{{index: s.Snapshot.Index, members: s.Snapshot.Members}}
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

// fresh reports whether this replica has no state. It must not vote, since it
// may have had some before.
func (n *Node) fresh() bool {
	return n.log.lastIndex() == 0 && len(n.members.current()) == 0
}

func (n *Node) isVoter() bool { return n.members.current().IsVoter(n.cfg.ID) }

// Tick tells the Node that one tick has passed.
func (n *Node) Tick() {
	n.electionElapsed++
	n.writeElapsed++
	n.freshness.tick()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed < n.electionTimeout {
		return
	}
	if !n.isVoter() || n.stalled() {
		// It does not ask for an election, which would end the belief in a leader
		// that is lost. Whoever relies on this replica would be told that all is well.
		n.leader = None
		return
	}
	n.electionElapsed = 0
	n.campaign(PreCandidate, false)
}

func (n *Node) tickLeader() {
	n.heartbeatElapsed++
	n.tickSnapshots()
	for _, p := range n.progress {
		p.TicksSinceResponse++
	}
	if !n.members.current().hasQuorum(n.active) {
		// A leader that is cut off notices it here, while the others may already
		// have elected another one; without it, its clients would wait for ever.
		n.becomeFollower(n.term, None)
		return
	}
	if n.stalled() {
		n.becomeFollower(n.term, None)
		return
	}
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		n.transferee = None
	}
	n.noteNewest()
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// stalled reports whether the disk hangs. Its heartbeats would keep this replica
// the leader, while it applies nothing and callers wait. It doesn't ask for
// elections either: it would only raise the term, since its requests for votes
// wait for the write.
func (n *Node) stalled() bool { return n.writing && n.writeElapsed >= n.cfg.WriteTimeoutTicks }

// active reports whether a replica answered within the election timeout.
func (n *Node) active(id ReplicaID) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.progress[id]
	return p != nil && p.TicksSinceResponse <= n.cfg.ElectionTicks
}

// Propose appends data to the log. It returns where the entry will be, and
// fails with *NotLeader, *Busy or *TooLarge if it was not appended. The entry is
// decided only when it comes back in Ready.Committed; until then it may still be
// lost, or be committed though the leader was lost.
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
	return n.appendOwn(EntryCommand, data), nil
}

// TransferLeadership hands leadership to another voter as soon as that has all
// entries. It fails with *NotLeader or *BadTransfer. Until it has happened, or
// ElectionTicks have passed, proposals are refused with *Busy.
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

func (n *Node) continueTransfer(id ReplicaID) {
	if id == n.transferee && n.progress[id].Match == n.log.lastIndex() {
		n.send(Message{Type: MessageTimeoutNow, To: id})
	}
}

// ReportUnreachable tells the leader that a message to a replica was lost. It
// goes on one message at a time until the replica answers, and sends a lost
// snapshot again.
func (n *Node) ReportUnreachable(id ReplicaID) {
	p := n.progress[id]
	if p != nil && p.State != ProgressProbe {
		p.becomeProbe()
	}
}

// Compact replaces the entries up to index by a snapshot, whose Data is the
// owner's state after applying exactly that entry. It returns the snapshot,
// which the owner gives to Storage.Compact. Every entry up to index has to have
// been in Ready.Committed, and index be above the last snapshot's; otherwise it
// fails with *BadCompaction.
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

// Status is a Node's view at one moment.
type Status struct {
	ID      ReplicaID
	Term    uint64
	Role    Role
	Leader  ReplicaID
	Commit  uint64
	Applied uint64
	// LastIndex is the last entry in the log, StableIndex the last durable one.
	LastIndex   uint64
	StableIndex uint64
	// SnapshotIndex is the index of the last snapshot.
	SnapshotIndex uint64
	// Members is the latest membership in the log; it is not yet committed if
	// MembersIndex is above Commit.
	Members      Members
	MembersIndex uint64
	// Transferee is set while leadership is being transferred.
	Transferee ReplicaID
	// StalenessKnown is set once the applied state was known to be the newest that the group
	// had committed, and FreshTicks is the time since.
	StalenessKnown bool
	StalenessTicks int
	// Progress has an entry per member on the leader and is empty elsewhere.
	Progress map[ReplicaID]Progress
}

// Status returns a copy of the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Term: n.term, Role: n.role, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied,
		LastIndex: n.log.lastIndex(), StableIndex: n.log.stable,
		SnapshotIndex:  n.log.snapshot.Index,
		Members:        slices.Clone(n.members.current()),
		MembersIndex:   n.members.lastIndex(),
		Transferee:     n.transferee,
		StalenessKnown: n.freshness.known,
		StalenessTicks: n.freshness.age,
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
