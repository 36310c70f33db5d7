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

// changeResult is what -json prints of a change.
type changeResult struct {
	// Result is accepted, conflict or refused.
	Result   string `json:"result"`
	Request  string `json:"request"`
	Revision uint64 `json:"revision,omitempty"`
	// Resent is set when this request had been accepted before.
	Resent bool `json:"resent,omitempty"`
	// The winner of a conflict.
	Winner        string   `json:"winner,omitempty"`
	WinnerRequest string   `json:"winner_request,omitempty"`
	WinnerTime    string   `json:"winner_time,omitempty"`
	Reason        string   `json:"reason,omitempty"`
	Difference    []string `json:"difference,omitempty"`
}

// refusalTexts explains refusals in one short sentence each.
var refusalTexts = map[rpc.RefusalReason]string{
	rpc.RefusalReason_REFUSED_MALFORMED:        "the change cannot be read",
	rpc.RefusalReason_REFUSED_REQUEST_REUSED:   "this request id was used for another change",
	rpc.RefusalReason_REFUSED_UNKNOWN_ENDPOINT: "no endpoint of that name is declared",
	rpc.RefusalReason_REFUSED_OLD_LIFE:         "the endpoint has joined again since",
}

// newChangeResult sums up the answer to a change.
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
		result.Difference = differenceOf(answer)
		return result, exitConflict
	}
	reason := answer.GetRefusal().GetReason()
	result.Result = "refused"
	result.Reason = refusalTexts[reason]
	if result.Reason == "" {
		result.Reason = reason.String()
	}
	return result, exitFailure
}

func differenceOf(answer *rpc.ChangeAnswer) []string {
	var changes []configuration.ItemChange
	for _, c := range answer.GetDifference() {
		changes = append(changes, configuration.ItemChange{
			Key:    configuration.ItemKey{Kind: c.GetKind(), Name: c.GetName()},
			Before: c.GetBefore(), After: c.GetAfter(),
		})
	}
	return differenceLines(changes)
}

// print writes the result and returns the exit code.
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

// failRemote prints why nothing was answered, and how to send the change again.
func failRemote(err error, request string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	if request != "" {
		fmt.Fprintf(os.Stderr, "The change may or may not be in force. To ask again without changing twice, add -request %s\n", request)
	}
	return exitUnreachable
}
