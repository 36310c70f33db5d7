package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against attempts of an instance that is alive being forgotten, and against those of a crashed one being
// kept, also if it comes back under its ID.
func TestProcessRecordTellsEndedProcesses(t *testing.T) {
	member := func(boot uint64, state membership.State) []membership.Member {
		return []membership.Member{{InstanceInfo: membership.InstanceInfo{Instance: "x", Boot: boot}, State: state}}
	}
	p := processRecord{}
	for _, step := range []struct {
		members []membership.Member
		ended   bool
	}{
		{members: member(1, membership.Alive)},
		{members: member(1, membership.Suspect)},
		{members: member(1, membership.Alive)},
		{members: member(1, membership.Dead), ended: true},
		{members: member(2, membership.Alive), ended: true},
		{members: member(2, membership.Alive)},
		{members: member(3, membership.Alive), ended: true},
		{members: member(3, membership.Left), ended: true},
		{members: nil},
		{members: member(4, membership.Alive)},
	} {
		assert.Equal(t, p.observe(step.members)[tables.InstanceID("x")], step.ended)
	}
	p.observe(nil)
	assert.Equal(t, len(p), 0)
}
