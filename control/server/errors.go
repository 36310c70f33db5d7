package server

import "fmt"

// Unavailable means that the command was not decided here and now. It may still
// be decided later, so it is only sent again as it was.
type Unavailable struct {
	Reason UnavailableReason
	Cause  error
}

// UnavailableReason says why a command was not decided.
type UnavailableReason string

// The reasons.
const (
	NotFormed       UnavailableReason = "this replica does not belong to a group yet"
	NoLeader        UnavailableReason = "this replica knows no leader"
	LeadershipLost  UnavailableReason = "leadership was lost before the command was decided"
	ForwardFailed   UnavailableReason = "the leader did not answer"
	ProposalRefused UnavailableReason = "the leader takes no more proposals now"
	Stopped         UnavailableReason = "this replica has stopped"
)

// Error gives the reason.
func (e *Unavailable) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
	}
	return string(e.Reason)
}

// Unwrap gives the cause.
func (e *Unavailable) Unwrap() error { return e.Cause }

// BadFormation means that what another instance says of the group cannot be
// followed.
type BadFormation struct {
	Instance Instance
	Reason   string
}

// Error names the instance.
func (e *BadFormation) Error() string {
	return fmt.Sprintf("control instance %s at %s: %s", e.Instance.Name, e.Instance.Address, e.Reason)
}
