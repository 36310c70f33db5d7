package node

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against requests that an instance sends to itself or another one because an entry of the list has its address.
func TestInstancesAreNoEndpoints(t *testing.T) {
	c := newCluster(t)
	listen := c.settings[1].Listen
	c.platform.mu.Lock()
	for id, at := range map[string]netip.AddrPort{"callers": c.callers, "operators": listen.Operators, "instances": listen.Instances, "other": netip.MustParseAddrPort("127.31.9.1:1")} {
		c.platform.odd = append(c.platform.odd, fleet.Endpoint{ID: tables.EndpointID(id), Service: "models", Address: at, Zone: "z", Slots: 4, Weights: map[string]uint64{}})
	}
	c.platform.mu.Unlock()
	deadline := time.Now().Add(20 * time.Second)
	for {
		endpoints := c.entry.entry.Endpoints()
		if _, shown := endpoints["other"]; shown {
			assert.Equal(t, len(endpoints), 2, "%v", endpoints)
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "the list is not read")
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against requests that an instance goes on to send to one that joins after the list has come.
func TestInstanceThatJoinsLaterIsNoEndpoint(t *testing.T) {
	c := &cluster{t: t, platform: newFakePlatform(t)}
	d := newTestDeployment(t, "127.31.9.1", "127.31.9.2")
	late := d.entrySettings("entry-1", "127.31.9.2", "z")
	c.platform.odd = []fleet.Endpoint{{ID: "late", Service: "models", Address: late.Listen.Callers, Zone: "z", Slots: 4, Weights: map[string]uint64{}}}
	for _, s := range d.controlSettings() {
		c.start(s)
	}
	first := c.start(d.entrySettings("entry-0", "127.31.9.1", "z"))
	awaitListed(t, first, true)
	c.start(late)
	awaitListed(t, first, false)
}

// awaitListed waits until an instance counts the odd entry as an endpoint, or no longer does.
func awaitListed(t *testing.T, n *Node, want bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		endpoints := n.entry.Endpoints()
		if _, shown := endpoints["late"]; shown == want && len(endpoints) > 0 {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%v", endpoints)
	}
}
