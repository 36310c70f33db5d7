package server

import (
	"encoding/binary"
	"errors"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/store"
)

// identityFile holds the identity of a replica whose log is not created yet.
const identityFile = "replica"

// FolderLogStore is the Disk in a data folder.
type FolderLogStore struct {
	Folder *store.Folder
}

// Open opens the log of the folder.
func (d FolderLogStore) Open() (Log, error) {
	log, err := d.Folder.OpenLog(store.Identity{})
	var missing *store.NotInitialised
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return folderLog{log}, nil
}

// Create creates and opens the log of the folder.
func (d FolderLogStore) Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (Log, error) {
	if err := d.Folder.CreateLog(store.Identity{Group: group, Replica: replica}, saved); err != nil {
		return nil, trace.Wrap(err)
	}
	return d.Open()
}

// NewReplicaID returns the identity noted in the folder, and notes a random one
// there first if it has none.
func (d FolderLogStore) NewReplicaID() (replog.ReplicaID, error) {
	noted, err := d.Folder.ReadAtomic(identityFile)
	if err == nil && len(noted) == 8 {
		return replog.ReplicaID(binary.LittleEndian.Uint64(noted)), nil
	}
	var missing *store.Missing
	if err != nil && !errors.As(err, &missing) {
		return replog.None, trace.Wrap(err)
	}
	minted, err := store.MintIdentity(0)
	if err != nil {
		return replog.None, trace.Wrap(err)
	}
	note := binary.LittleEndian.AppendUint64(nil, uint64(minted.Replica))
	return minted.Replica, trace.Wrap(d.Folder.WriteAtomic(identityFile, note))
}

type folderLog struct{ *store.Log }

// Identity returns the group and the replica of the log.
func (l folderLog) Identity() (uint64, replog.ReplicaID) {
	identity := l.Log.Identity()
	return identity.Group, identity.Replica
}
