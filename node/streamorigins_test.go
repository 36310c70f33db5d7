package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/streamorigin"
)

// Guards against the loss of the versions that began streams when all processes end: clients resume
// the streams at an instance that has just started.
func TestStreamOriginsOutliveAllProcesses(t *testing.T) {
	c := newCluster(t)
	awaitKnown := func(request string) {
		t.Helper()
		deadline := time.Now().Add(20 * time.Second)
		for {
			if found := c.entry.streamOrigins.Find(t.Context(), request, "models"); found.Known {
				assert.Equal(t, found.Software, "v1")
				return
			}
			assert.Assert(t, time.Now().Before(deadline), "the origin is not known")
			time.Sleep(10 * time.Millisecond)
		}
	}
	c.entry.streamOrigins.Record(streamorigin.Origin{Request: "r", Software: "v1"}, false)
	entrySettings := c.entry.options.Settings
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range c.controls {
		for known := false; !known; _, known = n.findStreamOrigin("r") {
			assert.Assert(t, time.Now().Before(deadline), "a control instance does not get the origin")
			time.Sleep(10 * time.Millisecond)
		}
	}
	c.entry.Stop()
	c.entry = c.start(entrySettings)
	awaitKnown("r")

	for i, n := range append(c.controls, c.entry) {
		n.Stop()
		if i < len(c.controls) {
			c.settings[i].New = false
		}
	}
	for i, s := range c.settings {
		c.controls[i] = c.start(s)
	}
	c.entry = c.start(entrySettings)
	awaitKnown("r")
}

// Guards against instances that never vouch for the versions that they have seen, because the age of the list does not
// reach them: unknown origins would be refused for ever.
func TestAgeOfTheListReachesAllInstances(t *testing.T) {
	c := newCluster(t)
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range append(c.controls, c.entry) {
		seen := &n.software
		if n == c.entry {
			seen = n.entry.Software()
		}
		for known := false; !known; _, known = seen.ListAge(n.now()) {
			assert.Assert(t, time.Now().Before(deadline), "%s does not know the age of the list", n.options.Settings.Instance)
			time.Sleep(10 * time.Millisecond)
		}
		found, err := streamsServer{n}.FindOrigin(t.Context(), &rpc.FindOriginRequest{Services: []string{"models"}})
		assert.NilError(t, err)
		assert.DeepEqual(t, found.GetServices()[0].GetVersions(), []string{""})
	}
}
