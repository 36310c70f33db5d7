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

// recoveredIndexStep is added to the log index of a restored state. Fencing
// numbers come from the index, so those of the new group are above all that the
// old one can have given after the backup.
const recoveredIndexStep = 1 << 32

// Backup returns the replicated state as agreed by the quorum.
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
	return &rpc.Backup{Index: s.applied, Snapshot: snapshot}, nil
}

// BackupFromLog returns the state on the disk of one replica, for when a majority
// was lost and the group cannot decide any more. It takes in all entries of the
// log: each that was accepted is among them if this replica has it, and one that
// was not accepted does less harm than one that is missing.
func BackupFromLog(disk LogStore, limits state.Limits) (*rpc.Backup, error) {
	log, err := disk.Open()
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
	replayed := state.New(limits)
	if saved.Snapshot.Index > 0 {
		if err := replayed.Restore(saved.Snapshot.Data); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	index := saved.Snapshot.Index
	for _, entry := range saved.Entries {
		index = entry.Index
		if entry.Kind == replog.EntryCommand {
			replayed.Apply(entry.Index, entry.Data)
		}
	}
	snapshot, err := replayed.Snapshot()
	return &rpc.Backup{Index: index, Snapshot: snapshot}, trace.Wrap(err)
}

// RestoreOptions says how a backup is restored.
type RestoreOptions struct {
	Self Instance
	// MinRevision is the highest revision that any instance has in force.
	MinRevision uint64
	// UnknownKeyHold is how long keys that the backup does not know are refused.
	UnknownKeyHold time.Duration
}

// Restore founds a new group on an empty disk, with the state of a backup and
// this instance as its only voter. The other control instances join it with
// empty disks. It must be done on one instance only.
func Restore(disk LogStore, backup *rpc.Backup, options RestoreOptions) error {
	replica, err := disk.NewReplicaID()
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
	saved := replog.BootstrapState(member, backup.GetIndex()+recoveredIndexStep, recovered)
	log, err := disk.Create(group, replica, saved)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(log.Close())
}

// EncodeBackup and DecodeBackup are for the file that a backup is kept in.
func EncodeBackup(backup *rpc.Backup) ([]byte, error) {
	encoded, err := proto.Marshal(backup)
	return encoded, trace.Wrap(err)
}

// DecodeBackup reads what EncodeBackup wrote.
func DecodeBackup(encoded []byte) (*rpc.Backup, error) {
	backup := &rpc.Backup{}
	if err := proto.Unmarshal(encoded, backup); err != nil {
		return nil, trace.Wrap(&state.InvalidSnapshotError{Cause: err})
	}
	return backup, nil
}
