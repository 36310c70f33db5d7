package server

import (
	"encoding/binary"
	"errors"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/store"
)

// replicaIDFile is the name of the file that holds the ID of a replica without a
// log.
const replicaIDFile = "replica"

// FolderLogStore is a LogStore in a data folder.
type FolderLogStore struct {
	Folder *store.DataDir
}

// Open opens the log in the folder.
func (d FolderLogStore) Open() (Log, error) {
	log, err := d.Folder.OpenLog(store.Identity{})
	var missing *store.NoLogError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return folderLog{log}, nil
}

// Create creates and opens the log in the folder.
func (d FolderLogStore) Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (Log, error) {
	if err := d.Folder.CreateLog(store.Identity{Group: group, Replica: replica}, saved); err != nil {
		return nil, trace.Wrap(err)
	}
	return d.Open()
}

// NewReplicaID returns the replica ID that is stored in the folder. If there is
// none, it generates a random one and stores it first.
func (d FolderLogStore) NewReplicaID() (replog.ReplicaID, error) {
	encoded, err := d.Folder.ReadAtomic(replicaIDFile)
	if err == nil && len(encoded) == 8 {
		return replog.ReplicaID(binary.LittleEndian.Uint64(encoded)), nil
	}
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return replog.None, trace.Wrap(err)
	}
	generated, err := store.NewIdentity(0)
	if err != nil {
		return replog.None, trace.Wrap(err)
	}
	contents := binary.LittleEndian.AppendUint64(nil, uint64(generated.Replica))
	return generated.Replica, trace.Wrap(d.Folder.WriteAtomic(replicaIDFile, contents))
}

// folderLog adapts store.Log to Log.
type folderLog struct{ *store.Log }

// Identity returns the IDs of the group and the replica that own the log.
func (l folderLog) Identity() (uint64, replog.ReplicaID) {
	identity := l.Log.Identity()
	return identity.Group, identity.Replica
}
