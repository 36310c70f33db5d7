package peers

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

const (
	// sendAttempts is the maximum number of attempts to send a report to one instance,
	// attemptTimeout bounds each of them, and retryDelay is the wait between two.
	sendAttempts   = 3
	attemptTimeout = 700 * time.Millisecond
	retryDelay     = 50 * time.Millisecond
)

// SendReport sends a report to one instance, with retries.
//
// The caller of a request that crashes endpoints usually resends it at once, most
// likely through another instance. An instance that missed the report runs the request
// at two more endpoints and so aborts everything else that runs there. A report is
// already lost if the peer has just closed an idle connection that was to be reused.
func SendReport(ctx context.Context, to rpc.Peer, report *rpc.SuspectReport) error {
	var err error
	for attempt := range sendAttempts {
		if attempt > 0 && wait.For(ctx, retryDelay) != nil {
			return err
		}
		if err = sendOnce(ctx, to, report); err == nil {
			return nil
		}
	}
	return err
}

// FetchConvictions returns the convictions that another instance knows.
func FetchConvictions(ctx context.Context, from rpc.Peer) ([]quarantine.Suspect, error) {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err := from.Suspect(bounded, &rpc.SuspectReport{FetchConvictions: true})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return decodeSuspects(answer.GetConvictions()), nil
}

// sendOnce makes one attempt to send a report.
func sendOnce(ctx context.Context, to rpc.Peer, report *rpc.SuspectReport) error {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := to.Suspect(bounded, report)
	return err
}
