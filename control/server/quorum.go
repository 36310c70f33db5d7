package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/replog"
)

// QuorumPath is where control instances serve a Quorum as JSON.
const QuorumPath = "/control"

// Quorum is what a replica knows of the voters of its group. It is known without a leader, too.
type Quorum struct {
	// Leader is the address of the leader, empty if this replica knows none.
	Leader string `json:"leader"`
	// Needed is the number of voters that have to respond for a decision.
	Needed int `json:"needed"`
	// Responding is the number of voters that respond, this replica included. A replica that
	// follows a leader hears from that leader only and leaves it at 0.
	Responding int      `json:"responding"`
	Voters     []string `json:"voters"`
	// Unresponsive holds the addresses of the voters that do not respond.
	Unresponsive []string `json:"unresponsive"`
	// Learners holds the addresses of the replicas that do not vote.
	Learners []string `json:"learners"`
}

// quorumMonitor records when the other replicas were last heard from and logs the voters that
// are missing. It is used by the event loop only.
type quorumMonitor struct {
	ticks int
	// heardAt is the time of the last message by replica.
	heardAt map[replog.ReplicaID]time.Duration
	// leaderlessSince is when the replica lost its leader; negative while it has one.
	leaderlessSince time.Duration
	// reported is set once the present time without a leader was logged.
	reported bool
	// unresponsive holds the voters that were logged as such by this leader.
	unresponsive map[replog.ReplicaID]bool
}

func newQuorumMonitor(now time.Duration) quorumMonitor {
	return quorumMonitor{
		heardAt: map[replog.ReplicaID]time.Duration{}, unresponsive: map[replog.ReplicaID]bool{}, leaderlessSince: now,
	}
}

// Times in election timeouts. Without a leader, a replica that works is heard from within two of
// them, because it asks for votes.
const (
	// unresponsiveTimeouts is the time without a message after which a voter counts as unresponsive.
	unresponsiveTimeouts = 2
	// leaderlessReportTimeouts is the time without a leader after which it is logged.
	leaderlessReportTimeouts = 3
)

// quorumIntervalTicks is the number of ticks between two looks at the voters.
const quorumIntervalTicks = 5

// observeQuorum publishes the state of the voters and logs what is missing. It is called at
// every tick.
func (s *Server) observeQuorum() {
	s.monitor.ticks++
	if s.monitor.ticks%quorumIntervalTicks != 0 {
		return
	}
	status := s.node.Status()
	now := s.options.Clock.Now()
	quorum := s.quorumOf(status, now)
	s.mu.Lock()
	s.view.quorum = quorum
	s.mu.Unlock()
	if status.Leader != replog.None {
		s.monitor.leaderlessSince, s.monitor.reported = -1, false
		s.logUnresponsiveVoters(status)
		return
	}
	if s.monitor.leaderlessSince < 0 {
		s.monitor.leaderlessSince = now
	}
	if s.monitor.reported || now-s.monitor.leaderlessSince < leaderlessReportTimeouts*s.electionTimeout() {
		return
	}
	s.monitor.reported = true
	events.ControlNoLeader.Log(s.log, zap.Bool("votes", status.Members.IsVoter(status.ID)),
		zap.Int("responding", quorum.Responding), zap.Int("needed", quorum.Needed), zap.Strings("voters", quorum.Voters),
		zap.Strings("unresponsive", quorum.Unresponsive), zap.Strings("learners", quorum.Learners),
		zap.Uint64("last", status.LastIndex), zap.Uint64("term", status.Term))
}

// electionTimeout is the time within which a replica that works is heard from.
func (s *Server) electionTimeout() time.Duration {
	return time.Duration(s.options.ElectionTicks) * s.options.TickInterval
}

// quorumOf returns what this replica knows of the voters.
func (s *Server) quorumOf(status replog.Status, now time.Duration) Quorum {
	leader, _ := status.Members.Find(status.Leader)
	q := Quorum{Leader: leader.Address, Needed: status.Members.Quorum()}
	observes := status.Role == replog.Leader || status.Leader == replog.None
	for _, m := range status.Members {
		if m.Learner {
			q.Learners = append(q.Learners, m.Address)
			continue
		}
		q.Voters = append(q.Voters, m.Address)
		heardAt, heard := s.monitor.heardAt[m.Replica]
		responds := m.Replica == status.ID || heard && now-heardAt <= unresponsiveTimeouts*s.electionTimeout()
		switch {
		case !observes:
		case responds:
			q.Responding++
		default:
			q.Unresponsive = append(q.Unresponsive, m.Address)
		}
	}
	return q
}

// logUnresponsiveVoters logs each voter that no longer responds to this leader, and whether a learner
// could replace it.
func (s *Server) logUnresponsiveVoters(status replog.Status) {
	for _, m := range status.Members {
		progress, known := status.Progress[m.Replica]
		isUnresponsive := known && !m.Learner && m.Replica != status.ID && progress.TicksSinceResponse > s.options.ElectionTicks
		if isUnresponsive && !s.monitor.unresponsive[m.Replica] {
			events.ControlVoterUnresponsive.Log(s.log, zap.Uint64("replica", uint64(m.Replica)), zap.String("address", m.Address),
				zap.Int("needed", status.Members.Quorum()), zap.Strings("learners", s.view.quorum.Learners))
		}
		if isUnresponsive {
			s.monitor.unresponsive[m.Replica] = true
		} else {
			delete(s.monitor.unresponsive, m.Replica)
		}
	}
}
