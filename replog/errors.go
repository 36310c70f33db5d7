package replog

import "fmt"

// NotLeaderError means that only the leader can do what was asked.
type NotLeaderError struct {
	// Leader is the leader as far as this replica knows, or None.
	Leader ReplicaID
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == None {
		return "this replica is not the leader and knows none"
	}
	return fmt.Sprintf("this replica is not the leader; replica %d is", e.Leader)
}

// ProposalDroppedError means that too many bytes are proposed and not yet committed, or that
// leadership is being transferred. Nothing was appended.
type ProposalDroppedError struct {
	// Uncommitted is the number of bytes not yet committed.
	Uncommitted int
	// Transferee is the replica that leadership is being transferred to.
	Transferee ReplicaID
}

// Error says why.
func (e *ProposalDroppedError) Error() string {
	if e.Transferee != None {
		return fmt.Sprintf("leadership is being transferred to replica %d", e.Transferee)
	}
	return fmt.Sprintf("%d bytes are not yet committed", e.Uncommitted)
}

// EntryTooLargeError means that one proposal is larger than Config.MaxEntryBytes.
type EntryTooLargeError struct {
	Bytes, Limit int
}

// Error gives both sizes.
func (e *EntryTooLargeError) Error() string {
	return fmt.Sprintf("the proposal has %d bytes; the limit is %d", e.Bytes, e.Limit)
}

// ChangeRejectReason is why a membership change was refused.
type ChangeRejectReason string

// The reasons.
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

// ChangeRejectedError means that a membership change was not appended.
type ChangeRejectedError struct {
	Change Change
	Reason ChangeRejectReason
}

// Error gives the reason.
func (e *ChangeRejectedError) Error() string {
	return fmt.Sprintf("membership change of replica %d refused: %s", e.Change.Replica, e.Reason)
}

// InvalidMessageError means that a message was dropped because it can't be for this
// replica.
type InvalidMessageError struct {
	Type     MessageType
	From, To ReplicaID
	Group    uint64
}

// Error names sender and receiver.
func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("message %s from replica %d to replica %d of group %x dropped", e.Type, e.From, e.To, e.Group)
}

// CommittedConflictError means that the leader's log contradicts an entry that this
// replica knows as committed. Some replica broke its promises, for example an
// old copy of a disk was put back. The replica must be stopped; going on could
// revert what was agreed.
type CommittedConflictError struct {
	Index  uint64
	Commit uint64
	From   ReplicaID
}

// Error names the entry.
func (e *CommittedConflictError) Error() string {
	return fmt.Sprintf("replica %d sent an entry %d that contradicts the log, which is committed up to %d",
		e.From, e.Index, e.Commit)
}

// InvalidConfigError means that a Config or saved state can't be used.
type InvalidConfigError struct {
	Field  string
	Reason string
}

// Error names the field.
func (e *InvalidConfigError) Error() string {
	return fmt.Sprintf("replicated log: %s %s", e.Field, e.Reason)
}

// InvalidCompactionError means that a log can't be compacted at an index.
type InvalidCompactionError struct {
	Index, Snapshot, Applied uint64
}

// Error gives the bounds.
func (e *InvalidCompactionError) Error() string {
	return fmt.Sprintf("can't compact at %d: the snapshot is at %d and entries are applied up to %d",
		e.Index, e.Snapshot, e.Applied)
}

// DecodeError means that bytes are not an encoded value of the named kind.
type DecodeError struct {
	What   string
	Offset int
}

// Error names the kind and the offset in bytes.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("%s: bad encoding at byte %d", e.What, e.Offset)
}

// InvalidTransferError means that leadership can't be transferred to a replica.
type InvalidTransferError struct {
	To ReplicaID
}

// Error names the replica.
func (e *InvalidTransferError) Error() string {
	return fmt.Sprintf("can't transfer leadership to replica %d: it is not another voter", e.To)
}
