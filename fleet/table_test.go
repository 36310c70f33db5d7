package fleet

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that has the identity of another endpoint and takes its place.
func TestEntryWithAKnownIdentityDoesNotReplaceItsEndpoint(t *testing.T) {
	known := Endpoint{ID: "e", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), StartUnixMilli: 7, Weights: map[string]uint64{"m": 1}}
	odd := known.Clone()
	odd.Address, odd.Weights["m"] = netip.MustParseAddrPort("127.0.0.2:80"), 99
	restarted := known.Clone()
	restarted.StartUnixMilli = 9
	table := NewTable(1)
	table.ApplyList([]Endpoint{known})
	for _, listed := range [][]Endpoint{{known, odd}, {odd, known}, {odd, known, odd}} {
		table.ApplyList(listed)
		assert.Assert(t, isOnly(table, known))
		assert.Equal(t, table.Version(), uint64(1))
	}
	table.ApplyList([]Endpoint{restarted})
	assert.Assert(t, isOnly(table, restarted))
}

func isOnly(table *Table, e Endpoint) bool {
	all := table.Endpoints()
	return len(all) == 1 && all[0].Equal(&e)
}

// endpointAt returns an endpoint that serves a version of its model's weights.
func endpointAt(version uint64) Endpoint {
	return Endpoint{ID: "e", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), StartUnixMilli: 7, Weights: map[string]uint64{"m": version}}
}

// Guards against an endpoint that counts as up to date on other instances after it went back to older weights.
func TestReportedWeightsMayBeLower(t *testing.T) {
	table, follower, replica := NewTable(1), NewTable(2), NewReplica()
	table.ApplyList([]Endpoint{endpointAt(3)})
	follower.ApplyList([]Endpoint{endpointAt(3)})
	syncReplica(t, replica, table)
	table.RecordWeights("e", 7, "m", 2)
	assert.Assert(t, isOnly(table, endpointAt(2)))
	syncReplica(t, replica, table)
	assert.Equal(t, replica.Endpoints()["e"].Weights["m"], uint64(2))
	follower.Mirror(replica.Endpoints())
	assert.Assert(t, isOnly(follower, endpointAt(2)))

	table.RecordWeights("e", 6, "m", 1)
	assert.Assert(t, isOnly(table, endpointAt(2)), "another process")
}

// Guards against a claim of the list that the endpoint has refuted and that the next read of the list restores.
func TestListDoesNotRestoreRefutedWeights(t *testing.T) {
	table := NewTable(1)
	table.ApplyList([]Endpoint{endpointAt(9)})
	table.RecordWeights("e", 7, "m", 1)
	table.ApplyList([]Endpoint{endpointAt(9)})
	assert.Assert(t, isOnly(table, endpointAt(1)))
	table.ApplyList([]Endpoint{endpointAt(2)})
	assert.Assert(t, isOnly(table, endpointAt(2)))
	table.RecordWeights("e", 7, "m", 9)
	table.ApplyList([]Endpoint{endpointAt(1)})
	assert.Assert(t, isOnly(table, endpointAt(9)))

	table.RecordWeights("e", 7, "m", 1)
	table.ForgetReports()
	table.ApplyList([]Endpoint{endpointAt(9)})
	assert.Assert(t, isOnly(table, endpointAt(9)), "this instance asks no endpoint any more")
}

// Guards against a panic when the list goes on to show an endpoint without the weights that it has reported.
func TestListWithoutWeightsKeepsTheReportedOnes(t *testing.T) {
	table := NewTable(1)
	list := []Endpoint{{ID: "e", StartUnixMilli: 1}}
	table.ApplyList(list)
	table.RecordWeights("e", 1, "m", 2)
	table.ApplyList(list)
	assert.Equal(t, table.Endpoints()[0].Weights["m"], uint64(2))
}

// Guards against refuted weights that an entry instance keeps for good after it changed to another control instance.
func TestReplicaFollowsLowerWeightsOfAnotherSource(t *testing.T) {
	before, after, replica := NewTable(1), NewTable(2), NewReplica()
	before.ApplyList([]Endpoint{endpointAt(9)})
	syncReplica(t, replica, before)
	after.ApplyList([]Endpoint{endpointAt(9)})
	after.RecordWeights("e", 7, "m", 2)
	replica.RequestFullUpdate()
	syncReplica(t, replica, after)
	syncReplica(t, replica, after)
	after.ApplyList([]Endpoint{endpointAt(2)})
	syncReplica(t, replica, after)
	assert.Equal(t, replica.Endpoints()["e"].Weights["m"], uint64(2))
}
