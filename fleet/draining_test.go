package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against one odd entry of the list that keeps a sound endpoint from requests until it restarts.
func TestEndpointListedAsDrainingOnceIsUsedAgain(t *testing.T) {
	leader, follower, replica := NewTable(1), NewTable(2), NewReplica()
	odd := engine("a", 1)
	odd.Draining = true
	leader.ApplyList([]Endpoint{engine("a", 1)})
	leader.ApplyList([]Endpoint{odd, engine("a", 1)})
	syncReplica(t, replica, leader)
	follower.Mirror(replica.Endpoints())
	for range minReadyLists {
		leader.ApplyList([]Endpoint{engine("a", 1)})
	}
	syncReplica(t, replica, leader)
	follower.Mirror(replica.Endpoints())
	assert.Assert(t, !leader.Endpoints()[0].Draining, "leader")
	assert.Assert(t, !replica.Endpoints()["a"].Draining, "replica")
	assert.Assert(t, !follower.Endpoints()[0].Draining, "follower")
}

// Guards against requests to a leaving endpoint that old pages of the list, or another control instance, show
// as ready.
func TestLeavingEndpointIsNotReinstated(t *testing.T) {
	leaving, announced := engine("a", 1), engine("b", 1)
	leaving.Draining = true
	table, replica := NewTable(1), NewReplica()
	table.ApplyList([]Endpoint{engine("a", 1), announced})
	table.SetDraining("b", 1)
	for range 3 {
		table.ApplyList([]Endpoint{leaving, announced})
		for range minReadyLists - 1 {
			table.ApplyList([]Endpoint{engine("a", 1), announced})
		}
	}
	for range minReadyLists {
		table.ApplyList([]Endpoint{leaving, announced})
	}
	syncReplica(t, replica, table)
	for id, e := range replica.Endpoints() {
		assert.Assert(t, e.Draining, "%s", id)
	}
	other := NewTable(2)
	other.ApplyList([]Endpoint{engine("a", 1), announced})
	syncReplica(t, replica, other)
	for id, e := range replica.Endpoints() {
		assert.Assert(t, e.Draining, "%s", id)
	}
}

// Guards against a source without that update which reverts that an endpoint is used again, and against an
// endpoint that leaves after it was.
func TestReinstatedEndpointMayLeave(t *testing.T) {
	table, old, replica := NewTable(1), NewTable(2), NewReplica()
	leaving := engine("a", 1)
	leaving.Draining = true
	table.ApplyList([]Endpoint{leaving})
	old.Mirror(map[tables.EndpointID]Endpoint{"a": leaving})
	for range minReadyLists {
		table.ApplyList([]Endpoint{engine("a", 1)})
	}
	syncReplica(t, replica, table)
	syncReplica(t, replica, old)
	assert.Assert(t, !replica.Endpoints()["a"].Draining)
	table.ApplyList([]Endpoint{leaving})
	syncReplica(t, replica, table)
	assert.Assert(t, replica.Endpoints()["a"].Draining)
}
