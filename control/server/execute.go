package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Execute replicates a command and returns its result. A replica that does not lead
// forwards the command to the leader. Execute retries until the context ends, which
// is safe because commands are idempotent: each identifies its request, and a
// repeated command gets the same answer. After an error the command may or may not
// have been committed.
func (s *Server) Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, executeTimeout)
		defer cancel()
	}
	if command.GetHops() > 0 {
		return s.execute(ctx, command)
	}
	start := s.options.Clock.Now()
	result, err := s.execute(ctx, command)
	s.options.ObserveCommand(commandName(command), err == nil, s.options.Clock.Now()-start)
	return result, err
}

// commandName returns the name of the command in metrics.
func commandName(command *rpc.Command) string {
	m := command.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("action"))
	if field == nil {
		return "none"
	}
	return string(field.Name())
}

// execute attempts a command until it is committed or the context ends. A forwarded
// command is attempted once, because its sender retries.
func (s *Server) execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	for {
		result, err := s.tryOnce(ctx, command)
		if err == nil {
			return result, nil
		}
		if command.GetHops() > 0 || ctx.Err() != nil || s.hasStopped() {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		s.sleep(ctx, retryDelay)
	}
}

func (s *Server) hasStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

// tryOnce makes one attempt to execute a command, here or through another replica.
func (s *Server) tryOnce(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	s.mu.RLock()
	view := s.view
	s.mu.RUnlock()
	switch {
	case !view.joined:
		return nil, &UnavailableError{Reason: NotJoined}
	case view.isLeader:
		return s.proposeLocally(ctx, command)
	case command.GetHops() >= maxHops:
		return nil, &UnavailableError{Reason: NoLeader}
	}
	var lastErr error = &UnavailableError{Reason: NoLeader}
	for _, address := range s.forwardTargets(view) {
		result, err := s.forward(ctx, address, command)
		if err == nil {
			return result, nil
		}
		lastErr = &UnavailableError{Reason: ForwardFailed, Cause: err}
	}
	return nil, lastErr
}

// forwardTargets returns the addresses to forward a command to, in order: the
// leader, then a random other member. The other member helps if messages between
// this replica and the leader are lost in one direction only, while all others
// reach both.
func (s *Server) forwardTargets(view groupView) []string {
	var targets []string
	if view.leaderID != replog.None && view.leaderAddress != "" {
		targets = append(targets, view.leaderAddress)
	}
	if len(view.members) > 0 {
		other := view.members[rand.IntN(len(view.members))]
		if other.Replica != s.replicaID && other.Replica != view.leaderID {
			targets = append(targets, other.Address)
		}
	}
	return targets
}

// forward sends a command to another replica.
func (s *Server) forward(ctx context.Context, address string, command *rpc.Command) (*rpc.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	forwarded := &rpc.Command{Hops: command.GetHops() + 1, Action: command.GetAction()}
	return s.options.Dialer.Control(address).Execute(ctx, forwarded)
}

// proposeLocally proposes a command to the Raft node of this replica and waits for
// its result.
func (s *Server) proposeLocally(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	p := &proposal{
		command: &rpc.Command{Action: command.GetAction()},
		outcome: make(chan outcome, 1),
	}
	select {
	case s.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.stopped:
		return nil, &UnavailableError{Reason: Stopped}
	}
	select {
	case o := <-p.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.stopped:
		return nil, &UnavailableError{Reason: Stopped}
	}
}

// Barrier waits until this replica has applied everything that was committed when
// it was called. A read after it is linearizable.
func (s *Server) Barrier(ctx context.Context) error {
	result, err := s.Execute(ctx, &rpc.Command{Action: &rpc.Command_PassTime{PassTime: &rpc.PassTime{}}})
	if err != nil {
		return trace.Wrap(&tables.NoQuorumError{Operation: "read", Cause: err})
	}
	return trace.Wrap(s.waitUntil(ctx, func() bool { return s.appliedIndex >= result.GetIndex() }))
}

// Deliver queues received Raft messages for the event loop. It drops messages that
// are addressed to an earlier replica of this instance, whose disk was lost.
func (s *Server) Deliver(_ context.Context, request *rpc.DeliverRequest) (*rpc.DeliverAnswer, error) {
	d := inboundBatch{address: request.GetAddress()}
	for _, encoded := range request.GetMessages() {
		m, err := decodeMessage(encoded)
		if err != nil {
			return nil, twirp.InvalidArgumentError("messages", err.Error())
		}
		if m.To == s.replicaID {
			d.messages = append(d.messages, m)
		}
	}
	select {
	case s.inbox <- d:
		return &rpc.DeliverAnswer{}, nil
	default:
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many messages are waiting")
	}
}

// Watch is a long poll for configurations. It returns once the revision in force is
// newer than the caller's, or without items when the wait has elapsed. It never
// returns an older revision.
func (s *Server) Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	wait := min(time.Duration(request.GetWaitNanos()), maxWatchWait)
	waitCtx, cancel := context.WithTimeout(ctx, max(0, wait))
	defer cancel()
	have := tables.Revision(request.GetRevision())
	_ = s.waitUntil(waitCtx, func() bool { return s.state.Revision() > have })
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.state.Revision() <= have {
		// A replica that is isolated from its group, or whose disk hangs, cannot
		// know of newer revisions. The error makes its followers ask another
		// replica; otherwise they would wait here until the failure ends.
		if !s.view.isCurrent {
			return nil, twirp.NewError(twirp.Unavailable, string(NoLeader))
		}
		return &rpc.WatchAnswer{Revision: request.GetRevision()}, nil
	}
	answer := &rpc.WatchAnswer{
		Revision: uint64(s.state.Revision()),
		Digest:   s.state.Content().Digest(),
	}
	changes, complete := s.state.ChangesSince(have)
	if complete && have > 0 {
		answer.Items = changes
		return answer, nil
	}
	answer.Full = true
	answer.Items = s.state.Content().Items()
	return answer, nil
}
