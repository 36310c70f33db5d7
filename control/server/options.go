// Package server runs one control instance: the replicated log of package
// replog over a disk and the network, with the replicated state of package
// state on top. Everything that decides is in those two; this package moves
// messages, syncs files and wakes those who wait.
package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Dialer gives the control interface of an instance by its address, which is an
// IP number and port. The value may be used at once and from several
// goroutines; calls on it fail while the instance cannot be reached.
type Dialer interface {
	Control(address string) rpc.Control
}

// LogStore holds the replica's log.
type LogStore interface {
	// Open returns the log, or nil and no error if none was created yet. Damage
	// is an error: going on without what was acknowledged could lose it for the
	// whole group.
	Open() (Log, error)
	// Create makes the log of a replica that was never used before, and returns
	// once it is durable.
	Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (Log, error)
	// NewReplicaID returns an identity for a replica whose log is not created
	// yet; the same one until then where it can be kept.
	NewReplicaID() (replog.ReplicaID, error)
}

// Log is an open log of one replica.
type Log interface {
	replog.Storage
	Identity() (group uint64, replica replog.ReplicaID)
	Close() error
}

// Clock gives the times of one process.
type Clock struct {
	// Now is a monotonic clock; Wall is only shown to people.
	Now  func() time.Duration
	Wall func() time.Time
	// Ticks drives elections and heartbeats; nil lets the server make its own
	// ticker of TickInterval.
	Ticks <-chan time.Time
}

// SystemClock returns the clock of this process.
func SystemClock() Clock {
	start := time.Now()
	return Clock{
		Now:  func() time.Duration { return time.Since(start) },
		Wall: time.Now,
	}
}

// Instance is a control instance of the settings.
type Instance struct {
	Name    tables.InstanceID
	Address string
}

// Options sets a Server up. Self, Dialer and Disk are needed.
type Options struct {
	Self Instance
	// Peers are the other control instances of the settings. They are asked
	// when the group is formed or this replica has to join it.
	Peers []Instance
	// JoinOnly is set for an instance that must not found a group: its disk is
	// empty though the deployment is not new, or others are to found it.
	JoinOnly bool
	// AcceptUnknownPeers lets instances join that the settings do not name. Voters is then how
	// many replicas vote; further ones stand by as learners and take the place
	// of a voter that is gone. Zero means that all vote.
	AcceptUnknownPeers bool
	MaxVoters          int
	// VoterTimeout is how long a voter must be silent before a learner takes its
	// place. Default 8 s: longer than a restart or a short partition takes,
	// because a voter that is only away comes back with its log.
	VoterTimeout time.Duration
	Dialer       Dialer
	LogStore     LogStore
	Clock        Clock
	Log          *zap.Logger
	// ObserveCommand is told how long each command took that this replica was asked
	// for, from when it came until it was decided or given up; nil for nobody.
	ObserveCommand func(command string, decided bool, took time.Duration)
	// Limits of the replicated state, equal at all replicas.
	Limits state.Limits
	// SnapshotBytes is how many bytes of entries are applied between two
	// snapshots. Default 16 MiB.
	SnapshotBytes int
	// TickInterval is the time between two ticks. Default 50 ms. A leader that
	// is lost is replaced after ElectionTicks to twice as many.
	TickInterval  time.Duration
	ElectionTicks int
}

const (
	defaultSnapshotBytes  = 16 << 20
	defaultTickInterval   = 50 * time.Millisecond
	defaultElectionTicks  = 16
	defaultHeartbeatTicks = 4
	// inboxLength bounds batches of messages that wait for the loop; more are
	// dropped, as the network may.
	inboxLength = 1024
	// proposalBatch is how many proposals are appended before one write.
	proposalBatch = 512
	// peerQueue bounds messages that wait for one peer.
	peerQueue = 4096
	// maxLearned bounds the addresses learned from messages.
	maxLearned = 64
	// deliverTimeout bounds the delivery of one batch of messages, and
	// snapshotTimeout that of a snapshot.
	deliverTimeout  = 2 * time.Second
	snapshotTimeout = time.Minute
	// executeTimeout bounds Execute where the caller set no deadline.
	executeTimeout = 5 * time.Second
	// forwardTimeout bounds one try to pass a command on.
	forwardTimeout = time.Second
	// maxHops is how often a command is passed on.
	maxHops = 2
	// retryPause is the time between two tries of one command.
	retryPause = 25 * time.Millisecond
	// maxWatch bounds the wait of one Watch.
	maxWatch = 30 * time.Second
	// handOverTimeout bounds how long a leader that closes waits until another
	// replica leads.
	handOverTimeout = 500 * time.Millisecond
	// joinTimeout bounds the answer of one instance that is asked to join, and
	// formPause is the time between two rounds of asking before there is a group.
	joinTimeout = 500 * time.Millisecond
	formPause   = 100 * time.Millisecond
	// fullPause is the time between two looks whether a full disk has room.
	fullPause        = 500 * time.Millisecond
	defaultGoneAfter = 8 * time.Second
)

func (o *Options) setDefaults() {
	if o.Clock.Now == nil {
		ticks := o.Clock.Ticks
		o.Clock = SystemClock()
		o.Clock.Ticks = ticks
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.ObserveCommand == nil {
		o.ObserveCommand = func(string, bool, time.Duration) {}
	}
	if o.Limits == (state.Limits{}) {
		o.Limits = state.DefaultLimits()
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.VoterTimeout == 0 {
		o.VoterTimeout = defaultGoneAfter
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = defaultElectionTicks
	}
}
