package usage

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

var engineSubject = EndpointSubject("engine")

// endpointWindow is the sliding window over which an endpoint's use is checked.
const endpointWindow = 4 * time.Second

// maxEndpointUse is the highest number of requests within endpointWindow that an endpoint
// with a limit of perSecond tolerates.
func maxEndpointUse(perSecond float64) int64 {
	return int64(1.5*perSecond*endpointWindow.Seconds() + 5)
}

// forEachRate simulates deployments whose instances want to send an endpoint twenty times
// the requests that its limit allows.
func forEachRate(t *testing.T, f func(s *simulation), check func(t *testing.T, s *simulation, perSecond float64)) {
	for _, perSecond := range []float64{0.05, 1, 1.2, 5, 40} {
		forEachSize(t, func(t *testing.T, n int) {
			s := newSimulation(n, nil)
			s.endpointLimits = map[Subject]Limit{engineSubject: EndpointLimit(perSecond)}
			s.runUntil(warmUp)
			s.generateUnitLoad(engineSubject, 20*max(perSecond, 1), warmUp+30*time.Second)
			f(s)
			s.runUntil(warmUp + 31*time.Second)
			most := s.peakUse(engineSubject, endpointWindow)
			t.Logf("%v a second: %d within the window of %d, %d in all", perSecond, most, maxEndpointUse(perSecond), s.totalUse(engineSubject, 0))
			assert.Assert(t, most <= maxEndpointUse(perSecond), "%v requests per second: %d admitted within the window, %d allowed", perSecond, most, maxEndpointUse(perSecond))
			check(t, s, perSecond)
		})
	}
}

// Guards against an endpoint receiving more than its limit because many instances each know
// the limit, and against most of the limit staying unused.
func TestEndpointLimitHoldsAcrossInstances(t *testing.T) {
	forEachRate(t, func(*simulation) {}, func(t *testing.T, s *simulation, perSecond float64) {
		usable := float64(s.totalUse(engineSubject, warmUp)) / (max(perSecond, minEndpointRequestsPerSecond) * 30)
		assert.Assert(t, usable >= 0.75, "%.3f", usable)
	})
}

// Guards against an endpoint's limit being exceeded during a partition between zones, when
// each zone's owner goes on admitting requests.
func TestEndpointLimitHoldsAcrossPartition(t *testing.T) {
	forEachRate(t, func(s *simulation) {
		s.after(5*time.Second, func() { s.partitioned = func(a, b string) bool { return a != b } })
		s.after(15*time.Second, func() { s.partitioned = func(string, string) bool { return false } })
	}, func(t *testing.T, s *simulation, _ float64) {
		assert.Assert(t, s.totalUse(engineSubject, warmUp+7*time.Second) > 0)
	})
}

// Guards against each owner that starts granting an endpoint's limit anew.
func TestEndpointLimitHoldsAcrossRestarts(t *testing.T) {
	forEachRate(t, func(s *simulation) {
		for i := range 8 {
			s.after(time.Duration(i+2)*2*time.Second, func() {
				lost := s.ownerOf(s.zones[i%len(s.zones)], engineSubject)
				s.crash(lost)
				s.after(time.Second, func() { s.boot(lost) })
			})
		}
	}, func(*testing.T, *simulation, float64) {})
}

// Guards against requests to an endpoint with a limit while no owner counts them.
func TestStrictLimitRefusesWithoutOwner(t *testing.T) {
	now := func() tables.Instant { return time.Second }
	self := membership.EntryInstance{Instance: "i1", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	other := membership.EntryInstance{Instance: "i2", Address: netip.MustParseAddrPort("127.0.0.1:2")}
	c := NewClient(ClientOptions{
		Self: self.Instance, Zone: "a", Now: now, Log: zap.NewNop(), InstanceCount: func() int { return 2 },
		EntriesByZone: func() map[tables.Zone][]membership.EntryInstance {
			return map[tables.Zone][]membership.EntryInstance{"a": {other}}
		},
		Send: func(netip.AddrPort, *rpc.UsageMessage) {},
	})
	decision := c.Admit(context.Background(), engineSubject, EndpointLimit(5), 1)
	assert.Equal(t, decision.Basis, ByNoOwner)
	assert.Assert(t, !decision.Admitted)
	assert.Assert(t, decision.RetryAfter > 0)
}

// Guards against debits and reports losing a limit that only another zone knows.
func TestDebitsAndReportsCarryEndpointLimits(t *testing.T) {
	limit := EndpointLimit(1.2)
	assert.Equal(t, decodeDebit(encodeDebit(Debit{Subject: engineSubject, Limit: limit})).Limit, limit)
	assert.Equal(t, decodeReport(encodeReport(Report{Subject: engineSubject, Limit: limit})).Limit, limit)
	assert.Equal(t, decodeDebit(encodeDebit(Debit{Subject: org})).Limit, Limit{})

	owner := NewBucketOwner(time.Second, "a", 1)
	owner.ApplyReport(2*time.Second, "i2", Report{Subject: engineSubject, Limit: limit, Zone: "b", Admitted: 1, BootEpoch: 1, Demand: 1})
	reply, _ := owner.Debit(2*time.Second, "i1", Debit{Subject: engineSubject})
	assert.Assert(t, reply.Ready)
	unknown, _ := owner.Debit(2*time.Second, "i1", Debit{Subject: EndpointSubject("unknown")})
	assert.Assert(t, !unknown.Ready)
}
