package server

import "fmt"

// UnavailableError reports that a command was not committed in this attempt. It may
// still be committed later, so only the identical command may be sent again.
type UnavailableError struct {
	Reason UnavailableReason
	Cause  error
}

// UnavailableReason is why a command was not committed.
type UnavailableReason string

// The reasons of an UnavailableError.
const (
	NotJoined       UnavailableReason = "this replica does not belong to a group yet"
	NoLeader        UnavailableReason = "this replica knows no leader"
	LeadershipLost  UnavailableReason = "leadership was lost before the command was decided"
	ForwardFailed   UnavailableReason = "the leader did not answer"
	ProposalRefused UnavailableReason = "the leader takes no more proposals now"
	Stopped         UnavailableReason = "this replica has stopped"
)

// Error returns the reason and the cause, if any.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
	}
	return string(e.Reason)
}

// Unwrap returns the cause, nil if there is none.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// FormationError reports that what another instance states about the group cannot
// be followed.
type FormationError struct {
	Instance Instance
	Reason   string
}

// Error names the instance and the reason.
func (e *FormationError) Error() string {
	return fmt.Sprintf("control instance %s at %s: %s", e.Instance.Name, e.Instance.Address, e.Reason)
}
