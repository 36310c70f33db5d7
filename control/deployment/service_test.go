package deployment

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

type noDialer struct{}

func (noDialer) Control(string) rpc.Control { return nil }

// startSingleReplica starts a group of one replica.
func startSingleReplica(t *testing.T) *server.Server {
	t.Helper()
	folder, err := store.OpenDataDir(t.TempDir())
	assert.NilError(t, err)
	replica, err := server.Start(server.Options{
		Self: server.Instance{Name: "c", Address: "127.0.0.1:1"}, Dialer: noDialer{},
		LogStore: server.FolderLogStore{Folder: folder}, TickInterval: 20 * time.Millisecond,
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		replica.Close()
		assert.NilError(t, folder.Close())
	})
	assert.NilError(t, replica.Barrier(t.Context()))
	return replica
}

// Guards against a restarted entry instance that receives the newest version of weights
// only. It would count the age of outdated versions from its own start and send requests
// to weights that were replaced long before.
func TestNewFollowerGetsVersionAges(t *testing.T) {
	replica := startSingleReplica(t)
	now := tables.Instant(0)
	s := NewService(Options{
		Replica: replica, Fleet: fleet.NewTable(1), HoldsOrderLease: func() bool { return true },
		Now: func() tables.Instant { return now },
	})
	for version := uint64(1); version <= 3; version++ {
		now = time.Duration(version) * 3 * time.Second
		assert.NilError(t, s.Put(t.Context(), WeightsDocument("m"), version, nil))
		s.recordTargetVersions()
	}
	now = 20 * time.Second

	answer, err := s.Follow(t.Context(), &rpc.FollowRequest{})
	assert.NilError(t, err)
	ages := map[uint64]time.Duration{}
	for _, named := range answer.GetWeightsNamed() {
		assert.Equal(t, named.GetModel(), "m")
		ages[named.GetVersion()] = time.Duration(named.GetAgeNanos())
	}
	assert.DeepEqual(t, ages, map[uint64]time.Duration{1: 17 * time.Second, 2: 14 * time.Second, 3: 11 * time.Second})

	answer, err = s.Follow(t.Context(), &rpc.FollowRequest{Documents: map[string]uint64{WeightsDocument("m"): 2}})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.GetWeightsNamed()), 1)
	assert.Equal(t, answer.GetWeightsNamed()[0].GetVersion(), uint64(3))
}

// Guards against followers that spend their time on requests and responses while a
// rollout of new weights changes one endpoint after the other.
func TestEndpointChangesAreBatched(t *testing.T) {
	table := fleet.NewTable(1)
	var listed []fleet.Endpoint
	for i := range minBatchedEndpoints {
		listed = append(listed, fleet.Endpoint{ID: tables.EndpointID(fmt.Sprint("e", i)), Weights: map[string]uint64{}})
	}
	table.ApplyList(listed)
	_, version := position(table)
	waits := 0
	s := NewService(Options{Fleet: table, After: func(time.Duration) <-chan time.Time {
		waits++
		table.RecordWeights("e2", 0, "m", 2)
		passed := make(chan time.Time)
		close(passed)
		return passed
	}})
	poll := func() pendingUpdate {
		update, endpointsChanged := table.UpdateSince(1, version)
		return pendingUpdate{answer: &rpc.FollowAnswer{Fleet: update}, endpointsChanged: endpointsChanged}
	}
	table.RecordWeights("e1", 0, "m", 2)
	answer := s.awaitUpdate(t.Context(), nil, poll)
	assert.Equal(t, waits, 1)
	assert.Equal(t, len(answer.GetFleet().GetEndpoints()), 2)
}

// Guards against documents that are delayed by the batching of endpoint changes,
// and against a starting instance that has to wait for its first endpoint table.
func TestDocumentsAndFullTablesAreNotDelayed(t *testing.T) {
	s := NewService(Options{Fleet: fleet.NewTable(1), After: func(time.Duration) <-chan time.Time {
		t.Fatal("the update was delayed by batching")
		return nil
	}})
	for name, answer := range map[string]*rpc.FollowAnswer{
		"document":   {Documents: []*rpc.Document{{Name: "d"}}, Fleet: &rpc.Fleet{}},
		"full table": {Fleet: &rpc.Fleet{Full: true}},
		"behind":     {Behind: true, Fleet: &rpc.Fleet{}},
	} {
		got := s.awaitUpdate(t.Context(), nil, func() pendingUpdate { return pendingUpdate{answer: answer} })
		assert.Equal(t, got, answer, name)
	}
}

func position(table *fleet.Table) (source, version uint64) {
	update, _ := table.UpdateSince(0, 0)
	return update.GetSource(), update.GetVersion()
}

// Guards against a configuration that the operators' API accepts for its size and that never takes effect.
func TestLargestDocumentIsCommitted(t *testing.T) {
	const largest = 8 << 20 // as in platform and control/state
	s := NewService(Options{
		Replica: startSingleReplica(t), Fleet: fleet.NewTable(1), HoldsOrderLease: func() bool { return true },
		Now: func() tables.Instant { return 0 },
	})
	content := bytes.Repeat([]byte{' '}, largest)
	assert.NilError(t, s.Put(t.Context(), ConfigurationDocument, 1, content))
	newest, err := s.Newest(t.Context(), ConfigurationDocument)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(newest, content))
}
