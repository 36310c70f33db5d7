package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

func engine(id string, version uint64) Endpoint {
	return Endpoint{
		ID: tables.EndpointID(id), Service: "models", Address: netip.MustParseAddrPort("127.0.0.1:80"),
		Zone: "a", Slots: 8, Weights: map[string]uint64{"m": version}, StartUnixMilli: 1,
	}
}

func follow(t *testing.T, c *Replica, from *Table) {
	t.Helper()
	told, _ := from.UpdateSince(c.Position())
	assert.NilError(t, c.Apply(told))
}

func TestACopyFollowsByDifferences(t *testing.T) {
	table, c := NewTable(1), NewReplica()
	table.ApplyList([]Endpoint{engine("a", 1), engine("b", 1)})
	follow(t, c, table)
	assert.Equal(t, len(c.Endpoints()), 2)
	table.SetLoading("a", true)
	told, _ := table.UpdateSince(c.Position())
	assert.Equal(t, told.GetFull(), false)
	assert.Equal(t, len(told.GetEndpoints()), 1)
	assert.NilError(t, c.Apply(told))
	assert.Equal(t, c.Endpoints()["a"].Loading, true)
	table.ApplyList([]Endpoint{engine("b", 1)})
	follow(t, c, table)
	assert.Equal(t, len(c.Endpoints()), 1)
	nothing, _ := table.UpdateSince(c.Position())
	assert.Assert(t, nothing == nil)
}

// The platform's list lags, and two control instances read different states of
// it. An instance that moves from one to the other would send work to an
// endpoint that it already knew to leave, and callers there would be cut off.
func TestAnOlderListBringsNoEndpointBack(t *testing.T) {
	newer, older, c := NewTable(1), NewTable(2), NewReplica()
	leaving := engine("a", 2)
	leaving.Draining = true
	newer.ApplyList([]Endpoint{leaving})
	older.ApplyList([]Endpoint{engine("a", 1)})
	follow(t, c, newer)
	follow(t, c, older)
	got := c.Endpoints()["a"]
	assert.Equal(t, got.Draining, true)
	assert.Equal(t, got.Weights["m"], uint64(2))
	newer.ApplyList([]Endpoint{engine("a", 1)})
	follow(t, c, newer)
	assert.Equal(t, c.Endpoints()["a"].Draining, true)
}

// An endpoint restarts under its identity with older weights. Were the former
// life's version held for true, each request for the newer weights would be
// sent there and declined.
func TestANewLifeStartsFromTheList(t *testing.T) {
	table := NewTable(1)
	table.ApplyList([]Endpoint{engine("a", 1)})
	table.RecordWeights("a", "m", 3)
	assert.Equal(t, table.Endpoints()[0].Weights["m"], uint64(3))
	reborn := engine("a", 2)
	reborn.StartUnixMilli = 2
	table.ApplyList([]Endpoint{reborn})
	assert.Equal(t, table.Endpoints()[0].Weights["m"], uint64(2))
}

// A copy lags behind by more removals than are remembered. Without a full
// answer it would keep endpoints that are long gone.
func TestACopyFarBehindGetsAllEndpoints(t *testing.T) {
	table, c := NewTable(1), NewReplica()
	table.ApplyList([]Endpoint{engine("first", 1)})
	follow(t, c, table)
	for range maxRemoved + 1 {
		table.ApplyList([]Endpoint{engine("other", 1)})
		table.ApplyList(nil)
	}
	told, _ := table.UpdateSince(c.Position())
	assert.Equal(t, told.GetFull(), true)
	assert.NilError(t, c.Apply(told))
	assert.Equal(t, len(c.Endpoints()), 0)
}

// Guards against instances losing all their endpoints when they turn to a control instance
// that has just started and has not read the list yet.
func TestATableThatWasNotFilledSaysNothing(t *testing.T) {
	for name, fill := range map[string]func(*Table, Endpoint){
		"by the list":       func(table *Table, e Endpoint) { table.ApplyList([]Endpoint{e}) },
		"by another":        func(table *Table, e Endpoint) { table.Mirror(map[tables.EndpointID]Endpoint{e.ID: e}) },
		"by an empty list":  func(table *Table, _ Endpoint) { table.ApplyList(nil) },
		"by an empty table": func(table *Table, _ Endpoint) { table.Mirror(nil) },
	} {
		table := NewTable(1)
		told, changed := table.UpdateSince(0, 0)
		assert.Assert(t, told == nil, name)
		fill(table, Endpoint{ID: "e", Address: netip.MustParseAddrPort("127.0.0.1:1"), Weights: map[string]uint64{}})
		<-changed
		told, _ = table.UpdateSince(0, 0)
		assert.Assert(t, told != nil && told.GetFull(), name)
	}
}

// Guards against followers that miss a change, or get one that is over, whatever changes come
// between their questions.
func TestCopiesThatLagEndUpAlike(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := NewTable(1)
		copies := make([]*Replica, 5)
		for i := range copies {
			copies[i] = NewReplica()
		}
		listed, lives := map[int]bool{0: true}, map[int]int64{}
		for range 400 {
			id := rng.IntN(30)
			switch rng.IntN(4) {
			case 0:
				listed[id] = !listed[id]
				lives[id]++
				var all []Endpoint
				for n, present := range listed {
					if present {
						e := engine(fmt.Sprint(n), 1)
						e.StartUnixMilli += lives[n]
						all = append(all, e)
					}
				}
				table.ApplyList(all)
			case 1:
				table.RecordWeights(tables.EndpointID(fmt.Sprint(id)), "m", 1+rng.Uint64N(50))
			case 2:
				table.SetLoading(tables.EndpointID(fmt.Sprint(id)), rng.IntN(2) == 0)
			default:
				follow(t, copies[rng.IntN(len(copies))], table)
			}
		}
		for _, c := range copies {
			follow(t, c, table)
			got := c.Endpoints()
			want := table.Endpoints()
			assert.Equal(t, len(got), len(want), "seed %d", seed)
			for _, e := range want {
				one := got[e.ID]
				assert.Assert(t, one.Equal(&e), "seed %d: %v, not %v", seed, one, e)
			}
		}
	}
}
