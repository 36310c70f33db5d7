package server

import (
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
)

// limitedLogStore is a memoryLogStore whose log fails to save with ENOSPC while
// full is set.
type limitedLogStore struct {
	*memoryLogStore
	full *atomic.Bool
}

func (d limitedLogStore) Open() (Log, error) {
	log, err := d.memoryLogStore.Open()
	if log == nil || err != nil {
		return nil, err
	}
	return limitedLog{Log: log, full: d.full}, nil
}

func (d limitedLogStore) Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (Log, error) {
	log, err := d.memoryLogStore.Create(group, replica, saved)
	if err != nil {
		return nil, err
	}
	return limitedLog{Log: log, full: d.full}, nil
}

type limitedLog struct {
	Log
	full *atomic.Bool
}

func (l limitedLog) Save(rd replog.Ready) error {
	if l.full.Load() {
		return &store.IOError{Op: store.OpWrite, File: "log", Cause: syscall.ENOSPC}
	}
	return l.Log.Save(rd)
}

// Guards against data loss, a false acknowledgement or the end of the process when
// the disk of the only replica is full. A document sent while the disk is full must not be
// acknowledged, earlier ones must be kept, and the replica must resume on its own
// once there is space.
func TestReplicaResumesAfterDiskFull(t *testing.T) {
	var full atomic.Bool
	g := newGroup(t, 1)
	g.stop(0)
	server, err := Start(Options{
		Self:     Instance{Name: "control-0", Address: address(0)},
		Dialer:   dialer{g.network, address(0)},
		LogStore: limitedLogStore{memoryLogStore: g.logStores[0], full: &full},
	})
	assert.NilError(t, err)
	defer server.Close()
	put := func(number uint64) *rpc.Command {
		return &rpc.Command{Action: &rpc.Command_PutDocument{PutDocument: &rpc.PutDocument{
			Document: &rpc.Document{Name: "routes", Number: number},
		}}}
	}
	result, err := server.Execute(g.longContext(), put(1))
	assert.NilError(t, err)
	assert.Equal(t, result.GetDocument().GetNumber(), uint64(1))

	full.Store(true)
	refused := make(chan error, 1)
	go func() {
		_, err := server.tryOnce(g.longContext(), put(2))
		refused <- err
	}()
	assert.Assert(t, <-refused != nil)
	assert.NilError(t, server.waitUntil(g.longContext(), func() bool { return !server.view.joined }))

	full.Store(false)
	result, err = server.Execute(g.longContext(), put(3))
	assert.NilError(t, err)
	assert.Equal(t, result.GetDocument().GetNumber(), uint64(3))
	assert.NilError(t, server.Err())
}
