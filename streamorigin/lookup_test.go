package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against an instance that is out of step and takes the one version that it knows for that of every
// stream, and against resumptions that are refused although an instance in touch vouches for that version.
func TestUnknownOriginIsSingleOnlyIfAnInstanceVouchesForIt(t *testing.T) {
	one, both := []string{"v1"}, []string{"v1", "v2"}
	for name, test := range map[string]struct {
		seen   []Seen
		down   int
		single bool
	}{
		"one vouches":             {seen: []Seen{{one, false}, {one, true}, {one, false}}, single: true},
		"none vouches":            {seen: []Seen{{one, false}, {one, false}, {one, false}}},
		"one knows another":       {seen: []Seen{{one, true}, {one, true}, {both, false}}},
		"no answer":               {seen: []Seen{{one, true}, {one, true}, {one, true}}, down: 3},
		"one answers and vouches": {seen: []Seen{{one, true}, {one, true}, {one, true}}, down: 2, single: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeInstances(4, 1)
			for i, seen := range test.seen {
				at := f.zones[tables.Zone(fmt.Sprint("z", i+1))][0].Control
				f.seen[at] = seen
				f.down[at] = i < test.down
			}
			found := f.directories[f.zones["z0"][0].Control].Find(t.Context(), "r", "s")
			assert.Assert(t, !found.Known)
			assert.Equal(t, found.Seen.IsSingle(), test.single)
		})
	}
	alone := newFakeInstances(1, 1)
	assert.Assert(t, alone.directories[alone.zones["z0"][0].Control].Find(t.Context(), "r", "s").Seen.IsSingle())
}

// Guards against an instance that vouches for a version although its list is old or it has started lately.
func TestInstanceVouchesOnlyForWhatItHasWatched(t *testing.T) {
	endpoints := func(software ...string) map[tables.EndpointID]fleet.Endpoint {
		all := map[tables.EndpointID]fleet.Endpoint{}
		for i, s := range software {
			all[tables.EndpointID(fmt.Sprint("e", i))] = fleet.Endpoint{Service: "s", Software: s}
		}
		return all
	}
	var v Versions
	start := time.Second
	assert.Assert(t, !v.Seen(start, "s").Complete)
	v.Observe(start, endpoints("v1"))
	now := start + VersionMemory + time.Second
	assert.Assert(t, !v.Seen(now, "s").Complete)
	v.RecordListRead(now - time.Second)
	v.RecordListRead(now - time.Minute)
	assert.DeepEqual(t, v.Seen(now, "s"), Seen{Versions: []string{"v1"}, Complete: true})
	assert.Assert(t, !v.Seen(now+maxListAge, "s").Complete)
	assert.Assert(t, v.Observe(now, endpoints("v1", "v2")))
	assert.DeepEqual(t, v.Seen(now, "s").Versions, []string{"v1", "v2"})
	v.Observe(now+time.Second, endpoints("v2"))
	assert.DeepEqual(t, v.Seen(now+VersionMemory, "s").Versions, []string{"v1", "v2"})
	assert.DeepEqual(t, v.Seen(now+VersionMemory+2*time.Second, "s").Versions, []string{"v2"})
}
