package client

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// slowGroup is a control group that takes commitTime for each command, several at once.
type slowGroup struct {
	commitTime time.Duration
	started    time.Time

	mu          sync.Mutex
	state       *state.State
	index       uint64
	unavailable bool
}

func (g *slowGroup) Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	if !sleep(ctx, g.commitTime) {
		return nil, ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unavailable {
		return nil, &tables.NoQuorumError{}
	}
	g.index++
	command.Stamp = int64(time.Since(g.started))
	return g.state.Execute(g.index, command), nil
}

func (g *slowGroup) setUnavailable(unavailable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unavailable = unavailable
}

func (g *slowGroup) client(instance tables.InstanceID) *ClaimClient {
	return NewClaimClient(ClaimClientOptions{
		Executor: g, Instance: instance, Boot: 1, Now: func() tables.Instant { return time.Since(g.started) },
	})
}

// Guards against claims of a living instance that count as lost, since it sends no keep-alive while it repeats the
// many commands that the control group has missed.
func TestRepeatedCommandsDoNotDelayKeepAlives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &slowGroup{commitTime: 10 * time.Millisecond, started: time.Now(), state: state.New(state.DefaultLimits())}
		owner, other := g.client("i1"), g.client("i2")
		defer owner.Close()
		defer other.Close()
		claim := func(c *ClaimClient, key string) tables.ClaimResult {
			grant, err := c.Claim(t.Context(), "o", tables.IdempotencyKey(key), tables.BodyHash{})
			assert.NilError(t, err)
			return grant
		}
		long := claim(owner, "long")
		assert.NilError(t, owner.MarkDispatched(t.Context(), long))
		var ended []tables.ClaimResult
		for i := range 1000 {
			grant := claim(owner, fmt.Sprint(i))
			assert.NilError(t, owner.MarkDispatched(t.Context(), grant))
			ended = append(ended, grant)
		}
		g.setUnavailable(true)
		for _, grant := range ended {
			synctest.Wait()
			go func() { _ = owner.Finish(t.Context(), grant, tables.StoredResponse{Status: 200}) }()
		}
		time.Sleep(time.Second)
		g.setUnavailable(false)
		for range 20 {
			time.Sleep(time.Second)
			assert.Equal(t, claim(other, "long").State, tables.ClaimInProgress, "after %v", time.Since(g.started))
		}
		assert.Equal(t, claim(other, "0").State, tables.ClaimCompleted)
		assert.Equal(t, claim(other, "999").State, tables.ClaimCompleted)
	})
}

// silentExecutor is a control instance that answers nothing while it is silent.
type silentExecutor struct {
	Executor
	silent atomic.Bool
}

func (e *silentExecutor) Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	if e.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return e.Executor.Execute(ctx, command)
}

// Guards against claims of a living instance that count as lost, since its keep-alives go to control instances that
// have fallen silent, one after the other.
func TestSilentControlInstancesDoNotLoseClaims(t *testing.T) {
	for silent := 1; silent <= 2; silent++ {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &slowGroup{commitTime: 10 * time.Millisecond, started: time.Now(), state: state.New(state.DefaultLimits())}
				var controls []Executor
				for range 5 {
					controls = append(controls, &silentExecutor{Executor: g})
				}
				owner := NewClaimClient(ClaimClientOptions{
					Executor: NewFailoverExecutor(controls...), Instance: "i1", Boot: 1,
					Now: func() tables.Instant { return time.Since(g.started) },
				})
				defer owner.Close()
				other := g.client("i2")
				defer other.Close()
				grant, err := owner.Claim(t.Context(), "o", "k", tables.BodyHash{})
				assert.NilError(t, err)
				assert.NilError(t, owner.MarkDispatched(t.Context(), grant))
				for _, control := range controls[:silent] {
					control.(*silentExecutor).silent.Store(true)
				}
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					again, err := other.Claim(t.Context(), "o", "k", tables.BodyHash{})
					assert.NilError(t, err)
					assert.Equal(t, again.State, tables.ClaimInProgress, "after %v", time.Since(g.started))
				}
			})
		})
	}
}
