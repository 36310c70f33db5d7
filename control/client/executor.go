// Package client is how an instance uses the control state: the claims that its
// entry makes, and the leases that its orders need.
package client

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// tryTimeout bounds one try at one control instance. It is above the time that
// a group needs for a new leader, so that a living instance is not given up
// while its group elects one.
const tryTimeout = 2 * time.Second

// Executor has a command agreed by the quorum; *Group and the control server
// are such.
type Executor interface {
	Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error)
}

// FailoverExecutor executes commands at any of several control instances. It is safe for
// concurrent use.
type FailoverExecutor struct {
	controls []Executor
	// current is the one that answered last.
	current atomic.Uint64
}

// NewFailoverExecutor returns a Group over control instances in order of preference, those
// of the own zone first.
func NewFailoverExecutor(controls ...Executor) *FailoverExecutor {
	return &FailoverExecutor{controls: controls}
}

// Execute asks one control instance after the other until one answers or the
// context ends. Sending a command twice is harmless: each says whose it is.
// Its failure is *tables.NoQuorum.
func (g *FailoverExecutor) Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	start := g.current.Load()
	var last error = &NoControlInstancesError{}
	for try := uint64(0); len(g.controls) > 0; try++ {
		i := (start + try) % uint64(len(g.controls))
		bounded, cancel := context.WithTimeout(ctx, tryTimeout)
		result, err := g.controls[i].Execute(bounded, command)
		cancel()
		if err == nil {
			g.current.Store(i)
			return result, nil
		}
		last = err
		if !wait(ctx, retryPause) {
			break
		}
	}
	return nil, trace.Wrap(&tables.NoQuorumError{Operation: asked(command), Cause: last})
}

// retryPause is the time between two tries.
const retryPause = 20 * time.Millisecond

// wait returns false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NoControlInstancesError means that the settings name no control instance.
type NoControlInstancesError struct{}

// Error says so.
func (e *NoControlInstancesError) Error() string { return "no control instance is set" }

func asked(command *rpc.Command) string {
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
