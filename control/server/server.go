package server

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

// Server is one control instance. It implements rpc.Control. Its methods may be
// called from any goroutine.
type Server struct {
	options Options
	log     *zap.Logger
	// replica is this disk's identity; fixed once Start has returned.
	replica replog.ReplicaID
	peers   *peers

	inbox     chan delivery
	lost      chan replog.ReplicaID
	proposals chan *proposal
	joins     chan *rpc.Founder
	// closing takes a channel to be closed once this replica does not lead.
	closing chan chan<- struct{}
	// disk is written by one goroutine; jobs are done in order.
	jobs  chan job
	saved chan replog.Ready
	// encoded are snapshots to compact the log with.
	encoded chan encodedSnapshot

	stop    context.CancelFunc
	stopped chan struct{}
	running sync.WaitGroup

	// mu guards what follows.
	mu    sync.RWMutex
	state *state.State
	// applied is the index of the newest applied entry.
	applied uint64
	view    view
	failure error
	// freshAt is as of when, by the replica's clock, the state is known to have been
	// the newest of the group; negative while it never was.
	freshAt time.Duration
	// changed is closed and replaced when applied, view or the revision moves.
	changed chan struct{}

	// What follows is used by the loop only.
	node         *replog.Node
	logClock     logClock
	waiting      map[uint64]*proposal
	appliedBytes int
	compacting   bool
	// snapshotSize is that of the newest snapshot. The next one is taken after as
	// many bytes of entries at least, so that a large state is not written over
	// and over for few changes.
	snapshotSize int
	joiners      map[replog.ReplicaID]*rpc.Founder
	repairTicks  int
	// broken ends the present run with its cause.
	broken func(error)
	// soft is the newest state of the node that was looked at.
	soft replog.SoftState
	// handedOver is closed once this replica does not lead, nil before Close.
	handedOver chan<- struct{}
}

// view is what other goroutines need to know of the replicated log.
type view struct {
	// hasLog is set as soon as this replica has a log or is about to make one,
	// formed once it takes part in the group.
	hasLog        bool
	formed        bool
	leads         bool
	leader        replog.ReplicaID
	leaderAddress string
	// current is set while the state is the newest of the group.
	current  bool
	group    uint64
	founders []*rpc.Founder
	voter    bool
	members  replog.Members
}

// Start opens the disk and runs the replica. A replica without a log first
// forms the group with the other control instances, or joins the one they have;
// Start does not wait for that. It fails if the disk is damaged.
func Start(options Options) (*Server, error) {
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options:   options,
		log:       options.Log,
		inbox:     make(chan delivery, inboxLength),
		lost:      make(chan replog.ReplicaID, inboxLength),
		proposals: make(chan *proposal, proposalBatch),
		joins:     make(chan *rpc.Founder, len(options.Peers)+1),
		closing:   make(chan chan<- struct{}, 1),
		jobs:      make(chan job, 2),
		saved:     make(chan replog.Ready, 1),
		encoded:   make(chan encodedSnapshot, 1),
		stop:      cancel,
		stopped:   make(chan struct{}),
		state:     state.New(options.Limits),
		changed:   make(chan struct{}),
		freshAt:   neverFresh,
		waiting:   map[uint64]*proposal{},
		joiners:   map[replog.ReplicaID]*rpc.Founder{},
	}
	s.peers = newPeers(ctx, options, s.lost, &s.running)
	log, err := options.LogStore.Open()
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	if log != nil {
		s.view.hasLog = true
		_, s.replica = log.Identity()
	} else if s.replica, err = options.LogStore.NewReplicaID(); err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	s.running.Go(func() {
		defer close(s.stopped)
		s.run(ctx, log)
	})
	return s, nil
}

// Close hands leadership over if this replica leads, stops it and closes its
// log. Without the hand-over the group would decide nothing until it noticed
// that its leader is gone, at each planned restart.
func (s *Server) Close() {
	timer := time.NewTimer(handOverTimeout)
	defer timer.Stop()
	if s.Status().IsLeader {
		handedOver := make(chan struct{})
		select {
		case s.closing <- handedOver:
		case <-s.stopped:
		}
		select {
		case <-handedOver:
		case <-s.stopped:
		case <-timer.C:
		}
	}
	s.stop()
	s.running.Wait()
}

// Stopped is closed when the replica has stopped, by Close or by a failure.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Err returns why the replica stopped by itself, nil if it did not.
func (s *Server) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.failure
}

func (s *Server) fail(err error) {
	s.mu.Lock()
	s.failure = err
	s.mu.Unlock()
	events.ControlFailed.Log(s.log, zap.Error(err))
	s.stop()
}

// run forms or joins the group where needed and then runs the loop, anew after
// each time that the disk was full.
func (s *Server) run(ctx context.Context, log Log) {
	if log == nil {
		var err error
		if log, err = s.form(ctx); err != nil {
			if ctx.Err() == nil {
				s.fail(err)
			}
			return
		}
	}
	for {
		err := s.serve(ctx, log)
		if ctx.Err() != nil {
			return
		}
		if !store.IsFull(err) {
			s.fail(err)
			return
		}
		if log = s.reopen(ctx, err); log == nil {
			return
		}
	}
}

// serve takes part in the group until the context ends or something fails.
func (s *Server) serve(ctx context.Context, log Log) error {
	defer func() { _ = log.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.broken = func(err error) { cancel(err) }
	if err := s.open(log); err != nil {
		return err
	}
	writer := sync.WaitGroup{}
	writer.Go(func() { s.write(ctx, log) })
	s.loop(ctx)
	cancel(nil)
	writer.Wait()
	return context.Cause(ctx)
}

// reopen waits until the log can be read again after a write found the disk
// full, and returns nil when the server is closed.
//
// What could not be written was never acknowledged, so the replica goes on from
// what it has, like after a restart. Were it to end instead, its process would
// be started again and again until there is room, and the instance would serve
// no operator meanwhile.
func (s *Server) reopen(ctx context.Context, cause error) Log {
	events.ControlDiskFull.Log(s.log, zap.Error(cause))
	s.mu.Lock()
	s.view.formed, s.view.leads, s.view.leader, s.view.leaderAddress = false, false, replog.None, ""
	s.view.current = false
	s.wake()
	s.mu.Unlock()
	for {
		s.pause(ctx, fullPause)
		if ctx.Err() != nil {
			return nil
		}
		log, err := s.options.LogStore.Open()
		if err == nil && log != nil {
			s.forgetLife()
			return log
		}
		if err != nil && !store.IsFull(err) {
			s.fail(err)
			return nil
		}
	}
}

// forgetLife clears what belonged to the replica's run before the disk was full.
func (s *Server) forgetLife() {
	s.mu.Lock()
	s.state = state.New(s.options.Limits)
	s.applied = 0
	s.mu.Unlock()
	s.appliedBytes, s.compacting = 0, false
	s.jobs = make(chan job, cap(s.jobs))
	s.saved = make(chan replog.Ready, cap(s.saved))
	s.encoded = make(chan encodedSnapshot, cap(s.encoded))
}

// open restores the state from the log.
func (s *Server) open(log Log) error {
	group, replica := log.Identity()
	saved, err := log.Load()
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if saved.Snapshot.Index > 0 {
		if err := s.state.Restore(saved.Snapshot.Data); err != nil {
			return trace.Wrap(err)
		}
	}
	s.applied = saved.Snapshot.Index
	s.snapshotSize = len(saved.Snapshot.Data)
	s.node, err = replog.NewNode(replog.Config{
		ID:             replica,
		Group:          group,
		ElectionTicks:  s.options.ElectionTicks,
		HeartbeatTicks: defaultHeartbeatTicks,
		Seed:           uint64(replica),
	}, saved)
	if err != nil {
		return trace.Wrap(err)
	}
	s.soft = replog.SoftState{}
	s.freshAt = neverFresh
	s.view.formed = true
	s.view.group, s.view.founders = s.state.Group()
	s.wake()
	return nil
}

// wake lets those who wait for a change look again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the revision in force at this replica.
func (s *Server) Revision() tables.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Revision()
}

// View calls f with the replicated state, which f must not change or keep.
func (s *Server) View(f func(*state.State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Changed returns a channel that is closed when the state, or what this replica
// knows of its group, has changed.
func (s *Server) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Status is a replica's view of its group.
type Status struct {
	Joined        bool
	IsLeader      bool
	LeaderAddress string
	IsVoter       bool
	AppliedIndex  uint64
	// IsCurrent is set while the state was the newest that the group had decided
	// within the last ElectionTicks: others may rely on it. A replica that knows a
	// leader may still lag.
	IsCurrent bool
	// Lag is how long ago the state is known to have been the newest; negative if
	// it never was in this life.
	Lag time.Duration
	// ClaimCount is the number of claims kept.
	ClaimCount int
	Members    replog.Members
}

// Status returns the replica's view of its group.
func (s *Server) Status() Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Status{
		Joined:        s.view.formed,
		IsLeader:      s.view.leads,
		LeaderAddress: s.view.leaderAddress,
		IsVoter:       s.view.voter,
		AppliedIndex:  s.applied,
		IsCurrent:     s.view.current,
		Lag:           s.lag(),
		ClaimCount:    s.state.ClaimCount(),
		Members:       s.view.members,
	}
}

// until waits until ok, which is called with mu held for reading, is true.
func (s *Server) until(ctx context.Context, ok func() bool) error {
	for {
		s.mu.RLock()
		changed, reached := s.changed, ok()
		s.mu.RUnlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-s.stopped:
			return trace.Wrap(&UnavailableError{Reason: Stopped})
		}
	}
}

// pause waits for a while or for the end of the context.
func (s *Server) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stopped:
	}
}
