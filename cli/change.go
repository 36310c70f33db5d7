package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/rpc"
)

// changeResult is the outcome of a configuration change, and the JSON output of
// the commands that make one.
type changeResult struct {
	// Result is accepted, conflict or refused.
	Result   string `json:"result"`
	Request  string `json:"request"`
	Revision uint64 `json:"revision,omitempty"`
	// Resent says that the request is a duplicate: an earlier call with the same
	// operator and request ID was accepted, and this one changed nothing.
	Resent bool `json:"resent,omitempty"`
	// Winner, WinnerRequest and WinnerTime (RFC 3339) identify the change that was
	// accepted first. They are set only on a conflict.
	Winner        string `json:"winner,omitempty"`
	WinnerRequest string `json:"winner_request,omitempty"`
	WinnerTime    string `json:"winner_time,omitempty"`
	// Reason explains a refusal.
	Reason string `json:"reason,omitempty"`
	// Difference lists what the rejected change would do to the current revision.
	// It is set only on a conflict.
	Difference []string `json:"difference,omitempty"`
}

// refusalMessages maps refusal reasons to the texts that operators see.
var refusalMessages = map[rpc.RefusalReason]string{
	rpc.RefusalReason_REFUSED_MALFORMED:        "the change cannot be read",
	rpc.RefusalReason_REFUSED_REQUEST_REUSED:   "this request id was used for another change",
	rpc.RefusalReason_REFUSED_UNKNOWN_ENDPOINT: "no endpoint of that name is declared",
	rpc.RefusalReason_REFUSED_OLD_LIFE:         "the endpoint has joined again since",
}

// newChangeResult converts the response to a change into its outcome and the exit
// code for it.
func newChangeResult(request string, answer *rpc.ChangeAnswer) (changeResult, subcommands.ExitStatus) {
	result := changeResult{Request: request}
	if accepted := answer.GetAccepted(); accepted != nil {
		result.Result = "accepted"
		result.Revision = accepted.GetRevision().GetNumber()
		result.Resent = accepted.GetResent()
		return result, exitOK
	}
	if conflict := answer.GetConflict(); conflict != nil {
		winner := conflict.GetWinner()
		result.Result = "conflict"
		result.Revision = conflict.GetInForce()
		result.Winner = winner.GetOperator()
		result.WinnerRequest = winner.GetRequest()
		result.WinnerTime = time.Unix(0, winner.GetWall()).UTC().Format(time.RFC3339)
		result.Difference = formatConflictChanges(answer)
		return result, exitConflict
	}
	reason := answer.GetRefusal().GetReason()
	result.Result = "refused"
	result.Reason = refusalMessages[reason]
	if result.Reason == "" {
		result.Reason = reason.String()
	}
	return result, exitFailure
}

// formatConflictChanges formats the difference that a conflict response carries.
func formatConflictChanges(answer *rpc.ChangeAnswer) []string {
	var changes []configuration.ItemChange
	for _, c := range answer.GetDifference() {
		changes = append(changes, configuration.ItemChange{
			Key:    configuration.ItemKey{Kind: c.GetKind(), Name: c.GetName()},
			Before: c.GetBefore(), After: c.GetAfter(),
		})
	}
	return formatChanges(changes)
}

// print writes the result as JSON or text and returns code, or exitFailure if
// the JSON cannot be written. Conflicts and refusals go to standard error.
func (c changeResult) print(asJSON bool, code subcommands.ExitStatus) subcommands.ExitStatus {
	if asJSON {
		if err := writeJSON(os.Stdout, c); err != nil {
			return fail(exitFailure, trace.Wrap(err))
		}
		return code
	}
	switch c.Result {
	case "accepted":
		if c.Resent {
			fmt.Printf("This change was accepted before, as revision %d. Nothing changed now.\n", c.Revision)
			return code
		}
		fmt.Printf("Accepted as revision %d.\n", c.Revision)
	case "conflict":
		fmt.Fprintf(os.Stderr, "Conflict: %s was first, with request %s at %s. Revision %d is in force.\n",
			c.Winner, c.WinnerRequest, c.WinnerTime, c.Revision)
		fmt.Fprintln(os.Stderr, "Your change would now do this:")
		for _, line := range c.Difference {
			fmt.Fprintln(os.Stderr, "  "+line)
		}
	default:
		fmt.Fprintf(os.Stderr, "Refused: %s.\n", c.Reason)
	}
	return code
}

// failCall prints the error of a failed call and returns exitUnreachable. For a
// change, request is its request ID: the outcome may be unknown, so failCall
// also prints how to retry without applying the change twice. request is empty for
// a query.
func failCall(err error, request string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	if request != "" {
		fmt.Fprintf(os.Stderr, "The change may or may not be in force. To ask again without changing twice, add -request %s\n", request)
	}
	return exitUnreachable
}
