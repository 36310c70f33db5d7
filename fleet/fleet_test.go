package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// engine returns an endpoint that serves a version of the weights of model m.
func engine(id string, version uint64) Endpoint {
	return Endpoint{
		ID: tables.EndpointID(id), Service: "models", Address: netip.MustParseAddrPort("127.0.0.1:80"),
		Zone: "a", Slots: 8, Weights: map[string]uint64{"m": version}, StartUnixMilli: 1,
	}
}

// syncReplica applies a table's next update to a replica.
func syncReplica(t *testing.T, replica *Replica, from *Table) {
	t.Helper()
	update, _ := from.UpdateSince(replica.Position())
	assert.NilError(t, replica.Apply(update))
}

func TestReplicaAppliesDeltas(t *testing.T) {
	table, replica := NewTable(1), NewReplica()
	table.ApplyList([]Endpoint{engine("a", 1), engine("b", 1)})
	syncReplica(t, replica, table)
	assert.Equal(t, len(replica.Endpoints()), 2)
	table.SetLoading("a", true)
	update, _ := table.UpdateSince(replica.Position())
	assert.Equal(t, update.GetFull(), false)
	assert.Equal(t, len(update.GetEndpoints()), 1)
	assert.NilError(t, replica.Apply(update))
	assert.Equal(t, replica.Endpoints()["a"].Loading, true)
	table.ApplyList([]Endpoint{engine("b", 1)})
	syncReplica(t, replica, table)
	assert.Equal(t, len(replica.Endpoints()), 1)
	none, _ := table.UpdateSince(replica.Position())
	assert.Assert(t, none == nil)
}

// The platform's list lags, so two control instances may hold different states of
// it. An entry instance that switches from the newer to the older one must not
// send requests to an endpoint that it knows to be draining: they would be cut off.
func TestStaleListDoesNotRevertDraining(t *testing.T) {
	newer, older, replica := NewTable(1), NewTable(2), NewReplica()
	leaving := engine("a", 2)
	leaving.Draining = true
	newer.ApplyList([]Endpoint{leaving})
	older.ApplyList([]Endpoint{engine("a", 1)})
	syncReplica(t, replica, newer)
	syncReplica(t, replica, older)
	got := replica.Endpoints()["a"]
	assert.Equal(t, got.Draining, true)
	assert.Equal(t, got.Weights["m"], uint64(2))
	newer.ApplyList([]Endpoint{engine("a", 1)})
	syncReplica(t, replica, newer)
	assert.Equal(t, replica.Endpoints()["a"].Draining, true)
}

// An endpoint restarts under the same identity with older weights. If the table kept
// the version of the former incarnation, each request for the newer weights would be
// sent there and declined.
func TestRestartedEndpointTakesWeightsFromList(t *testing.T) {
	table := NewTable(1)
	table.ApplyList([]Endpoint{engine("a", 1)})
	table.RecordWeights("a", 0, "m", 3)
	assert.Equal(t, table.Endpoints()[0].Weights["m"], uint64(3))
	restarted := engine("a", 2)
	restarted.StartUnixMilli = 2
	table.ApplyList([]Endpoint{restarted})
	assert.Equal(t, table.Endpoints()[0].Weights["m"], uint64(2))
}

// A replica lags by more removals than the table has tombstones. Without a full
// update it would keep endpoints that no longer exist.
func TestReplicaFarBehindGetsFullUpdate(t *testing.T) {
	table, replica := NewTable(1), NewReplica()
	table.ApplyList([]Endpoint{engine("first", 1)})
	syncReplica(t, replica, table)
	for range maxTombstones + 1 {
		table.ApplyList([]Endpoint{engine("other", 1)})
		table.ApplyList(nil)
	}
	update, _ := table.UpdateSince(replica.Position())
	assert.Equal(t, update.GetFull(), true)
	assert.NilError(t, replica.Apply(update))
	assert.Equal(t, len(replica.Endpoints()), 0)
}

// An entry instance must not lose all endpoints when it switches to a control instance that
// has just started and has not read the platform's list yet.
func TestUnsyncedTableSendsNoUpdate(t *testing.T) {
	for name, fill := range map[string]func(*Table, Endpoint){
		"list":               func(table *Table, e Endpoint) { table.ApplyList([]Endpoint{e}) },
		"leader":             func(table *Table, e Endpoint) { table.Mirror(map[tables.EndpointID]Endpoint{e.ID: e}) },
		"empty list":         func(table *Table, _ Endpoint) { table.ApplyList(nil) },
		"leader's empty set": func(table *Table, _ Endpoint) { table.Mirror(nil) },
	} {
		table := NewTable(1)
		update, changed := table.UpdateSince(0, 0)
		assert.Assert(t, update == nil, name)
		fill(table, Endpoint{ID: "e", Address: netip.MustParseAddrPort("127.0.0.1:1"), Weights: map[string]uint64{}})
		<-changed
		update, _ = table.UpdateSince(0, 0)
		assert.Assert(t, update != nil && update.GetFull(), name)
	}
}

// Replicas that synchronise at random times must converge to the table: a delta must neither
// miss a change nor contain an outdated one, whatever changes come between two updates.
func TestLaggingReplicasConverge(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := NewTable(1)
		replicas := make([]*Replica, 5)
		for i := range replicas {
			replicas[i] = NewReplica()
		}
		listed, restarts := map[int]bool{0: true}, map[int]int64{}
		for range 400 {
			id := rng.IntN(30)
			switch rng.IntN(4) {
			case 0:
				listed[id] = !listed[id]
				restarts[id]++
				var all []Endpoint
				for n, present := range listed {
					if present {
						e := engine(fmt.Sprint(n), 1)
						e.StartUnixMilli += restarts[n]
						all = append(all, e)
					}
				}
				table.ApplyList(all)
			case 1:
				table.RecordWeights(tables.EndpointID(fmt.Sprint(id)), 0, "m", 1+rng.Uint64N(50))
			case 2:
				table.SetLoading(tables.EndpointID(fmt.Sprint(id)), rng.IntN(2) == 0)
			default:
				syncReplica(t, replicas[rng.IntN(len(replicas))], table)
			}
		}
		for _, replica := range replicas {
			syncReplica(t, replica, table)
			got := replica.Endpoints()
			want := table.Endpoints()
			assert.Equal(t, len(got), len(want), "seed %d", seed)
			for _, e := range want {
				replicated := got[e.ID]
				assert.Assert(t, replicated.Equal(&e), "seed %d: replica has %v, table has %v", seed, replicated, e)
			}
		}
	}
}
