package permits

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// testOwner is a server with an adjustable clock and occupancy.
type testOwner struct {
	*Server
	now  tables.Instant
	room Occupancy
}

func newTestOwner(slots int) *testOwner {
	o := &testOwner{now: time.Hour, room: Occupancy{Slots: slots}}
	o.Server = NewServer("owner", func(id tables.EndpointID) (Occupancy, bool) { return o.room, id == "e" }, func() tables.Instant { return o.now })
	return o
}

// request asks for a permit for an attempt of a second.
func (o *testOwner) request(by tables.InstanceID, number uint64) *rpc.PermitAnswer {
	return o.Request(by, number, &rpc.PermitRequest{Endpoint: "e", LeftMs: 1000})
}

// Guards against more concurrent attempts than slots, by many instances.
func TestPermitsDoNotExceedSlots(t *testing.T) {
	for _, instances := range []int{9, 68, 300} {
		o := newTestOwner(6)
		granted := 0
		for i := range instances {
			if o.request(tables.InstanceID(fmt.Sprint(i)), 1).GetGranted() {
				granted++
			}
		}
		assert.Equal(t, granted, 6)
	}
}

// Guards against a repeated datagram taking a second permit, and against a release of one permit
// ending another.
func TestPermitIsGrantedOncePerAttempt(t *testing.T) {
	o := newTestOwner(2)
	assert.Assert(t, o.request("a", 1).GetGranted())
	assert.Assert(t, o.request("a", 1).GetGranted())
	assert.Assert(t, o.request("b", 1).GetGranted())
	assert.Assert(t, !o.request("c", 1).GetGranted())
	o.Release("c", 1, &rpc.PermitRelease{Endpoint: "e"})
	assert.Assert(t, !o.request("c", 2).GetGranted())
	o.Release("b", 1, &rpc.PermitRelease{})
	assert.Assert(t, o.request("c", 3).GetGranted())
}

// Guards against permits of instances that have ended occupying an endpoint for good.
func TestPermitExpiresWithItsAttempt(t *testing.T) {
	o := newTestOwner(1)
	assert.Assert(t, o.request("a", 1).GetGranted())
	o.now += time.Second
	assert.Assert(t, !o.request("b", 1).GetGranted())
	o.now += expiryGrace + sweepInterval
	assert.Assert(t, o.request("b", 2).GetGranted())
}

// Guards against a new owner granting the slots that attempts occupy under permits of its
// predecessor.
func TestNewOwnerGoesByReportedLoad(t *testing.T) {
	o := newTestOwner(3)
	o.SetMembers([]tables.InstanceID{"a", "owner"})
	o.room.Reported = 2
	assert.Assert(t, !o.request("a", 0).GetGranted(), "reports are on their way")
	o.now += settleTime
	assert.Assert(t, o.Request("a", 1, &rpc.PermitRequest{Endpoint: "e", LeftMs: 10_000}).GetGranted())
	o.room.Reported = 3
	assert.Assert(t, !o.request("a", 2).GetGranted())
	o.now += reportedTime
	assert.Assert(t, o.request("a", 3).GetGranted(), "reports may be late, and the permits are all known by now")
	o.Request("a", 4, &rpc.PermitRequest{Endpoint: "e", LeftMs: 1000, OtherOwner: true})
	assert.Assert(t, !o.request("a", 5).GetGranted(), "another owner may have granted permits")
}

// Guards against an endpoint with less room than it announced rejecting requests on and on.
func TestRejectionsLowerTheLimitForAWhile(t *testing.T) {
	o := newTestOwner(3)
	for n := range uint64(2) {
		assert.Assert(t, o.request("a", n).GetGranted())
		o.Release("a", n, &rpc.PermitRelease{Endpoint: "e", Rejected: true})
	}
	assert.Assert(t, o.request("a", 3).GetGranted())
	assert.Assert(t, !o.request("a", 4).GetGranted())
	o.now += rejectionMemory
	assert.Assert(t, o.request("a", 5).GetGranted())
}

// Guards against an instance that knows no such endpoint, for example since it has just started,
// denying permits.
func TestUnknownEndpointIsNotDecided(t *testing.T) {
	answer := newTestOwner(1).Request("a", 1, &rpc.PermitRequest{Endpoint: "other"})
	assert.Assert(t, !answer.GetReady())
}

// testNetwork delivers the messages of clients to their owners, unless an owner is unresponsive.
type testNetwork struct {
	now     tables.Instant
	owners  map[netip.AddrPort]*testOwner
	down    map[netip.AddrPort]bool
	entries []membership.EntryInstance
}

func newTestNetwork(instances int) *testNetwork {
	n := &testNetwork{now: time.Hour, owners: map[netip.AddrPort]*testOwner{}, down: map[netip.AddrPort]bool{}}
	for i := range instances {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
		n.owners[at] = newTestOwner(2)
		n.entries = append(n.entries, membership.EntryInstance{Instance: tables.InstanceID(fmt.Sprint(i)), Address: at})
	}
	return n
}

// client returns the client of an instance that owns nothing.
func (n *testNetwork) client(self tables.InstanceID) *Client {
	var c *Client
	c = NewClient(ClientOptions{
		Self: self, Entries: func() []membership.EntryInstance { return n.entries }, Now: func() tables.Instant { return n.now },
		Send: func(to netip.AddrPort, m *rpc.ScheduleMessage) {
			if n.down[to] {
				return
			}
			if r := m.GetPermitRequest(); r != nil {
				c.HandleAnswer(to, m.GetNumber(), n.owners[to].Request(self, m.GetNumber(), r))
				return
			}
			n.owners[to].Release(self, m.GetNumber(), m.GetPermitRelease())
		},
	})
	return c
}

// Guards against instances that ask different owners for the same endpoint.
func TestAllInstancesAskTheSameOwner(t *testing.T) {
	n := newTestNetwork(9)
	var held []*Permit
	for i := range 3 {
		p, verdict := n.client(tables.InstanceID(fmt.Sprint("client", i))).Acquire(t.Context(), "e", time.Second)
		if len(held) == 2 {
			assert.Equal(t, verdict, Denied)
			break
		}
		assert.Equal(t, verdict, Granted)
		held = append(held, p)
	}
	held[0].Release(false)
	held[0].Release(false)
	_, verdict := n.client("client3").Acquire(t.Context(), "e", time.Second)
	assert.Equal(t, verdict, Granted)
	var none *Permit
	none.Release(true)
}

// Guards against the attempts at an unresponsive owner's endpoint being admitted by two owners at once,
// or by none for good.
func TestNextOwnerDecidesAfterAnOutage(t *testing.T) {
	n := newTestNetwork(9)
	c := n.client("client")
	first, _, _ := c.owner("e")
	n.down[first.Address] = true
	for end := n.now + takeoverAfter; n.now <= end; n.now += timeoutBackoff {
		_, verdict := c.Acquire(t.Context(), "e", time.Second)
		assert.Equal(t, verdict, Denied)
	}
	p, verdict := c.Acquire(t.Context(), "e", time.Second)
	assert.Equal(t, verdict, Granted)
	assert.Assert(t, p.owner.Instance != first.Instance)
	n.down[first.Address] = false
	n.now += retryOwnerAfter
	p, _ = c.Acquire(t.Context(), "e", time.Second)
	assert.Equal(t, p.owner.Instance, first.Instance)
}

// Guards against a late answer leaving a permit that is never released.
func TestLatePermitIsReturned(t *testing.T) {
	n := newTestNetwork(1)
	c := n.client("client")
	owner := n.owners[n.entries[0].Address]
	c.HandleAnswer(n.entries[0].Address, 7, owner.Request("client", 7, &rpc.PermitRequest{Endpoint: "e", LeftMs: 1000}))
	assert.Equal(t, len(owner.endpoints["e"].expiries), 0)
}

// Guards against a new owner that has not learned of a change of owners and grants the slots that
// attempts occupy under permits of its predecessor.
func TestOwnerThatLearnsLateOfChangeGoesByReportedLoad(t *testing.T) {
	n := newTestNetwork(1)
	owner, asking := n.owners[n.entries[0].Address], newTestOwner(2)
	c := n.client("client")
	c.options.Server = asking.Server
	owner.now += time.Second
	asking.now = owner.now
	asking.NoteOwnersChanged()
	acquire := func() Verdict {
		n.now, asking.now = owner.now, owner.now
		_, verdict := c.Acquire(t.Context(), "e", time.Minute)
		return verdict
	}
	assert.Equal(t, acquire(), Denied, "reports are on their way")
	owner.now += settleTime
	owner.room.Reported = 2
	assert.Equal(t, acquire(), Denied)
	owner.now += reportedTime
	assert.Equal(t, acquire(), Granted, "reports may be late, and the permits are all known by now")
}

// Guards against an owner that grants all slots after a change of owners, if it had permits of the
// endpoint before it learned of the change.
func TestChangeOfOwnersAppliesToHeldPermits(t *testing.T) {
	o := newTestOwner(3)
	o.now += time.Second
	assert.Assert(t, o.Request("a", 0, &rpc.PermitRequest{Endpoint: "e", LeftMs: 10_000}).GetGranted())
	o.NoteOwnersChanged()
	assert.Assert(t, !o.request("a", 1).GetGranted(), "reports are on their way")
	o.now += settleTime
	o.room.Reported = 3
	assert.Assert(t, !o.request("a", 2).GetGranted())
	o.now += reportedTime
	assert.Assert(t, o.request("a", 3).GetGranted())
}
