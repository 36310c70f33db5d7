package replog

// Config configures a Node. Durations are in ticks; the application decides how
// long a tick is.
type Config struct {
	// ID is the ReplicaID of this replica.
	ID ReplicaID
	// Group identifies the group that this replica belongs to. Every message
	// carries it.
	Group uint64
	// ElectionTicks is the election timeout: a follower that hears no leader
	// for this time starts an election, and a leader that hears no quorum for
	// this time steps down. The follower's timeout is randomised between one
	// and two times this value. Default 10.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval of a leader. Default 1.
	HeartbeatTicks int
	// WriteTimeoutTicks is the time after which an unfinished write counts as a
	// stalled disk. The leader then steps down, and other replicas don't start
	// elections. Default 2 times ElectionTicks.
	WriteTimeoutTicks int
	// SnapshotTimeoutTicks is the time after which an unacknowledged snapshot
	// is sent again. Default 20 times ElectionTicks.
	SnapshotTimeoutTicks int
	// MaxBatchBytes limits the size of the entries in one message. A message
	// with a single entry may exceed it. Default 256 KiB.
	MaxBatchBytes int
	// MaxEntryBytes limits the data of one proposal. Default 4 MiB.
	MaxEntryBytes int
	// MaxUncommittedBytes limits the size of the entries that are proposed and
	// not yet committed. Default 32 MiB.
	MaxUncommittedBytes int
	// MaxInflightMessages limits the append messages that are sent to a replica
	// and not yet acknowledged. Default 64.
	MaxInflightMessages int
	// TrailingEntries and TrailingBytes limit the entries before a snapshot
	// that stay in memory, so that replicas that are only a little behind can
	// catch up without the snapshot. Defaults 1000 and 4 MiB.
	TrailingEntries uint64
	TrailingBytes   int
	// Seed seeds the randomised election timeouts. Replicas need different
	// seeds or different IDs.
	Seed uint64
}

const (
	defaultElectionTicks         = 10
	defaultHeartbeatTicks        = 1
	defaultWriteTimeoutFactor    = 2
	defaultSnapshotTimeoutFactor = 20
	defaultMaxBatchBytes         = 256 << 10
	defaultMaxEntryBytes         = 4 << 20
	defaultMaxUncommittedBytes   = 32 << 20
	defaultMaxInflight           = 64
	defaultTrailingEntries       = 1000
	defaultTrailingBytes         = 4 << 20
)

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTicks, defaultElectionTicks)
	setDefault(&c.HeartbeatTicks, defaultHeartbeatTicks)
	setDefault(&c.WriteTimeoutTicks, defaultWriteTimeoutFactor*c.ElectionTicks)
	setDefault(&c.SnapshotTimeoutTicks, defaultSnapshotTimeoutFactor*c.ElectionTicks)
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

// validate checks the settings after the defaults are filled in.
func (c *Config) validate() error {
	switch {
	case c.ID == None:
		return &InvalidConfigError{Field: "ID", Reason: "is zero"}
	case c.HeartbeatTicks < 1:
		return &InvalidConfigError{Field: "HeartbeatTicks", Reason: "is less than 1"}
	case c.ElectionTicks <= c.HeartbeatTicks:
		return &InvalidConfigError{Field: "ElectionTicks", Reason: "is not more than HeartbeatTicks"}
	case c.MaxInflightMessages < 1:
		return &InvalidConfigError{Field: "MaxInflightMessages", Reason: "is less than 1"}
	}
	return nil
}
