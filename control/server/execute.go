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

// Execute has the command agreed by the quorum and returns its result. A
// replica that does not lead passes it on to the leader. It tries again until
// the context ends, which is safe because every command says whose it is and is
// answered alike when it comes twice. Its failure means that the command may or
// may not have been decided.
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

// commandName is the command's name in measurements.
func commandName(command *rpc.Command) string {
	m := command.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("action"))
	if field == nil {
		return "none"
	}
	return string(field.Name())
}

func (s *Server) execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	for {
		result, err := s.try(ctx, command)
		if err == nil {
			return result, nil
		}
		if command.GetHops() > 0 || ctx.Err() != nil || s.hasStopped() {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		s.pause(ctx, retryPause)
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

func (s *Server) try(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	s.mu.RLock()
	seen := s.view
	s.mu.RUnlock()
	switch {
	case !seen.formed:
		return nil, &UnavailableError{Reason: NotJoined}
	case seen.leads:
		return s.decideHere(ctx, command)
	case command.GetHops() >= maxHops:
		return nil, &UnavailableError{Reason: NoLeader}
	}
	var last error = &UnavailableError{Reason: NoLeader}
	for _, address := range s.ways(seen) {
		result, err := s.forward(ctx, address, command)
		if err == nil {
			return result, nil
		}
		last = &UnavailableError{Reason: ForwardFailed, Cause: err}
	}
	return nil, last
}

// ways lists where to pass a command on: to the leader, and else to any other
// member. The way between this replica and the leader may be lost in one
// direction, while all others reach both.
func (s *Server) ways(seen view) []string {
	var ways []string
	if seen.leader != replog.None && seen.leaderAddress != "" {
		ways = append(ways, seen.leaderAddress)
	}
	if len(seen.members) > 0 {
		other := seen.members[rand.IntN(len(seen.members))]
		if other.Replica != s.replica && other.Replica != seen.leader {
			ways = append(ways, other.Address)
		}
	}
	return ways
}

func (s *Server) forward(ctx context.Context, address string, command *rpc.Command) (*rpc.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	passed := &rpc.Command{Hops: command.GetHops() + 1, Action: command.GetAction()}
	return s.options.Dialer.Control(address).Execute(ctx, passed)
}

func (s *Server) decideHere(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	p := &proposal{
		command: &rpc.Command{Action: command.GetAction()},
		decided: make(chan outcome, 1),
	}
	select {
	case s.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.stopped:
		return nil, &UnavailableError{Reason: Stopped}
	}
	select {
	case o := <-p.decided:
		return o.result, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.stopped:
		return nil, &UnavailableError{Reason: Stopped}
	}
}

// Barrier waits until this replica has applied everything that was decided when
// it was called.
func (s *Server) Barrier(ctx context.Context) error {
	result, err := s.Execute(ctx, &rpc.Command{Action: &rpc.Command_PassTime{PassTime: &rpc.PassTime{}}})
	if err != nil {
		return trace.Wrap(&tables.NoQuorumError{Operation: "read", Cause: err})
	}
	return trace.Wrap(s.until(ctx, func() bool { return s.applied >= result.GetIndex() }))
}

// Deliver takes in messages of the replicated log. Those for an older replica,
// whose disk was lost, are for nobody.
func (s *Server) Deliver(_ context.Context, request *rpc.DeliverRequest) (*rpc.DeliverAnswer, error) {
	d := delivery{address: request.GetAddress()}
	for _, encoded := range request.GetMessages() {
		m, err := decodeMessage(encoded)
		if err != nil {
			return nil, twirp.InvalidArgumentError("messages", err.Error())
		}
		if m.To == s.replica {
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

// Watch answers once the configuration in force is newer than the caller's, or
// with nothing new when the wait is over. It never answers with an older one.
func (s *Server) Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	wait := min(time.Duration(request.GetWaitNanos()), maxWatch)
	waiting, cancel := context.WithTimeout(ctx, max(0, wait))
	defer cancel()
	have := tables.Revision(request.GetRevision())
	_ = s.until(waiting, func() bool { return s.state.Revision() > have })
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.state.Revision() <= have {
		// A replica that is cut off from its group, or whose disk hangs, cannot know
		// of newer revisions. Its followers have to ask another one, or they would
		// wait here for as long as that lasts.
		if !s.view.current {
			return nil, twirp.NewError(twirp.Unavailable, string(NoLeader))
		}
		return &rpc.WatchAnswer{Revision: request.GetRevision()}, nil
	}
	answer := &rpc.WatchAnswer{
		Revision: uint64(s.state.Revision()),
		Digest:   s.state.Content().Digest(),
	}
	changes, reaches := s.state.ChangesSince(have)
	if reaches && have > 0 {
		answer.Items = changes
		return answer, nil
	}
	answer.Full = true
	answer.Items = s.state.Content().Items()
	return answer, nil
}
