package replog

// ReplicaID identifies a replica for the life of its disk. It is never zero and
// is never reused after that disk is lost.
type ReplicaID uint64

// None is the zero ReplicaID, which identifies no replica.
const None ReplicaID = 0

// EntryKind is the kind of an Entry and determines the meaning of its Data.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoOp has no data. A new leader appends one to learn which entries
	// are committed.
	EntryNoOp EntryKind = iota
	// EntryCommand carries the data of a Propose call.
	EntryCommand
	// EntryMembership carries the encoded Members that are in force from this
	// entry on.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// entryOverhead is the number of bytes that is counted for an entry in addition
// to its data.
const entryOverhead = 24

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// Position identifies a log entry by term and index. A proposal is committed
// when the entry committed at Index has this Term; if that entry has another
// term, the proposal is lost.
type Position struct {
	Term  uint64
	Index uint64
}

// HardState is the state that a replica must persist in addition to its entries
// and snapshot.
type HardState struct {
	// Term is the latest term that this replica has seen.
	Term uint64
	// Vote is the candidate that this replica voted for in Term, or None.
	Vote ReplicaID
	// Commit is a lower bound of the commit index. It is saved along with other
	// writes and never causes a write of its own.
	Commit uint64
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	// Data is the application's state after applying the entry at Index.
	Data []byte
}

// Role is the role of a replica in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	names := [...]string{"follower", "pre-candidate", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// SoftState is volatile state that need not be saved.
type SoftState struct {
	Leader ReplicaID
	Role   Role
	// UpToDate is set if, at some time within the last ElectionTicks, the
	// applied state included everything that the group had committed. Unlike a
	// known leader, it bounds the staleness of reads from this replica.
	UpToDate bool
}

// ReadState is the result of a ReadIndex call.
type ReadState struct {
	// RequestID is the number passed to ReadIndex.
	RequestID uint64
	// Index is the entry that has to be applied before the read may be served.
	Index uint64
	// Aborted is set if this replica lost its leadership before a quorum
	// confirmed the read. The read must not be served.
	Aborted bool
}

// Ready is the work that a Node passes to the application. The package comment
// describes the required order.
type Ready struct {
	// SoftState is set if it has changed.
	SoftState *SoftState
	// HardState, Entries and Snapshot have to be saved in one write, the
	// snapshot first. Entries replace all saved entries from Entries[0].Index
	// on. Snapshot replaces the whole saved log and the application's state.
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	// Messages may be sent at once, if possible in this order.
	Messages []Message
	// Committed entries are durable on this replica and on a quorum. They are
	// contiguous, also across several Readys, except that they continue after a
	// Snapshot.
	Committed []Entry
	// ReadStates are the results of ReadIndex calls.
	ReadStates []ReadState
	// MustSync is set if there is anything to save. Advance may be called only
	// once it is durable.
	MustSync bool

	seq uint64
}
