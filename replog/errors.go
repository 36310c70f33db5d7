package replog

import "fmt"

// NotLeaderError means that the operation is possible only on the leader.
type NotLeaderError struct {
	// Leader is the leader as far as this replica knows, or None.
	Leader ReplicaID
}

// Error names the leader if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == None {
		return "this replica is not the leader and knows none"
	}
	return fmt.Sprintf("this replica is not the leader; replica %d is", e.Leader)
}

// ProposalDroppedError means that a proposal was dropped because too many bytes
// are uncommitted or because leadership is being transferred. Nothing was
// appended.
type ProposalDroppedError struct {
	// Uncommitted is the number of bytes that are proposed and not yet
	// committed.
	Uncommitted int
	// Transferee is the replica that leadership is being transferred to, or
	// None.
	Transferee ReplicaID
}

// Error gives the reason.
func (e *ProposalDroppedError) Error() string {
	if e.Transferee != None {
		return fmt.Sprintf("leadership is being transferred to replica %d", e.Transferee)
	}
	return fmt.Sprintf("%d bytes are not yet committed", e.Uncommitted)
}

// EntryTooLargeError means that a proposal is larger than Config.MaxEntryBytes.
type EntryTooLargeError struct {
	// Bytes is the size of the proposal, Limit the configured maximum.
	Bytes, Limit int
}

// Error gives the size and the limit in bytes.
func (e *EntryTooLargeError) Error() string {
	return fmt.Sprintf("the proposal has %d bytes; the limit is %d", e.Bytes, e.Limit)
}

// ChangeRejectReason is the reason for which a membership change was rejected.
type ChangeRejectReason string

// The reasons for which a membership change is rejected.
const (
	ChangePending        ChangeRejectReason = "another change is not committed yet"
	ChangeNoCommitInTerm ChangeRejectReason = "the leader has not committed an entry of its own term yet"
	ChangeAlreadyMember  ChangeRejectReason = "the replica is a member already"
	ChangeNotMember      ChangeRejectReason = "the replica is not a member"
	ChangeNotLearner     ChangeRejectReason = "the replica is not a learner"
	ChangeNotCaughtUp    ChangeRejectReason = "the learner has not acknowledged all committed entries"
	ChangeRemovesLeader  ChangeRejectReason = "the leader can't remove itself; transfer leadership first"
	ChangeLosesQuorum    ChangeRejectReason = "too few of the remaining voters answer to form a quorum"
	ChangeInvalidID      ChangeRejectReason = "the replica identity is zero"
	ChangeUnknownKind    ChangeRejectReason = "the kind of change is unknown"
	ChangeDuringTransfer ChangeRejectReason = "leadership is being transferred"
)

// ChangeRejectedError means that a membership change was rejected and not
// appended.
type ChangeRejectedError struct {
	Change Change
	Reason ChangeRejectReason
}

// Error names the replica and the reason.
func (e *ChangeRejectedError) Error() string {
	return fmt.Sprintf("membership change of replica %d refused: %s", e.Change.Replica, e.Reason)
}

// InvalidMessageError means that a message was dropped because it is malformed
// or not addressed to this replica.
type InvalidMessageError struct {
	Type     MessageType
	From, To ReplicaID
	Group    uint64
}

// Error gives the type, the sender, the receiver and the group.
func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("message %s from replica %d to replica %d of group %x dropped", e.Type, e.From, e.To, e.Group)
}

// CommittedConflictError means that the leader's log conflicts with an entry
// that this replica knows as committed. Some replica has violated the protocol,
// for example after an old copy of its disk was restored. This replica must be
// stopped; continuing could revert committed entries.
type CommittedConflictError struct {
	// Index is the first conflicting entry.
	Index uint64
	// Commit is the commit index of this replica.
	Commit uint64
	// From is the leader that sent the entry.
	From ReplicaID
}

// Error names the leader, the entry and the commit index.
func (e *CommittedConflictError) Error() string {
	return fmt.Sprintf("replica %d sent an entry %d that contradicts the log, which is committed up to %d",
		e.From, e.Index, e.Commit)
}

// InvalidConfigError means that a Config or a PersistentState can't be used.
type InvalidConfigError struct {
	// Field is the invalid field.
	Field string
	// Reason says what is wrong with it.
	Reason string
}

// Error gives the field and the reason.
func (e *InvalidConfigError) Error() string {
	return fmt.Sprintf("replicated log: %s %s", e.Field, e.Reason)
}

// InvalidCompactionError means that the log can't be compacted at an index.
type InvalidCompactionError struct {
	// Index is the requested index. It has to be above Snapshot, the index of
	// the last snapshot, and not above Applied.
	Index, Snapshot, Applied uint64
}

// Error gives the index and its bounds.
func (e *InvalidCompactionError) Error() string {
	return fmt.Sprintf("can't compact at %d: the snapshot is at %d and entries are applied up to %d",
		e.Index, e.Snapshot, e.Applied)
}

// DecodeError means that bytes are not a valid encoding.
type DecodeError struct {
	// What names the kind of value that was expected.
	What string
	// Offset is the byte at which decoding failed.
	Offset int
}

// Error gives the expected kind of value and the offset in bytes.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("%s: bad encoding at byte %d", e.What, e.Offset)
}

// InvalidTransferError means that leadership can't be transferred to a replica.
type InvalidTransferError struct {
	// To is the replica.
	To ReplicaID
}

// Error names the replica.
func (e *InvalidTransferError) Error() string {
	return fmt.Sprintf("can't transfer leadership to replica %d: it is not another voter", e.To)
}
