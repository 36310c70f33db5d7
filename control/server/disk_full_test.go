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

// fullDisk refuses every write while it is full.
type fullDisk struct {
	*memoryDisk
	full *atomic.Bool
}

func (d fullDisk) Open() (Log, error) {
	log, err := d.memoryDisk.Open()
	if log == nil || err != nil {
		return nil, err
	}
	return fullLog{Log: log, full: d.full}, nil
}

func (d fullDisk) Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (Log, error) {
	log, err := d.memoryDisk.Create(group, replica, saved)
	if err != nil {
		return nil, err
	}
	return fullLog{Log: log, full: d.full}, nil
}

type fullLog struct {
	Log
	full *atomic.Bool
}

func (l fullLog) Save(rd replog.Ready) error {
	if l.full.Load() {
		return &store.IOFailed{Op: store.OpWrite, File: "log", Cause: syscall.ENOSPC}
	}
	return l.Log.Save(rd)
}

// The disk of the only replica fills up while an operator sends a document, and
// has room again later. The operator is not told that the document is in force;
// what was acknowledged before is kept, and the replica goes on without its
// process being started anew.
func TestAFullDiskIsWaitedOut(t *testing.T) {
	var full atomic.Bool
	g := newGroup(t, 1)
	g.stop(0)
	server, err := Start(Options{
		Self:     Instance{Name: "control-0", Address: address(0)},
		Dialer:   dialer{g.network, address(0)},
		LogStore: fullDisk{memoryDisk: g.disks[0], full: &full},
	})
	assert.NilError(t, err)
	defer server.Close()
	put := func(number uint64) *rpc.Command {
		return &rpc.Command{Action: &rpc.Command_PutDocument{PutDocument: &rpc.PutDocument{
			Document: &rpc.Document{Name: "routes", Number: number},
		}}}
	}
	result, err := server.Execute(g.long(), put(1))
	assert.NilError(t, err)
	assert.Equal(t, result.GetDocument().GetNumber(), uint64(1))

	full.Store(true)
	refused := make(chan error, 1)
	go func() {
		_, err := server.try(g.long(), put(2))
		refused <- err
	}()
	assert.Assert(t, <-refused != nil)
	assert.NilError(t, server.until(g.long(), func() bool { return !server.view.formed }))

	full.Store(false)
	result, err = server.Execute(g.long(), put(3))
	assert.NilError(t, err)
	assert.Equal(t, result.GetDocument().GetNumber(), uint64(3))
	assert.NilError(t, server.Err())
}
