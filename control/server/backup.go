package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// restoredIndexOffset is added to the log index of a restored state. Fencing tokens
// are log indexes, so the tokens of the new group exceed all that the old group can
// have granted after the backup.
const restoredIndexOffset = 1 << 32

// Backup returns the replicated state by a linearizable read.
func (s *Server) Backup(ctx context.Context) (*rpc.Backup, error) {
	if err := s.Barrier(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	snapshot, err := s.state.Snapshot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &rpc.Backup{Index: s.appliedIndex, Snapshot: snapshot}, nil
}

// BackupFromLog returns the state in the log of one replica. It is for disaster
// recovery after the loss of a majority, when the group can no longer commit. It
// applies all entries of the log, committed or not: every committed entry that this
// replica has is among them, and an entry that was not committed does less harm
// than a missing one.
func BackupFromLog(logStore LogStore, limits state.Limits) (*rpc.Backup, error) {
	log, err := logStore.Open()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if log == nil {
		return nil, trace.Wrap(&UnavailableError{Reason: NotJoined})
	}
	defer func() { _ = log.Close() }()
	saved, err := log.Load()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	recovered := state.New(limits)
	if saved.Snapshot.Index > 0 {
		if err := recovered.Restore(saved.Snapshot.Data); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	index := saved.Snapshot.Index
	for _, entry := range saved.Entries {
		index = entry.Index
		if entry.Kind == replog.EntryCommand {
			recovered.Apply(entry.Index, entry.Data)
		}
	}
	snapshot, err := recovered.Snapshot()
	return &rpc.Backup{Index: index, Snapshot: snapshot}, trace.Wrap(err)
}

// RestoreOptions configures Restore.
type RestoreOptions struct {
	Self Instance
	// MinRevision is the highest revision that any instance has in force. The
	// restored configuration gets a higher number.
	MinRevision uint64
	// UnknownKeyHold is how long claims on keys that are not in the backup are
	// refused.
	UnknownKeyHold time.Duration
}

// Restore bootstraps a new group on an empty disk, with the state of a backup and
// this instance as its only voter. The other control instances then join with empty
// disks. It must be called on one instance only.
func Restore(logStore LogStore, backup *rpc.Backup, options RestoreOptions) error {
	replica, err := logStore.NewReplicaID()
	if err != nil {
		return trace.Wrap(err)
	}
	group := rand.Uint64() | 1
	founder := &rpc.Founder{
		Replica:  uint64(replica),
		Instance: string(options.Self.Name),
		Address:  options.Self.Address,
	}
	recovered, err := state.Recover(backup.GetSnapshot(), state.RecoveryOptions{
		Group:          group,
		Founders:       []*rpc.Founder{founder},
		MinRevision:    options.MinRevision,
		UnknownKeyHold: options.UnknownKeyHold,
		Wall:           time.Now().UnixNano(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	member := replog.Member{Replica: replica, Address: options.Self.Address}
	saved := replog.BootstrapState(member, backup.GetIndex()+restoredIndexOffset, recovered)
	log, err := logStore.Create(group, replica, saved)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(log.Close())
}

// EncodeBackup encodes a backup for storage in a file.
func EncodeBackup(backup *rpc.Backup) ([]byte, error) {
	encoded, err := proto.Marshal(backup)
	return encoded, trace.Wrap(err)
}

// DecodeBackup decodes the result of EncodeBackup. Its error wraps
// *state.InvalidSnapshotError.
func DecodeBackup(encoded []byte) (*rpc.Backup, error) {
	backup := &rpc.Backup{}
	if err := proto.Unmarshal(encoded, backup); err != nil {
		return nil, trace.Wrap(&state.InvalidSnapshotError{Cause: err})
	}
	return backup, nil
}
