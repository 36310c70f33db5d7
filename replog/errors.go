package replog

import "fmt"

// NotLeader means that only the leader can do what was asked.
type NotLeader struct {
	// Leader is the leader as far as this replica knows, or None.
	Leader ReplicaID
}

// Error names the leader.
func (e *NotLeader) Error() string {
	if e.Leader == None {
		return "this replica is not the leader and knows none"
	}
	return fmt.Sprintf("this replica is not the leader; replica %d is", e.Leader)
}

// Busy means that too many bytes are proposed and not yet committed, or that
// leadership is being transferred. Nothing was appended.
type Busy struct {
	// Uncommitted is the number of bytes not yet committed.
	Uncommitted int
	// Transferring is the replica that leadership is being transferred to.
	Transferring ReplicaID
}

// Error says why.
func (e *Busy) Error() string {
	if e.Transferring != None {
		return fmt.Sprintf("leadership is being transferred to replica %d", e.Transferring)
	}
	return fmt.Sprintf("%d bytes are not yet committed", e.Uncommitted)
}

// TooLarge means that one proposal is larger than Config.MaxEntryBytes.
type TooLarge struct {
	Bytes, Limit int
}

// Error gives both sizes.
func (e *TooLarge) Error() string {
	return fmt.Sprintf("the proposal has %d bytes; the limit is %d", e.Bytes, e.Limit)
}

// ChangeReason is why a membership change was refused.
type ChangeReason string

// The reasons.
const (
	ChangePending      ChangeReason = "another change is not committed yet"
	ChangeTermTooNew   ChangeReason = "the leader has not committed an entry of its own term yet"
	ChangeMember       ChangeReason = "the replica is a member already"
	ChangeNotMember    ChangeReason = "the replica is not a member"
	ChangeNotLearner   ChangeReason = "the replica is not a learner"
	ChangeNotCaughtUp  ChangeReason = "the learner has not acknowledged all committed entries"
	ChangeLeader       ChangeReason = "the leader can't remove itself; transfer leadership first"
	ChangeLosesQuorum  ChangeReason = "too few of the remaining voters answer to form a quorum"
	ChangeBadID        ChangeReason = "the replica identity is zero"
	ChangeUnknownKind  ChangeReason = "the kind of change is unknown"
	ChangeTransferring ChangeReason = "leadership is being transferred"
)

// ChangeRefused means that a membership change was not appended.
type ChangeRefused struct {
	Change Change
	Reason ChangeReason
}

// Error gives the reason.
func (e *ChangeRefused) Error() string {
	return fmt.Sprintf("membership change of replica %d refused: %s", e.Change.Replica, e.Reason)
}

// BadMessage means that a message was dropped because it can't be for this
// replica.
type BadMessage struct {
	Type     MessageType
	From, To ReplicaID
	Group    uint64
}

// Error names sender and receiver.
func (e *BadMessage) Error() string {
	return fmt.Sprintf("message %s from replica %d to replica %d of group %x dropped", e.Type, e.From, e.To, e.Group)
}

// Inconsistent means that the leader's log contradicts an entry that this
// replica knows as committed. Some replica broke its promises, for example an
// old copy of a disk was put back. The replica must be stopped; going on could
// revert what was agreed.
type Inconsistent struct {
	Index  uint64
	Commit uint64
	From   ReplicaID
}

// Error names the entry.
func (e *Inconsistent) Error() string {
	return fmt.Sprintf("replica %d sent an entry %d that contradicts the log, which is committed up to %d",
		e.From, e.Index, e.Commit)
}

// BadConfig means that a Config or saved state can't be used.
type BadConfig struct {
	Field  string
	Reason string
}

// Error names the field.
func (e *BadConfig) Error() string {
	return fmt.Sprintf("replicated log: %s %s", e.Field, e.Reason)
}

// BadCompaction means that a log can't be compacted at an index.
type BadCompaction struct {
	Index, Snapshot, Applied uint64
}

// Error gives the bounds.
func (e *BadCompaction) Error() string {
	return fmt.Sprintf("can't compact at %d: the snapshot is at %d and entries are applied up to %d",
		e.Index, e.Snapshot, e.Applied)
}

// BadEncoding means that bytes are not an encoded value of the named kind.
type BadEncoding struct {
	What   string
	Offset int
}

// Error names the kind and the offset in bytes.
func (e *BadEncoding) Error() string {
	return fmt.Sprintf("%s: bad encoding at byte %d", e.What, e.Offset)
}

// BadTransfer means that leadership can't be transferred to a replica.
type BadTransfer struct {
	To ReplicaID
}

// Error names the replica.
func (e *BadTransfer) Error() string {
	return fmt.Sprintf("can't transfer leadership to replica %d: it is not another voter", e.To)
}
