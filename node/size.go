package node

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/usage"
)

// The number of entry instances is a document of the control group. After a failure of all
// instances each of them knows few others for some seconds, and divides common limits by the
// number that the control instances remember.

const (
	// sizeInterval is the interval at which the leader compares the document with the members.
	sizeInterval = 2 * time.Second
	// sizeTolerance is the fraction by which the number must have fallen to be recorded again.
	// Each record is a write to the replicated log.
	sizeTolerance = 0.1
	// settleInterval is the interval at which an instance checks whether it has settled.
	settleInterval = 50 * time.Millisecond
	// membersCheckInterval is the interval at which awaitMembers checks the number of members.
	membersCheckInterval = 10 * time.Millisecond
)

// recordSize records the number of entry instances while this instance leads the control group.
func (n *Node) recordSize(ctx context.Context) {
	var recent peerCountMax
	for wait.For(ctx, sizeInterval) == nil {
		joined := n.gossip.Load()
		if joined == nil || !n.replica.Status().IsLeader {
			continue
		}
		size := recent.observe(n.now(), len(entryIDs(joined.Members())))
		recorded, number := n.recordedSize()
		if size <= recorded && float64(size) >= (1-sizeTolerance)*float64(recorded) {
			continue
		}
		if err := n.deployment.Put(ctx, deployment.SizeDocument, number+1, []byte(strconv.Itoa(size))); err != nil {
			events.SizeNotRecorded.Log(n.log, zap.Int("instances", size), zap.Error(err))
		}
	}
}

// recordedSize returns the recorded number of entry instances, 0 if there is none, and the number
// of its document.
func (n *Node) recordedSize() (size int, number uint64) {
	n.replica.View(func(st *state.State) {
		if document := st.Document(deployment.SizeDocument); document != nil {
			size, number = parseSize(document), document.GetNumber()
		}
	})
	return size, number
}

// parseSize returns the number of entry instances that a document states; 0 if it is not valid.
func parseSize(document *rpc.Document) int {
	size, err := strconv.Atoi(string(document.GetContent()))
	if err != nil || size < 0 {
		return 0
	}
	return size
}

// applySize applies the recorded number of entry instances.
func (n *Node) applySize(document *rpc.Document) {
	n.recordedEntries.Store(int64(parseSize(document)))
	n.updateInstanceCount()
}

// updateInstanceCount passes on how many entry instances share limits: those known recently or
// recorded by the control group, whichever are more.
func (n *Node) updateInstanceCount() {
	n.entry.SetInstanceRank(int(n.entryRank.Load()), n.instanceCount())
}

// instanceCount returns the number of entry instances that share limits.
func (n *Node) instanceCount() int {
	return int(max(n.limitSharers.Load(), n.recordedEntries.Load()))
}

// isSettling reports whether this instance has started so recently that it knows too few others
// to pick the owners of limits that they pick.
func (n *Node) isSettling() bool {
	return usage.Settling(n.now(), int(n.knownEntries.Load()), int(n.recordedEntries.Load()))
}

// awaitMembers waits for the given time or, with settings.ForwardingCapacity.Startup, until this
// instance knows most of the recorded entry instances. It returns the error of a context that ends.
func (n *Node) awaitMembers(ctx context.Context, timeout time.Duration) error {
	if !n.startsFast() {
		return wait.For(ctx, timeout)
	}
	for end := n.now() + timeout; n.now() < end && !n.knowsMembers(); {
		if err := wait.For(ctx, membersCheckInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// knowsMembers reports whether this instance knows as many of the recorded entry instances as it
// needs to settle. Without a recorded number it does not know.
func (n *Node) knowsMembers() bool {
	recorded := int(n.recordedEntries.Load())
	return recorded > 0 && !usage.Settling(0, int(n.knownEntries.Load()), recorded)
}

// awaitSettled waits until this instance has settled, and has the limits that it owns start with
// what is known then.
func (n *Node) awaitSettled() {
	settled := false
	for !settled {
		if wait.For(n.lifetime, settleInterval) != nil {
			return
		}
		settled = !n.isSettling() && (n.recordedEntries.Load() > 0 || n.now() >= usage.MaxSettleTime)
	}
	n.usageServer.EndSettling()
	events.InstanceSettled.Log(n.log, zap.Int64("known", n.knownEntries.Load()), zap.Int64("recorded", n.recordedEntries.Load()), zap.Duration("after", n.now()))
	for n.usageClient.ReportSettlingUse() {
		if wait.For(n.lifetime, settleInterval) != nil {
			return
		}
	}
}
