package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/routes"
)

// poolOf waits until the entry instance has a configuration of that revision and returns its pool.
func (c *cluster) poolOf(revision uint64) uint64 {
	c.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		if table := c.entry.entry.Configuration(); table != nil && table.Revision == revision {
			return table.CachePool
		}
		assert.Assert(c.t, time.Now().Before(deadline), "no configuration of revision %d", revision)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against cached prompts that stay shared after their organisation is isolated, also across a
// restart of all processes: the pool comes with the configuration, to every entry instance.
func TestPoolFollowsIsolationThroughARestart(t *testing.T) {
	c := newCluster(t)
	c.platform.setOrganisations(func(revision uint64) []routes.Organisation {
		return []routes.Organisation{{ID: "org", Isolated: revision == 4}, {ID: "other"}}
	})
	c.put(0, deployment.ConfigurationDocument, 3, "/a/")
	shared := c.poolOf(3)
	c.put(1, deployment.ConfigurationDocument, 4, "/ab/")
	isolated := c.poolOf(4)
	assert.Assert(t, shared != 0 && isolated != shared)
	entry := c.entry.options.Settings
	for _, n := range append(c.controls, c.entry) {
		n.Stop()
	}
	for i, s := range c.settings {
		s.New = false
		c.controls[i] = c.start(s)
	}
	c.entry = c.start(entry)
	assert.Equal(t, c.poolOf(4), isolated)
	c.put(2, deployment.ConfigurationDocument, 5, "/abc/")
	assert.Equal(t, c.poolOf(5), isolated)
}
