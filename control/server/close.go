package server

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// handOverTimeout bounds how long HandOver waits for a learner to vote in place of this replica.
	handOverTimeout = 3 * time.Second
	// leaveWait bounds one Leave request. It is below the time for which the leader remembers that
	// a replica leaves.
	leaveWait = 250 * time.Millisecond
)

// Close transfers leadership if this replica leads, stops the replica and closes its log. Without the
// transfer, the group could commit nothing after each restart of its leader until an election timeout
// has elapsed.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	s.handOverLeadership(ctx)
	s.stop()
	s.goroutines.Wait()
}

// handOverLeadership transfers leadership if this replica leads.
func (s *Server) handOverLeadership(ctx context.Context) {
	if !s.Status().IsLeader {
		return
	}
	transferred := make(chan struct{})
	select {
	case s.transferRequests <- transferred:
	case <-s.stopped:
	case <-ctx.Done():
	}
	select {
	case <-transferred:
	case <-s.stopped:
	case <-ctx.Done():
	}
}

// maxMissedHeartbeats is how many heartbeats in a row a voter may leave unanswered before one that answers
// them is a better successor.
const maxMissedHeartbeats = 2

// chooseSuccessor returns the voter whose log is most up to date among those that answer heartbeats, or else
// among those that have responded within an election timeout. One that has fallen silent since takes no
// leadership, and the group would have no leader until that is noticed.
func chooseSuccessor(status replog.Status, electionTicks int) replog.ReplicaID {
	best := replog.None
	for _, voter := range status.Members.Voters() {
		progress, known := status.Progress[voter]
		responds := known && voter != status.ID && progress.TicksSinceResponse <= electionTicks
		if responds && (best == replog.None || isBetterSuccessor(progress, status.Progress[best])) {
			best = voter
		}
	}
	return best
}

func isBetterSuccessor(a, b replog.Progress) bool {
	answersA, answersB := answersHeartbeats(a), answersHeartbeats(b)
	return answersA && !answersB || answersA == answersB && a.Match > b.Match
}

func answersHeartbeats(p replog.Progress) bool {
	return p.TicksSinceResponse <= maxMissedHeartbeats*defaultHeartbeatTicks
}

// HandOver prepares the end of this replica. It is called while the other control instances can still
// reach it: another replica takes over leadership, and a learner, if there is one, votes in place of
// this one. The instance may be gone for good, and until the learner votes, the group tolerates one
// loss less. HandOver returns once that is done, or when that fails in time. A replica that returns is a
// learner then.
func (s *Server) HandOver(ctx context.Context) {
	s.leaving.Store(true)
	started := s.options.Clock.Now()
	timeout := leadershipTransferTimeout
	if s.Status().hasSuccessor(s.options.MaxVoters) {
		timeout = handOverTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for s.Status().IsVoter {
		s.handOverLeadership(ctx)
		answer, err := s.askToLeave(ctx)
		switch {
		case answer.GetReplaced():
			events.ControlReplaced.Log(s.log, zap.Duration("took", s.options.Clock.Now()-started))
			return
		case err == nil && !answer.GetHasSuccessor():
			return
		case ctx.Err() != nil || s.isStopped():
			events.ControlLeaveNotAnnounced.Log(s.log, zap.String("leader", s.Status().LeaderAddress), zap.Error(err))
			return
		}
		s.sleep(ctx, retryDelay)
	}
}

func (s *Server) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

// askToLeave asks the leader once to let a learner vote in place of this replica.
func (s *Server) askToLeave(ctx context.Context) (*rpc.LeaveAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*leaveWait)
	defer cancel()
	var leader string
	err := s.waitUntil(ctx, func() bool {
		leader = s.view.leaderAddress
		return leader != "" && !s.view.isLeader
	})
	if err != nil {
		return nil, err
	}
	answer, err := s.options.Dialer.Control(leader).Leave(ctx, &rpc.LeaveRequest{Replica: uint64(s.replicaID)})
	return answer, trace.Wrap(err)
}

// Leave implements rpc.Control.
func (s *Server) Leave(ctx context.Context, request *rpc.LeaveRequest) (*rpc.LeaveAnswer, error) {
	leaving := replog.ReplicaID(request.GetReplica())
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	select {
	case s.leaves <- leaving:
	case <-ctx.Done():
	case <-s.stopped:
	}
	answer := &rpc.LeaveAnswer{}
	err := s.waitUntil(ctx, func() bool {
		status := s.statusLocked()
		answer.Replaced = s.view.membersCommitted && !status.Members.IsVoter(leaving)
		answer.HasSuccessor = !answer.Replaced && (!s.view.membersCommitted || status.hasSuccessor(s.options.MaxVoters))
		return !status.IsLeader || !answer.HasSuccessor
	})
	if !s.Status().IsLeader {
		return nil, twirp.NewError(twirp.Unavailable, string(NoLeader))
	}
	if err != nil && ctx.Err() == nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return answer, nil
}
