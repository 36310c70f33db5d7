package node

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/tables"
)

// cutLister is the list of a platform that one instance may be cut off from.
type cutLister struct {
	*fakePlatform
	isCut atomic.Bool
}

func (l *cutLister) Endpoints(ctx context.Context) ([]fleet.Endpoint, error) {
	if l.isCut.Load() {
		return nil, &tables.NoQuorumError{Operation: "list"}
	}
	return l.fakePlatform.Endpoints(ctx)
}

// startWithLister starts an instance with a list of its own.
func (c *cluster) startWithLister(s *settings.Forwarding, l EndpointLister) *Node {
	c.t.Helper()
	platform := c.platform.platform()
	platform.NewLister = func(netip.AddrPort) EndpointLister { return l }
	n, err := Start(Options{Settings: s, Platform: platform, Log: zaptest.NewLogger(c.t, zaptest.Level(zap.ErrorLevel))})
	assert.NilError(c.t, err)
	c.t.Cleanup(n.Stop)
	return n
}

// waitUntil polls a condition until it holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), what)
	}
}

// Guards against a leader that is cut off from the platform's list and keeps all instances from reading it.
func TestLeaderCutOffFromTheListHidesNoEndpoint(t *testing.T) {
	c := &cluster{t: t, platform: newFakePlatform(t)}
	var listers []*cutLister
	for _, s := range newTestDeployment(t).controlSettings() {
		l := &cutLister{fakePlatform: c.platform}
		listers = append(listers, l)
		c.controls = append(c.controls, c.startWithLister(s, l))
	}
	allHave := func(endpoints int) func() bool {
		return func() bool {
			for _, n := range c.controls {
				if n.fleet.Len() != endpoints {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, "the endpoint is known", allHave(1))
	leader, readers := -1, 0
	waitUntil(t, "only the leader reads the list", func() bool {
		leader, readers = -1, 0
		for i, n := range c.controls {
			if n.replica.Status().IsLeader {
				leader = i
			}
			if n.shouldPollList() {
				readers++
			}
		}
		return leader >= 0 && readers == 1
	})
	listers[leader].isCut.Store(true)
	c.platform.mu.Lock()
	c.platform.odd = []fleet.Endpoint{{
		ID: "new", Service: "models", Address: c.platform.address, Zone: "z", Slots: 4, StartUnixMilli: 1, Weights: map[string]uint64{"m": 1},
	}}
	c.platform.mu.Unlock()
	waitUntil(t, "the new endpoint is known", allHave(2))
}
