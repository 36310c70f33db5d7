package follower

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
)

// Watch passes the configuration in force here on to another instance, so that
// one which reaches no control instance gets it too.
func (f *Follower) Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	wait := min(max(0, time.Duration(request.GetWaitNanos())), pollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed := f.answer(request.GetRevision())
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

// answer brings a caller that has the given revision up to date; it also
// returns the channel that is closed at the next change.
func (f *Follower) answer(have uint64) (*rpc.WatchAnswer, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.revision <= have {
		return &rpc.WatchAnswer{Revision: have}, f.changed
	}
	answer := &rpc.WatchAnswer{Revision: f.revision, Digest: f.content.Digest()}
	for i, c := range f.changes {
		if c.from == have {
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

// Relay serves the control interface of an instance without the control role: it
// passes configurations on and declines the rest.
type Relay struct {
	*Follower
}

var _ rpc.Control = Relay{}

// Execute declines.
func (Relay) Execute(context.Context, *rpc.Command) (*rpc.Result, error) { return nil, declined() }

// Deliver declines.
func (Relay) Deliver(context.Context, *rpc.DeliverRequest) (*rpc.DeliverAnswer, error) {
	return nil, declined()
}

// Join declines.
func (Relay) Join(context.Context, *rpc.JoinRequest) (*rpc.JoinAnswer, error) { return nil, declined() }

func declined() error {
	return twirp.NewError(twirp.Unimplemented, "this instance does not have the control role")
}

func isMissing(err error) bool {
	var missing *store.Missing
	return errors.As(err, &missing)
}
