// Package server runs one replica of the control group. It drives the Raft node of
// package replog with a durable log and the network, and applies committed entries
// to the replicated state machine of package state. All decisions are made in those
// two packages; this package transfers messages, writes to disk, and notifies
// callers.
package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Dialer returns a client of the control interface by address, which is an IP
// address and port. The client can be used at once and from several goroutines;
// calls on it fail while the instance is unreachable.
type Dialer interface {
	Control(address string) rpc.Control
}

// LogStore is the durable storage of the replica's log.
type LogStore interface {
	// Open returns the log, or nil and no error if none has been created yet. It
	// fails on a corrupt log: continuing without acknowledged entries could lose
	// them for the whole group.
	Open() (Log, error)
	// Create creates the log of a replica that was never used before, and returns
	// once it is durable.
	Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (Log, error)
	// NewReplicaID returns an ID for a replica that has no log yet. It returns the
	// same ID until the log is created, if the store can keep it.
	NewReplicaID() (replog.ReplicaID, error)
}

// Log is the open log of one replica.
type Log interface {
	replog.Storage
	// Identity returns the IDs of the group and of the replica that own the log.
	Identity() (group uint64, replica replog.ReplicaID)
	// Close releases the log.
	Close() error
}

// Clock provides the times of one process.
type Clock struct {
	// Now is a monotonic clock. Wall is only for display.
	Now  func() time.Duration
	Wall func() time.Time
	// Ticks drives elections and heartbeats. If it is nil, the server runs its own
	// ticker with TickInterval.
	Ticks <-chan time.Time
}

// SystemClock returns a Clock that is based on the system's clock.
func SystemClock() Clock {
	start := time.Now()
	return Clock{
		Now:  func() time.Duration { return time.Since(start) },
		Wall: time.Now,
	}
}

// Instance is a control instance that the settings name.
type Instance struct {
	Name    tables.InstanceID
	Address string
}

// Options configures a Server. Self, Dialer and LogStore are required.
type Options struct {
	Self Instance
	// Peers are the other control instances that the settings name. The replica
	// asks them to form the group or to join it.
	Peers []Instance
	// JoinOnly prevents this instance from bootstrapping a group. It is set if the
	// disk is empty although the deployment is not new, or if other instances are
	// to bootstrap the group.
	JoinOnly bool
	// AcceptUnknownPeers lets instances join that the settings do not name.
	// MaxVoters then bounds the number of voters: further replicas stay learners on
	// standby and replace voters that are lost. With MaxVoters zero, all replicas
	// vote.
	AcceptUnknownPeers bool
	MaxVoters          int
	// VoterTimeout is how long a voter must be silent before a learner replaces it. A
	// voter that is only unreachable loses nothing: it returns with its log as a learner.
	// But until a learner replaces a voter that is lost for good, the group tolerates one
	// loss less. The default, together with an election, leaves half of the four seconds
	// in which a replacement has to become a voter.
	VoterTimeout time.Duration
	Dialer       Dialer
	LogStore     LogStore
	Clock        Clock
	Log          *zap.Logger
	// ObserveCommand is called with the latency of each command that a client sent
	// to this replica, from its arrival until it was committed or given up. It may
	// be nil.
	ObserveCommand func(command string, decided bool, took time.Duration)
	// Limits of the replicated state. They must be equal at all replicas.
	Limits state.Limits
	// SnapshotBytes is the size in bytes of the entries that are applied between
	// two snapshots. The default is 16 MiB.
	SnapshotBytes int
	// TickInterval is the time between two ticks, 50 ms by default. A lost leader
	// is replaced after ElectionTicks to twice as many ticks; the default is 16.
	TickInterval  time.Duration
	ElectionTicks int
}

const (
	defaultSnapshotBytes  = 16 << 20
	defaultTickInterval   = 50 * time.Millisecond
	defaultElectionTicks  = 16
	defaultHeartbeatTicks = 4
	// maxInboxBatches bounds the message batches that are queued for the event
	// loop. Further batches are dropped; Raft tolerates lost messages.
	maxInboxBatches = 1024
	// maxProposalBatch is the largest number of proposals that are appended before
	// one write.
	maxProposalBatch = 512
	// maxQueuedMessages bounds the messages that are queued for one peer.
	maxQueuedMessages = 4096
	// maxEntryBytes bounds one log entry: a command with the largest document that state keeps.
	maxEntryBytes = 9 << 20
	// maxDeliveryBytes bounds the log entries in one call, except for the last message. With an entry
	// of the largest size as that, a call stays below what receivers read.
	maxDeliveryBytes = 6 << 20
	// maxLearnedAddresses bounds the addresses that are learned from messages.
	maxLearnedAddresses = 64
	// deliverTimeout bounds the delivery of one batch of messages, snapshotTimeout
	// that of a snapshot.
	deliverTimeout  = 2 * time.Second
	snapshotTimeout = time.Minute
	// executeTimeout bounds Execute if the caller set no deadline.
	executeTimeout = 5 * time.Second
	// forwardTimeout bounds one attempt to forward a command.
	forwardTimeout = time.Second
	// maxHops bounds how often a command is forwarded.
	maxHops = 2
	// retryDelay is the time between two attempts to execute one command.
	retryDelay = 25 * time.Millisecond
	// maxWatchWait bounds the long poll of one Watch call.
	maxWatchWait = 30 * time.Second
	// leadershipTransferTimeout bounds how long Close waits for another replica to
	// take over leadership.
	leadershipTransferTimeout = 500 * time.Millisecond
	// joinTimeout bounds one join request, and joinRetryDelay is the time between
	// two rounds of requests before this replica belongs to a group.
	joinTimeout    = 500 * time.Millisecond
	joinRetryDelay = 100 * time.Millisecond
	// joinReportDelay is how long a replica looks for a group before it logs that it
	// finds none.
	joinReportDelay = 3 * time.Second
	// diskFullRetryDelay is the time between two attempts to reopen the log while
	// the disk is full.
	diskFullRetryDelay  = 500 * time.Millisecond
	defaultVoterTimeout = 1200 * time.Millisecond
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
		o.VoterTimeout = defaultVoterTimeout
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = defaultElectionTicks
	}
}
