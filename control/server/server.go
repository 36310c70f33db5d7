package server

import (
	"context"
	"sync"
	"sync/atomic"
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

// Server is one replica of the control group. It implements rpc.Control. One
// goroutine, the event loop, owns the Raft node; a second one writes to disk. The
// methods may be called from any goroutine.
type Server struct {
	options Options
	log     *zap.Logger
	// replicaID is fixed once Start has returned.
	replicaID replog.ReplicaID
	transport *transport

	inbox        chan inboundBatch
	unreachable  chan replog.ReplicaID
	proposals    chan *proposal
	joinRequests chan *rpc.Founder
	// transferRequests asks the event loop to transfer leadership. The channel in a
	// request is closed once this replica does not lead.
	transferRequests chan chan<- struct{}
	// leaves are replicas that are about to stop. leaving is set once this one is.
	leaves  chan replog.ReplicaID
	leaving atomic.Bool
	// writeJobs are executed in order by one goroutine, which reports each on
	// persisted.
	writeJobs chan writeJob
	persisted chan replog.Ready
	// encodedSnapshots are ready to replace entries of the log.
	encodedSnapshots chan encodedSnapshot

	stop       context.CancelFunc
	stopped    chan struct{}
	goroutines sync.WaitGroup

	// mu guards the fields up to changed.
	mu    sync.RWMutex
	state *state.State
	// appliedIndex is the index of the newest applied entry.
	appliedIndex uint64
	view         groupView
	err          error
	// upToDateAt is the latest time, by the replica's clock, at which the state was
	// known to be the newest of the group; negative if there is none.
	upToDateAt time.Duration
	// changed is closed and replaced when appliedIndex, view or revision changes.
	changed chan struct{}

	// The fields from here on are used by the event loop only.
	node               *replog.Node
	logClock           logClock
	pendingProposals   map[uint64]*proposal
	bytesSinceSnapshot int
	compacting         bool
	// lastSnapshotBytes is the size of the newest snapshot. The next one is taken
	// after entries of at least the same size, so that a large state is not written
	// again and again for few changes.
	lastSnapshotBytes int
	pendingJoins      map[replog.ReplicaID]*rpc.Founder
	reconcileTicks    int
	// nextChangeTicks is when a membership change may be proposed again after one was
	// rejected.
	nextChangeTicks int
	monitor         quorumMonitor
	// abortRun ends runReplica with the given error.
	abortRun func(error)
	// softState is the last soft state of the node that was processed.
	softState replog.SoftState
	// transferDone is closed once this replica does not lead; nil before Close.
	transferDone chan<- struct{}
}

// groupView is the state of the Raft group that is published to other goroutines.
type groupView struct {
	// hasLog is set once this replica has a log or is about to create one. joined
	// is set while it takes part in the group.
	hasLog        bool
	joined        bool
	isLeader      bool
	leaderID      replog.ReplicaID
	leaderAddress string
	// isCurrent is set while the state is known to be the newest of the group.
	isCurrent bool
	groupID   uint64
	founders  []*rpc.Founder
	isVoter   bool
	members   replog.Members
	// membersCommitted is set if members is final.
	membersCommitted bool
	quorum           Quorum
}

// Start opens the log and runs the replica. A replica without a log first joins the
// group of the other control instances or bootstraps one with them; Start does not
// wait for that. It fails if the log is corrupt.
func Start(options Options) (*Server, error) {
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options:          options,
		log:              options.Log,
		inbox:            make(chan inboundBatch, maxInboxBatches),
		unreachable:      make(chan replog.ReplicaID, maxInboxBatches),
		proposals:        make(chan *proposal, maxProposalBatch),
		joinRequests:     make(chan *rpc.Founder, len(options.Peers)+1),
		transferRequests: make(chan chan<- struct{}, 1),
		leaves:           make(chan replog.ReplicaID, 1),
		writeJobs:        make(chan writeJob, 2),
		persisted:        make(chan replog.Ready, 1),
		encodedSnapshots: make(chan encodedSnapshot, 1),
		stop:             cancel,
		stopped:          make(chan struct{}),
		state:            state.New(options.Limits),
		changed:          make(chan struct{}),
		upToDateAt:       neverUpToDate,
		pendingProposals: map[uint64]*proposal{},
		pendingJoins:     map[replog.ReplicaID]*rpc.Founder{},
	}
	s.transport = newTransport(ctx, options, s.unreachable, &s.goroutines)
	log, err := options.LogStore.Open()
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	if log != nil {
		s.view.hasLog = true
		_, s.replicaID = log.Identity()
	} else if s.replicaID, err = options.LogStore.NewReplicaID(); err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	s.goroutines.Go(func() {
		defer close(s.stopped)
		s.run(ctx, log)
	})
	return s, nil
}

// Stopped returns a channel that is closed when the replica has stopped, by Close
// or by a failure.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Err returns the failure that stopped the replica, nil if there was none.
func (s *Server) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.err
}

// fail stops the replica with an error that Err returns.
func (s *Server) fail(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	events.ControlFailed.Log(s.log, zap.Error(err))
	s.stop()
}

// run joins or bootstraps the group if there is no log, and then runs the replica.
// It restarts the replica each time that a full disk has stopped it.
func (s *Server) run(ctx context.Context, log Log) {
	if log == nil {
		var err error
		if log, err = s.joinOrBootstrap(ctx); err != nil {
			if ctx.Err() == nil {
				s.fail(err)
			}
			return
		}
	}
	for {
		err := s.runReplica(ctx, log)
		if ctx.Err() != nil {
			return
		}
		if !store.IsDiskFull(err) {
			s.fail(err)
			return
		}
		if log = s.reopenAfterDiskFull(ctx, err); log == nil {
			return
		}
	}
}

// runReplica takes part in the group until the context ends or a failure occurs,
// and returns the cause.
func (s *Server) runReplica(ctx context.Context, log Log) error {
	defer func() { _ = log.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.abortRun = func(err error) { cancel(err) }
	if err := s.restoreFromLog(log); err != nil {
		return err
	}
	writer := sync.WaitGroup{}
	writer.Go(func() { s.writeLoop(ctx, log) })
	s.eventLoop(ctx)
	cancel(nil)
	writer.Wait()
	return context.Cause(ctx)
}

// reopenAfterDiskFull waits until the log can be opened again after a write has
// failed because the disk is full. It returns nil if the server is closed.
//
// Entries that could not be written were never acknowledged, so the replica
// continues from what is on disk, as after a restart. If the process exited
// instead, its supervisor would restart it again and again until there is space,
// and operators could not reach the instance in the meantime.
func (s *Server) reopenAfterDiskFull(ctx context.Context, cause error) Log {
	events.ControlDiskFull.Log(s.log, zap.Error(cause))
	s.mu.Lock()
	s.view.joined, s.view.isLeader, s.view.leaderID, s.view.leaderAddress = false, false, replog.None, ""
	s.view.isCurrent = false
	s.notifyChanged()
	s.mu.Unlock()
	for {
		s.sleep(ctx, diskFullRetryDelay)
		if ctx.Err() != nil {
			return nil
		}
		log, err := s.options.LogStore.Open()
		if err == nil && log != nil {
			s.resetReplica()
			return log
		}
		if err != nil && !store.IsDiskFull(err) {
			s.fail(err)
			return nil
		}
	}
}

// resetReplica clears the state of the run that a full disk has ended.
func (s *Server) resetReplica() {
	s.mu.Lock()
	s.state = state.New(s.options.Limits)
	s.appliedIndex = 0
	s.mu.Unlock()
	s.bytesSinceSnapshot, s.compacting = 0, false
	s.writeJobs = make(chan writeJob, cap(s.writeJobs))
	s.persisted = make(chan replog.Ready, cap(s.persisted))
	s.encodedSnapshots = make(chan encodedSnapshot, cap(s.encodedSnapshots))
}

// restoreFromLog restores the state machine from the newest snapshot and creates
// the Raft node, which applies the committed entries after it.
func (s *Server) restoreFromLog(log Log) error {
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
	s.appliedIndex = saved.Snapshot.Index
	s.lastSnapshotBytes = len(saved.Snapshot.Data)
	s.node, err = replog.NewNode(replog.Config{
		ID:             replica,
		Group:          group,
		ElectionTicks:  s.options.ElectionTicks,
		HeartbeatTicks: defaultHeartbeatTicks,
		MaxEntryBytes:  maxEntryBytes,
		Seed:           uint64(replica),
	}, saved)
	if err != nil {
		return trace.Wrap(err)
	}
	s.softState = replog.SoftState{}
	s.monitor = newQuorumMonitor(s.options.Clock.Now())
	s.upToDateAt = neverUpToDate
	s.view.joined = true
	s.view.groupID, s.view.founders = s.state.Group()
	s.notifyChanged()
	return nil
}

// notifyChanged wakes goroutines that wait for a change. The caller holds mu.
func (s *Server) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Revision returns the configuration revision in force at this replica.
func (s *Server) Revision() tables.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Revision()
}

// View calls f with the replicated state. f must not modify or retain it.
func (s *Server) View(f func(*state.State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Changed returns a channel that is closed when the replicated state or this
// replica's view of its group changes.
func (s *Server) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// waitUntil waits until ok returns true. ok is called with mu held for reading.
func (s *Server) waitUntil(ctx context.Context, ok func() bool) error {
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

// sleep waits for a duration, or until the context ends or the replica stops.
func (s *Server) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stopped:
	}
}
