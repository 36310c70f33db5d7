package server

import "fmt"

// UnavailableError means that the command was not decided here and now. It may still
// be decided later, so it is only sent again as it was.
type UnavailableError struct {
	Reason UnavailableReason
	Cause  error
}

// UnavailableReason says why a command was not decided.
type UnavailableReason string

// The reasons.
const (
	NotJoined       UnavailableReason = "this replica does not belong to a group yet"
	NoLeader        UnavailableReason = "this replica knows no leader"
	LeadershipLost  UnavailableReason = "leadership was lost before the command was decided"
	ForwardFailed   UnavailableReason = "the leader did not answer"
	ProposalRefused UnavailableReason = "the leader takes no more proposals now"
	Stopped         UnavailableReason = "this replica has stopped"
)

// Error gives the reason.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
	}
	return string(e.Reason)
}

// Unwrap gives the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// FormationError means that what another instance says of the group cannot be
// followed.
type FormationError struct {
	Instance Instance
	Reason   string
}

// Error names the instance.
func (e *FormationError) Error() string {
	return fmt.Sprintf("control instance %s at %s: %s", e.Instance.Name, e.Instance.Address, e.Reason)
}
