package client

import (
	"context"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/rpc"
)

// queueCommand queues the end of a claim for a retry. Without the retry, later
// requests with the key would be told that the outcome is unknown although the
// response is available here.
func (c *ClaimClient) queueCommand(command *rpc.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingCommands) < maxPendingCommands {
		c.pendingCommands = append(c.pendingCommands, command)
	}
}

// keepAliveLoop sends a keep-alive every keepAliveInterval while there are open claims, and soon after one that has
// failed.
func (c *ClaimClient) keepAliveLoop(ctx context.Context) {
	for pause := keepAliveInterval; sleep(ctx, pause); {
		pause = keepAliveInterval
		c.mu.Lock()
		open := len(c.openClaims)
		c.mu.Unlock()
		if open == 0 {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, keepAliveTimeout)
		_, err := c.options.Executor.Execute(bounded, &rpc.Command{Action: &rpc.Command_KeepAlive{
			KeepAlive: &rpc.KeepAlive{Owner: c.claimOwner()},
		}})
		cancel()
		if err != nil {
			pause = keepAliveRetryDelay
			events.ClaimKeepAliveFailed.Log(c.options.Log, zap.Error(err))
		}
	}
}

// resendLoop periodically retries queued commands. It has its own goroutine, since a long queue takes longer than
// the time after which an owner without keep-alives counts as lost.
func (c *ClaimClient) resendLoop(ctx context.Context) {
	for sleep(ctx, keepAliveInterval) {
		c.mu.Lock()
		pending := c.pendingCommands
		c.pendingCommands = nil
		c.mu.Unlock()
		c.resendPending(ctx, pending)
	}
}

// resendPending executes queued commands in order, and requeues the rest at the
// first failure.
func (c *ClaimClient) resendPending(ctx context.Context, pending []*rpc.Command) {
	for i, command := range pending {
		bounded, cancel := context.WithTimeout(ctx, keepAliveInterval)
		_, err := c.options.Executor.Execute(bounded, command)
		cancel()
		if err != nil {
			c.mu.Lock()
			c.pendingCommands = append(c.pendingCommands, pending[i:]...)
			c.mu.Unlock()
			return
		}
	}
}
