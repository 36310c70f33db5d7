// Package client is the client library of the control state. It provides claims of
// idempotency keys for entry instances, leases with fencing tokens for instances
// that send orders to endpoints, and failover between control instances.
package client

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// attemptTimeout bounds one attempt at one control instance. It exceeds the
// duration of a leader election, so that a live instance is not abandoned while its
// group elects a leader.
const attemptTimeout = 2 * time.Second

// Executor executes commands through the replicated log: a result means that a
// quorum has committed the command. FailoverExecutor and server.Server implement
// it.
type Executor interface {
	Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error)
}

// FailoverExecutor is a client-side failover over several control instances: it
// prefers the instance that responded last, and moves on to the next one after a
// failure, also for later calls. It is safe for concurrent use.
type FailoverExecutor struct {
	executors []Executor
	// preferred is the index of the executor that responded last, or of the next one
	// after that has failed.
	preferred atomic.Uint64
}

// NewFailoverExecutor returns a FailoverExecutor over control instances in order of
// preference, those of the own availability zone first.
func NewFailoverExecutor(controls ...Executor) *FailoverExecutor {
	return &FailoverExecutor{executors: controls}
}

// Execute tries the control instances in turn until one responds or the context
// ends. Retrying a command is safe, because every command identifies its sender and
// request. The error is *tables.NoQuorumError.
func (f *FailoverExecutor) Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	start := f.preferred.Load()
	var lastErr error = &NoControlInstancesError{}
	for attempt := uint64(0); len(f.executors) > 0; attempt++ {
		i := (start + attempt) % uint64(len(f.executors))
		bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
		result, err := f.executors[i].Execute(bounded, command)
		cancel()
		if err == nil {
			f.preferred.Store(i)
			return result, nil
		}
		// A caller's deadline may allow for one attempt only.
		f.preferred.CompareAndSwap(i, (i+1)%uint64(len(f.executors)))
		lastErr = err
		if !sleep(ctx, retryDelay) {
			break
		}
	}
	return nil, trace.Wrap(&tables.NoQuorumError{Operation: operationName(command), Cause: lastErr})
}

// retryDelay is the delay between two attempts.
const retryDelay = 20 * time.Millisecond

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NoControlInstancesError means that no control instances are configured.
type NoControlInstancesError struct{}

// Error returns a fixed message.
func (e *NoControlInstancesError) Error() string { return "no control instances are configured" }

// operationName returns the name of a command for error messages.
func operationName(command *rpc.Command) string {
	switch command.GetAction().(type) {
	case *rpc.Command_Claim:
		return "claim"
	case *rpc.Command_MarkDispatched:
		return "mark claim dispatched"
	case *rpc.Command_FinishClaim:
		return "finish claim"
	case *rpc.Command_ReleaseClaim:
		return "release claim"
	case *rpc.Command_AcquireLease:
		return "acquire lease"
	case *rpc.Command_AnnounceOrders:
		return "announce orders"
	case *rpc.Command_StartLoad:
		return "start weight load"
	default:
		return "command"
	}
}
