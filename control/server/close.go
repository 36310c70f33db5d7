package server

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// Close transfers leadership if this replica leads, announces its end, stops the replica
// and closes its log. Without the transfer, the group could commit nothing after each
// planned restart of its leader until an election timeout has elapsed.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	if s.Status().IsLeader {
		transferred := make(chan struct{})
		select {
		case s.transferRequests <- transferred:
		case <-s.stopped:
		}
		select {
		case <-transferred:
		case <-s.stopped:
		case <-ctx.Done():
		}
	}
	s.announceLeave(ctx)
	s.stop()
	s.goroutines.Wait()
}

// announceLeave lets a learner, if there is one, vote in place of this replica at once. The
// instance may be gone for good, and until the learner votes, the group tolerates one loss
// less. A replica that returns is a learner then.
func (s *Server) announceLeave(ctx context.Context) {
	isLearner := func(m replog.Member) bool { return m.Learner }
	status := s.Status()
	if !status.IsVoter || !slices.ContainsFunc(status.Members, isLearner) {
		return
	}
	if s.waitUntil(ctx, func() bool { return s.view.leaderAddress != "" && !s.view.isLeader }) != nil {
		return
	}
	reply := make(chan replog.Message, 1)
	select {
	case s.leaveRequests <- reply:
	case <-s.stopped:
		return
	}
	select {
	case m, due := <-reply:
		if due {
			s.sendLeave(ctx, m)
		}
	case <-ctx.Done():
	case <-s.stopped:
	}
}

// sendLeave delivers the message directly: the queues of the transport end with the replica.
func (s *Server) sendLeave(ctx context.Context, m replog.Message) {
	leader := s.Status().LeaderAddress
	_, err := s.options.Dialer.Control(leader).Deliver(ctx, &rpc.DeliverRequest{
		Messages: []*rpc.LogMessage{encodeMessage(m)}, Address: s.options.Self.Address,
	})
	if err != nil {
		events.ControlLeaveNotAnnounced.Log(s.log, zap.String("leader", leader), zap.Error(err))
	}
}
