package deployment

import (
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

type nowhere struct{}

func (nowhere) Control(string) rpc.Control { return nil }

// single starts a group of one replica.
func single(t *testing.T) *server.Server {
	t.Helper()
	folder, err := store.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	replica, err := server.Start(server.Options{
		Self: server.Instance{Name: "c", Address: "127.0.0.1:1"}, Dialer: nowhere{},
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

// Two versions of weights are named some seconds apart, and then an entry
// instance restarts. Told of the newest version only, it would count from its
// own start and send callers to weights that were replaced long before.
func TestANewcomerLearnsHowLongWeightsAreOutdated(t *testing.T) {
	replica := single(t)
	now := tables.Instant(0)
	s := NewService(Options{
		Replica: replica, Fleet: fleet.NewTable(1), HoldsOrderLease: func() bool { return true },
		Now: func() tables.Instant { return now },
	})
	for version := uint64(1); version <= 3; version++ {
		now = time.Duration(version) * 3 * time.Second
		assert.NilError(t, s.Put(t.Context(), WeightsDocument("m"), version, nil))
		s.noteWeights()
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

// TestChangesOfEndpointsComeTogether guards against followers that are busy with nothing
// but questions and answers while new weights change one endpoint after the other.
func TestChangesOfEndpointsComeTogether(t *testing.T) {
	table := fleet.NewTable(1)
	var listed []fleet.Endpoint
	for i := range gatherFrom {
		listed = append(listed, fleet.Endpoint{ID: tables.EndpointID(fmt.Sprint("e", i)), Weights: map[string]uint64{}})
	}
	table.ApplyList(listed)
	_, version := position(table)
	waits := 0
	s := NewService(Options{Fleet: table, After: func(time.Duration) <-chan time.Time {
		waits++
		table.RecordWeights("e2", "m", 2)
		passed := make(chan time.Time)
		close(passed)
		return passed
	}})
	look := func() news {
		told, listed := table.UpdateSince(1, version)
		return news{answer: &rpc.FollowAnswer{Fleet: told}, listed: listed}
	}
	table.RecordWeights("e1", "m", 2)
	answer, _ := s.awaitNews(t.Context(), nil, look)
	assert.Equal(t, waits, 1)
	assert.Equal(t, len(answer.GetFleet().GetEndpoints()), 2)
}

// TestDocumentsAndWholeTablesAreToldAtOnce guards against operators' changes that wait for
// endpoints', and against an instance that starts and has to wait.
func TestDocumentsAndWholeTablesAreToldAtOnce(t *testing.T) {
	s := NewService(Options{Fleet: fleet.NewTable(1), After: func(time.Duration) <-chan time.Time {
		t.Fatal("it waits")
		return nil
	}})
	for name, answer := range map[string]*rpc.FollowAnswer{
		"document":    {Documents: []*rpc.Document{{Name: "d"}}, Fleet: &rpc.Fleet{}},
		"whole table": {Fleet: &rpc.Fleet{Full: true}},
		"behind":      {Behind: true, Fleet: &rpc.Fleet{}},
	} {
		got, _ := s.awaitNews(t.Context(), nil, func() news { return news{answer: answer} })
		assert.Equal(t, got, answer, name)
	}
}

func position(table *fleet.Table) (source, version uint64) {
	told, _ := table.UpdateSince(0, 0)
	return told.GetSource(), told.GetVersion()
}
