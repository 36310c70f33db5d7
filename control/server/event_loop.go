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

// writeJob is one write to the log: a compaction if snapshot is set, otherwise the
// save of a Ready.
type writeJob struct {
	ready    replog.Ready
	snapshot *replog.Snapshot
}

// inboundBatch is a batch of received Raft messages with the address of its sender.
type inboundBatch struct {
	address  string
	messages []replog.Message
}

// proposal is a command that waits for its commitment.
type proposal struct {
	command *rpc.Command
	term    uint64
	// outcome is buffered for the single result.
	outcome chan outcome
}

// outcome is the result of a committed command, or the reason why there is none.
type outcome struct {
	result *rpc.Result
	err    error
}

// eventLoop owns the Raft node. All events that concern the node pass through it.
func (s *Server) eventLoop(ctx context.Context) {
	ticks := s.options.Clock.Ticks
	if ticks == nil {
		ticker := time.NewTicker(s.options.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	defer s.failPendingProposals(Stopped)
	for s.handleReady(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			s.node.Tick()
			s.recordUpToDate()
			s.observeQuorum()
			s.reconcileMembership()
		case d := <-s.inbox:
			s.stepMessages(d)
		case replica := <-s.unreachable:
			s.node.ReportUnreachable(replica)
		case p := <-s.proposals:
			s.proposeBatch(p)
		case s.transferDone = <-s.transferRequests:
			s.transferLeadership()
		case replica := <-s.leaves:
			s.node.MarkLeaving(replica)
		case e := <-s.encodedSnapshots:
			s.compact(e)
		case joiner := <-s.joinRequests:
			s.pendingJoins[replog.ReplicaID(joiner.GetReplica())] = joiner
		case ready := <-s.persisted:
			if ready.MustSync {
				s.node.Advance(ready)
			} else {
				s.compacting = false
			}
		}
	}
}

// transferLeadership transfers leadership to a successor, if there is one.
func (s *Server) transferLeadership() {
	to := chooseSuccessor(s.node.Status(), s.options.ElectionTicks)
	if to == replog.None || s.node.TransferLeadership(to) != nil {
		s.finishTransfer()
	}
}

// finishTransfer signals to Close that the leadership transfer has ended or failed.
func (s *Server) finishTransfer() {
	if s.transferDone != nil {
		close(s.transferDone)
		s.transferDone = nil
	}
}

// stepMessages passes a batch of messages to the node, and all further batches that
// are already queued, so that their entries are written together.
func (s *Server) stepMessages(d inboundBatch) {
	for range maxInboxBatches {
		for _, m := range d.messages {
			s.transport.learnAddress(m.From, d.address)
			s.monitor.heardAt[m.From] = s.options.Clock.Now()
			if err := s.node.Step(m); err != nil {
				s.handleStepError(err)
			}
		}
		select {
		case d = <-s.inbox:
		default:
			return
		}
	}
}

// handleStepError stops the replica if the leader's log contradicts a committed
// entry. After any other error only the message is dropped.
func (s *Server) handleStepError(err error) {
	if _, inconsistent := err.(*replog.CommittedConflictError); inconsistent {
		s.abortRun(err)
		return
	}
	events.ControlMessageDropped.Log(s.log, zap.Error(err))
}

// proposeBatch appends a command and all further proposals that are already queued,
// so that they share one sync.
func (s *Server) proposeBatch(p *proposal) {
	for range maxProposalBatch {
		s.propose(p)
		select {
		case p = <-s.proposals:
		default:
			return
		}
	}
}

// propose sets the timestamps of one command and appends it to the log.
func (s *Server) propose(p *proposal) {
	p.command.Stamp = int64(s.logClock.at(s.options.Clock.Now()))
	p.command.Wall = s.options.Clock.Wall().UnixNano()
	data, err := proto.Marshal(p.command)
	if err != nil {
		p.outcome <- outcome{err: &UnavailableError{Reason: ProposalRefused, Cause: err}}
		return
	}
	at, err := s.node.Propose(data)
	if err != nil {
		p.outcome <- outcome{err: &UnavailableError{Reason: ProposalRefused, Cause: err}}
		return
	}
	p.term = at.Term
	s.pendingProposals[at.Index] = p
}

// failPendingProposals returns an error for all pending proposals. Their commands
// may still be committed later.
func (s *Server) failPendingProposals(reason UnavailableReason) {
	for index, p := range s.pendingProposals {
		p.outcome <- outcome{err: &UnavailableError{Reason: reason}}
		delete(s.pendingProposals, index)
	}
}

// handleReady processes all that the node has ready: writes, messages, and
// committed entries. It returns false if the replica must stop.
func (s *Server) handleReady(ctx context.Context) bool {
	for s.node.HasReady() {
		ready := s.node.Ready()
		if ready.MustSync {
			select {
			case s.writeJobs <- writeJob{ready: ready}:
			case <-ctx.Done():
				return false
			}
		}
		if ready.SoftState != nil {
			s.handleSoftState(*ready.SoftState)
		}
		s.transport.send(s.node.Status().Members, ready.Messages)
		if !s.apply(ready) {
			return false
		}
		if !ready.MustSync {
			s.node.Advance(ready)
		}
	}
	return true
}

// handleRoleChange starts the log clock of a new leader. A replica that does not
// lead fails its pending proposals instead.
func (s *Server) handleRoleChange(soft replog.SoftState) {
	if soft.Role == replog.Leader {
		s.mu.RLock()
		newest := s.state.Now()
		s.mu.RUnlock()
		s.logClock.restart(newest, s.options.Clock.Now())
		events.ControlLeaderElected.Log(s.log, zap.Uint64("term", s.node.Status().Term))
	} else {
		s.failPendingProposals(LeadershipLost)
		s.finishTransfer()
	}
}

// publishView updates the view of the group that other goroutines read. It calls
// update, if any, with mu held.
func (s *Server) publishView(update func()) {
	status := s.node.Status()
	self, _ := status.Members.Find(status.ID)
	leader, _ := status.Members.Find(status.Leader)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.isLeader = status.Role == replog.Leader
	s.view.leaderID = status.Leader
	s.view.leaderAddress = leader.Address
	s.view.isCurrent = s.softState.UpToDate
	s.view.members = status.Members
	s.view.membersCommitted = status.MembersIndex <= status.Commit
	s.view.isVoter = self.Replica == status.ID && !self.Learner
	s.view.groupID, s.view.founders = s.state.Group()
	if update != nil {
		update()
	}
	s.notifyChanged()
}

// apply applies the snapshot and the committed entries of a Ready to the state
// machine, and completes the proposals among them. It returns false if the replica
// must stop.
func (s *Server) apply(ready replog.Ready) bool {
	if ready.Snapshot != nil {
		s.failPendingProposals(LeadershipLost)
		if !s.restoreSnapshot(*ready.Snapshot) {
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
		s.appliedIndex = entry.Index
		s.bytesSinceSnapshot += len(entry.Data)
	}
	newest := s.state.Now()
	s.mu.Unlock()
	s.logClock.observe(newest, s.options.Clock.Now())
	s.publishView(nil)
	for i, entry := range ready.Committed {
		s.completeProposal(entry, results[i])
	}
	s.startSnapshot()
	return true
}

// completeProposal completes the proposal at the index of a committed entry. If the
// entry has another term, another leader's entry has taken the place of the
// proposal.
func (s *Server) completeProposal(entry replog.Entry, result *rpc.Result) {
	p := s.pendingProposals[entry.Index]
	if p == nil {
		return
	}
	delete(s.pendingProposals, entry.Index)
	if p.term != entry.Term || result == nil {
		p.outcome <- outcome{err: &UnavailableError{Reason: LeadershipLost}}
		return
	}
	p.outcome <- outcome{result: result}
}

// restoreSnapshot replaces the state by a snapshot from the leader. It returns
// false if the replica must stop.
func (s *Server) restoreSnapshot(snapshot replog.Snapshot) bool {
	var err error
	s.publishView(func() {
		if err = s.state.Restore(snapshot.Data); err == nil {
			s.appliedIndex = snapshot.Index
		}
	})
	if err != nil {
		s.abortRun(err)
		return false
	}
	events.ControlSnapshotTaken.Log(s.log, zap.Uint64("index", snapshot.Index))
	return true
}

// encodedSnapshot is the encoded state after the entry at index, or the error that
// encoding it failed with.
type encodedSnapshot struct {
	index uint64
	data  []byte
	err   error
}

// startSnapshot copies the state once enough bytes of entries have been applied. A
// separate goroutine encodes the copy, because with many claims that takes longer
// than a heartbeat may be delayed.
func (s *Server) startSnapshot() {
	if s.bytesSinceSnapshot < max(s.options.SnapshotBytes, s.lastSnapshotBytes) || s.compacting {
		return
	}
	s.compacting = true
	s.bytesSinceSnapshot = 0
	s.mu.RLock()
	index := s.appliedIndex
	snapshot := s.state.TakeSnapshot()
	s.mu.RUnlock()
	encoded := s.encodedSnapshots
	s.goroutines.Go(func() {
		data, err := state.EncodeSnapshot(snapshot)
		encoded <- encodedSnapshot{index: index, data: data, err: err}
	})
}

// compact replaces entries of the log by a snapshot, unless a newer snapshot has
// arrived from the leader in the meantime.
func (s *Server) compact(e encodedSnapshot) {
	if e.err != nil {
		s.abortRun(e.err)
		return
	}
	s.lastSnapshotBytes = len(e.data)
	snapshot, err := s.node.Compact(e.index, e.data)
	if err != nil {
		s.compacting = false
		return
	}
	s.writeJobs <- writeJob{snapshot: &snapshot}
}

// writeLoop executes write jobs. The replica stops after a failed write, because
// anything that it acknowledged later could be lost.
func (s *Server) writeLoop(ctx context.Context, log Log) {
	for {
		var j writeJob
		select {
		case j = <-s.writeJobs:
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
			s.abortRun(err)
			return
		}
		select {
		case s.persisted <- j.ready:
		case <-ctx.Done():
			return
		}
	}
}
