package server

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// job is one task of the disk: a save, or a compaction where snapshot is set.
type job struct {
	ready    replog.Ready
	snapshot *replog.Snapshot
}

// delivery is a batch of messages and where their sender is answered.
type delivery struct {
	address  string
	messages []replog.Message
}

// proposal is a command that waits to be decided.
type proposal struct {
	command *rpc.Command
	term    uint64
	// decided has room for the one outcome.
	decided chan outcome
}

type outcome struct {
	result *rpc.Result
	err    error
}

// loop owns the replog.Node.
func (s *Server) loop(ctx context.Context) {
	ticks := s.options.Clock.Ticks
	if ticks == nil {
		ticker := time.NewTicker(s.options.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	defer s.loseProposals(Stopped)
	for s.handleReady(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			s.node.Tick()
			s.noteFresh()
			s.repair()
		case d := <-s.inbox:
			s.step(d)
		case replica := <-s.lost:
			s.node.ReportUnreachable(replica)
		case p := <-s.proposals:
			s.propose(p)
		case s.handedOver = <-s.closing:
			s.handOver()
		case e := <-s.encoded:
			s.compact(e)
		case joiner := <-s.joins:
			s.joiners[replog.ReplicaID(joiner.GetReplica())] = joiner
		case ready := <-s.saved:
			if ready.MustSync {
				s.node.Advance(ready)
			} else {
				s.compacting = false
			}
		}
	}
}

// handOver lets the voter lead that is furthest in the log of those that answer.
func (s *Server) handOver() {
	status := s.node.Status()
	best := replog.None
	for _, voter := range status.Members.Voters() {
		progress, known := status.Progress[voter]
		answers := known && voter != status.ID && progress.TicksSinceResponse <= s.options.ElectionTicks
		if answers && (best == replog.None || progress.Match > status.Progress[best].Match) {
			best = voter
		}
	}
	if best == replog.None || s.node.TransferLeadership(best) != nil {
		s.noteHandedOver()
	}
}

func (s *Server) noteHandedOver() {
	if s.handedOver != nil {
		close(s.handedOver)
		s.handedOver = nil
	}
}

// step takes in messages, and all others that have come meanwhile: what they
// cause is then written together.
func (s *Server) step(d delivery) {
	for range inboxLength {
		for _, m := range d.messages {
			s.peers.learn(m.From, d.address)
			if err := s.node.Step(m); err != nil {
				s.stepFailed(err)
			}
		}
		select {
		case d = <-s.inbox:
		default:
			return
		}
	}
}

func (s *Server) stepFailed(err error) {
	if _, broken := err.(*replog.CommittedConflictError); broken {
		s.broken(err)
		return
	}
	events.ControlMessageDropped.Log(s.log, zap.Error(err))
}

// propose appends the command, and all others that have come meanwhile, so that
// they share one sync.
func (s *Server) propose(p *proposal) {
	for range proposalBatch {
		s.proposeOne(p)
		select {
		case p = <-s.proposals:
		default:
			return
		}
	}
}

func (s *Server) proposeOne(p *proposal) {
	p.command.Stamp = int64(s.logClock.at(s.options.Clock.Now()))
	p.command.Wall = s.options.Clock.Wall().UnixNano()
	data, err := proto.Marshal(p.command)
	if err != nil {
		p.decided <- outcome{err: &UnavailableError{Reason: ProposalRefused, Cause: err}}
		return
	}
	at, err := s.node.Propose(data)
	if err != nil {
		p.decided <- outcome{err: &UnavailableError{Reason: ProposalRefused, Cause: err}}
		return
	}
	p.term = at.Term
	s.waiting[at.Index] = p
}

// loseProposals tells all who wait that their command may or may not be decided.
func (s *Server) loseProposals(reason UnavailableReason) {
	for index, p := range s.waiting {
		p.decided <- outcome{err: &UnavailableError{Reason: reason}}
		delete(s.waiting, index)
	}
}

// handleReady does everything the node has to have done. It returns false when
// the replica must stop.
func (s *Server) handleReady(ctx context.Context) bool {
	for s.node.HasReady() {
		ready := s.node.Ready()
		if ready.MustSync {
			select {
			case s.jobs <- job{ready: ready}:
			case <-ctx.Done():
				return false
			}
		}
		if ready.SoftState != nil {
			s.takeSoftState(*ready.SoftState)
		}
		s.peers.send(s.node.Status().Members, ready.Messages)
		if !s.apply(ready) {
			return false
		}
		if !ready.MustSync {
			s.node.Advance(ready)
		}
	}
	return true
}

func (s *Server) takeRole(soft replog.SoftState) {
	if soft.Role == replog.Leader {
		s.mu.RLock()
		newest := s.state.Now()
		s.mu.RUnlock()
		s.logClock.restart(newest, s.options.Clock.Now())
		events.ControlLeads.Log(s.log, zap.Uint64("term", s.node.Status().Term))
	} else {
		s.loseProposals(LeadershipLost)
		s.noteHandedOver()
	}
}

// publish renews what other goroutines see of the group.
func (s *Server) publish(more func()) {
	status := s.node.Status()
	self, _ := status.Members.Find(status.ID)
	leader, _ := status.Members.Find(status.Leader)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.leads = status.Role == replog.Leader
	s.view.leader = status.Leader
	s.view.leaderAddress = leader.Address
	s.view.current = s.soft.UpToDate
	s.view.members = status.Members
	s.view.voter = self.Replica == status.ID && !self.Learner
	s.view.group, s.view.founders = s.state.Group()
	if more != nil {
		more()
	}
	s.wake()
}

// apply brings the state up to date with a Ready, and answers the proposals
// that were decided by it.
func (s *Server) apply(ready replog.Ready) bool {
	if ready.Snapshot != nil {
		s.loseProposals(LeadershipLost)
		if !s.restore(*ready.Snapshot) {
			return false
		}
	}
	if len(ready.Committed) == 0 {
		return true
	}
	results := make([]*rpc.Result, len(ready.Committed))
	s.mu.Lock()
	for i, entry := range ready.Committed {
		if entry.Kind == replog.EntryCommand {
			_, results[i] = s.state.Apply(entry.Index, entry.Data)
			results[i].Index = entry.Index
		}
		s.applied = entry.Index
		s.appliedBytes += len(entry.Data)
	}
	newest := s.state.Now()
	s.mu.Unlock()
	s.logClock.observe(newest, s.options.Clock.Now())
	s.publish(nil)
	for i, entry := range ready.Committed {
		s.decide(entry, results[i])
	}
	s.takeSnapshot()
	return true
}

// decide answers the proposal at the entry's index. Another term there means
// that another leader's entry took the place.
func (s *Server) decide(entry replog.Entry, result *rpc.Result) {
	p := s.waiting[entry.Index]
	if p == nil {
		return
	}
	delete(s.waiting, entry.Index)
	if p.term != entry.Term || result == nil {
		p.decided <- outcome{err: &UnavailableError{Reason: LeadershipLost}}
		return
	}
	p.decided <- outcome{result: result}
}

func (s *Server) restore(snapshot replog.Snapshot) bool {
	var err error
	s.publish(func() {
		if err = s.state.Restore(snapshot.Data); err == nil {
			s.applied = snapshot.Index
		}
	})
	if err != nil {
		s.broken(err)
		return false
	}
	events.ControlSnapshotTaken.Log(s.log, zap.Uint64("index", snapshot.Index))
	return true
}

// encodedSnapshot is the state after the entry at index.
type encodedSnapshot struct {
	index uint64
	data  []byte
	err   error
}

// takeSnapshot copies the state once the applied entries have grown large. The
// copy is encoded apart: with many claims that takes longer than a heartbeat may
// be late.
func (s *Server) takeSnapshot() {
	if s.appliedBytes < max(s.options.SnapshotBytes, s.snapshotSize) || s.compacting {
		return
	}
	s.compacting = true
	s.appliedBytes = 0
	s.mu.RLock()
	index := s.applied
	snapshot := s.state.TakeSnapshot()
	s.mu.RUnlock()
	encoded := s.encoded
	s.running.Go(func() {
		data, err := state.EncodeSnapshot(snapshot)
		encoded <- encodedSnapshot{index: index, data: data, err: err}
	})
}

// compact replaces entries by a snapshot, unless a newer one of the leader has
// come in the meantime.
func (s *Server) compact(e encodedSnapshot) {
	if e.err != nil {
		s.broken(e.err)
		return
	}
	s.snapshotSize = len(e.data)
	snapshot, err := s.node.Compact(e.index, e.data)
	if err != nil {
		s.compacting = false
		return
	}
	s.jobs <- job{snapshot: &snapshot}
}

// write does the jobs of the disk. A disk that fails stops the replica: what it
// acknowledges after that could be lost.
func (s *Server) write(ctx context.Context, log Log) {
	for {
		var j job
		select {
		case j = <-s.jobs:
		case <-ctx.Done():
			return
		}
		var err error
		if j.snapshot != nil {
			err = log.Compact(*j.snapshot)
		} else {
			err = log.Save(j.ready)
		}
		if err != nil {
			s.broken(err)
			return
		}
		select {
		case s.saved <- j.ready:
		case <-ctx.Done():
			return
		}
	}
}
