package follower

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
)

// Watch is a long poll that relays the applied configuration to another instance,
// so that an instance without a connection to control instances receives it too.
func (f *Follower) Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	wait := min(max(0, time.Duration(request.GetWaitNanos())), longPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed := f.answerSince(request.GetRevision())
		if answer.GetRevision() > request.GetRevision() {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer, nil
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// answerSince returns the reply to a caller with the given revision: retained
// incremental changes if they reach back that far, otherwise the complete
// configuration. It also returns a channel that is closed at the next change.
func (f *Follower) answerSince(have uint64) (*rpc.WatchAnswer, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision <= have {
		return &rpc.WatchAnswer{Revision: have}, f.changed
	}
	answer := &rpc.WatchAnswer{Revision: f.revision, Digest: f.content.Digest()}
	for i, change := range f.changes {
		if change.from == have {
			for _, next := range f.changes[i:] {
				answer.Items = append(answer.Items, next.items...)
			}
			return answer, f.changed
		}
	}
	answer.Full = true
	answer.Items = f.content.Items()
	return answer, f.changed
}

// Relay implements the control interface for instances without the control role. It
// relays configurations to other instances and rejects all other calls.
type Relay struct {
	*Follower
}

var _ rpc.Control = Relay{}

// Execute rejects the command.
func (Relay) Execute(context.Context, *rpc.Command) (*rpc.Result, error) {
	return nil, errNoControlRole()
}

// Deliver rejects the messages.
func (Relay) Deliver(context.Context, *rpc.DeliverRequest) (*rpc.DeliverAnswer, error) {
	return nil, errNoControlRole()
}

// Join rejects the request.
func (Relay) Join(context.Context, *rpc.JoinRequest) (*rpc.JoinAnswer, error) {
	return nil, errNoControlRole()
}

// Leave rejects the request.
func (Relay) Leave(context.Context, *rpc.LeaveRequest) (*rpc.LeaveAnswer, error) {
	return nil, errNoControlRole()
}

// errNoControlRole returns the error of rejected calls.
func errNoControlRole() error {
	return twirp.NewError(twirp.Unimplemented, "this instance does not have the control role")
}

// isFileMissing reports whether the cause of an error is a missing file.
func isFileMissing(err error) bool {
	var missing *store.NotFoundError
	return errors.As(err, &missing)
}
