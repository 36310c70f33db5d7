package peers

import (
	"context"
	"time"

	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// sendAttempts is how often a report is told to one instance, tellTimeout bounds
	// each try, and tellPause is the wait before the next.
	sendAttempts   = 3
	attemptTimeout = 700 * time.Millisecond
	retryDelay   = 50 * time.Millisecond
)

// SendReport passes a report on to one instance.
//
// A report that is lost is told again. The caller of a request that crashes
// endpoints sends it again at once, most likely through another instance; one that
// was never told runs it at two further endpoints and takes down what else runs
// there. A kept connection that the other side has just closed is enough for a loss.
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

func sendOnce(ctx context.Context, to rpc.Peer, report *rpc.SuspectReport) error {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := to.Suspect(bounded, report)
	return err
}
