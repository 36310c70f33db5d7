package replog

// Config sets up a Node. Times are in ticks; the owner decides how long a tick
// is.
type Config struct {
	// ID is this replica.
	ID ReplicaID
	// Group is the group of replicas that this one belongs to. It goes with
	// every message.
	Group uint64
	// ElectionTicks is the time without a leader after which a follower starts
	// an election, and the time without a quorum after which a leader steps
	// down. The former is randomised up to twice the value. Default 10.
	ElectionTicks int
	// HeartbeatTicks is the time between two heartbeats. Default 1.
	HeartbeatTicks int
	// WriteTimeoutTicks is the time that one write of the leader may take before it steps
	// down. Default 2 times ElectionTicks.
	WriteTimeoutTicks int
	// SnapshotTimeoutTicks is the time without an answer after which a snapshot is sent
	// again. Default 20 times ElectionTicks.
	SnapshotTimeoutTicks int
	// MaxBatchBytes bounds the entries in one message; one entry may exceed it.
	// Default 256 KiB.
	MaxBatchBytes int
	// MaxEntryBytes bounds one proposal. Default 4 MiB.
	MaxEntryBytes int
	// MaxUncommittedBytes bounds what is proposed and not committed. Default
	// 32 MiB.
	MaxUncommittedBytes int
	// MaxInflightMessages bounds the messages with entries that are sent to a replica
	// and not acknowledged. Default 64.
	MaxInflightMessages int
	// TrailingEntries and TrailingBytes bound the entries that are kept in memory
	// before a snapshot, for replicas that are only a little behind. Defaults
	// 1000 and 4 MiB.
	TrailingEntries uint64
	TrailingBytes   int
	// Seed determines the election timeouts. Replicas need different seeds or
	// IDs.
	Seed uint64
}

const (
	defaultElectionTicks       = 10
	defaultHeartbeatTicks      = 1
	defaultStallFactor         = 2
	defaultSnapshotFactor      = 20
	defaultMaxBatchBytes       = 256 << 10
	defaultMaxEntryBytes       = 4 << 20
	defaultMaxUncommittedBytes = 32 << 20
	defaultMaxInflight         = 64
	defaultTrailingEntries     = 1000
	defaultTrailingBytes       = 4 << 20
)

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.WriteTimeoutTicks, defaultStallFactor*c.ElectionTicks)
	setDefault(&c.SnapshotTimeoutTicks, defaultSnapshotFactor*c.ElectionTicks)
	setDefault(&c.MaxBatchBytes, defaultMaxBatchBytes)
	setDefault(&c.MaxEntryBytes, defaultMaxEntryBytes)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&c.MaxInflightMessages, defaultMaxInflight)
	setDefault(&c.TrailingBytes, defaultTrailingBytes)
	if c.TrailingEntries == 0 {
		c.TrailingEntries = defaultTrailingEntries
	}
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func (c *Config) check() error {
	switch {
	case c.ID == None:
		return &InvalidConfigError{Field: "ID", Reason: "is zero"}
	case c.HeartbeatTicks < 1:
		return &InvalidConfigError{Field: "HeartbeatTicks", Reason: "is less than 1"}
	case c.ElectionTicks <= c.HeartbeatTicks:
		return &InvalidConfigError{Field: "ElectionTicks", Reason: "is not more than HeartbeatTicks"}
	case c.MaxInflightMessages < 1:
		return &InvalidConfigError{Field: "MaxInflight", Reason: "is less than 1"}
	}
	return nil
}
