package replog

// ReplicaID names one replica for the life of its disk. It is never zero and
// never used again after that disk was lost.
type ReplicaID uint64

// None is the ReplicaID of nobody.
const None ReplicaID = 0

// EntryKind tells what the Data of an Entry is.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoOp has no data. A new leader appends one to learn what is
	// committed.
	EntryNoOp EntryKind = iota
	// EntryCommand carries what was given to Propose.
	EntryCommand
	// EntryMembership carries the encoded Members that hold from this entry on.
	EntryMembership
)

// Entry is one place in the log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// entryOverhead is the size in bytes that is counted for an entry on top of its
// data.
const entryOverhead = 24

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// Position is a place in the log together with the term it was proposed in. A
// proposal is committed when the entry at Index is committed with this Term; if
// another term is committed there, the proposal was lost.
type Position struct {
	Term  uint64
	Index uint64
}

// HardState is what a replica must not forget, besides its entries and snapshot.
type HardState struct {
	// Term is the latest term this replica has seen.
	Term uint64
	// Vote is the candidate that got this replica's vote in Term.
	Vote ReplicaID
	// Commit is a lower bound of the commit index. It is saved along with other
	// writes and never causes one.
	Commit uint64
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	// Data is the owner's state after applying the entry at Index.
	Data []byte
}

// Role is what a replica does in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String gives the role's name in lower case.
func (r Role) String() string {
	names := [...]string{"follower", "pre-candidate", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// SoftState is state that need not be saved.
type SoftState struct {
	Leader ReplicaID
	Role   Role
	// UpToDate is set while the applied state was the newest that the group had
	// committed within the last ElectionTicks. Unlike a known leader it says that
	// others may rely on this replica's state.
	UpToDate bool
}

// ReadState answers one ReadIndex call.
type ReadState struct {
	// RequestID is the number given to ReadIndex.
	RequestID uint64
	// Index is the entry that has to be applied before the read may be served.
	Index uint64
	// Aborted means that this replica stopped being leader before a quorum
	// confirmed the read; it must not be served.
	Aborted bool
}

// Ready is what the owner of a Node has to do. See the package comment for the
// order.
type Ready struct {
	// SoftState is set when it has changed.
	SoftState *SoftState
	// HardState, Entries and Snapshot are to be saved in one write, the snapshot
	// first. Entries replace all saved entries from Entries[0].Index on. A
	// Snapshot replaces the whole saved log and the owner's state.
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	// Messages may be sent at once, in this order where the transport can.
	Messages []Message
	// Committed entries are durable on this replica and a quorum. They follow
	// on each other without gaps, also over several Readys, except that they
	// continue after a Snapshot.
	Committed []Entry
	// ReadStates answers calls of ReadIndex.
	ReadStates []ReadState
	// MustSync is set when there is something to save. Advance may be called
	// only once it is durable.
	MustSync bool

	seq uint64
}
