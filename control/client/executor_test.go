package client

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

// scriptedExecutor is a control instance that answers unless it is silent.
type scriptedExecutor struct{ silent bool }

func (e *scriptedExecutor) Execute(ctx context.Context, _ *rpc.Command) (*rpc.Result, error) {
	if e.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &rpc.Result{}, nil
}

// Guards against callers whose deadline is an attempt's: the control instance that answered last falls silent,
// and each call waits for it alone.
func TestSilentControlInstanceIsLeftByTheNextCall(t *testing.T) {
	for _, timeout := range []time.Duration{attemptTimeout / 2, attemptTimeout, 2 * attemptTimeout} {
		synctest.Test(t, func(t *testing.T) {
			first, second := &scriptedExecutor{}, &scriptedExecutor{}
			executor := NewFailoverExecutor(first, second)
			execute := func() error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				_, err := executor.Execute(ctx, &rpc.Command{})
				return err
			}
			assert.NilError(t, execute())
			first.silent = true
			_ = execute()
			assert.NilError(t, execute(), "%v", timeout)
			first.silent, second.silent = false, true
			_ = execute()
			assert.NilError(t, execute(), "%v", timeout)
		})
	}
}
