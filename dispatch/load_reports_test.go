package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against queues that form at some engines while others are idle, because dozens
// of instances send to many engines and each instance reaches a given engine only every
// few seconds.
//
// Thirty instances send 20,000 prompts of unequal length to 40 engines, in simulated
// time. With loads reported every 20 ms the mean wait at the engine must be less than
// half of the mean wait without reports.
func TestLoadReportsShortenQueues(t *testing.T) {
	withoutReports, withReports := meanWait(t, false), meanWait(t, true)
	t.Logf("mean wait %v without load reports, %v with them", withoutReports, withReports)
	assert.Assert(t, withReports < withoutReports/2, "mean wait %v with load reports, %v without", withReports, withoutReports)
}

// meanWait runs the simulation and returns the mean time that requests wait at their
// engine behind other prompts.
func meanWait(t *testing.T, exchange bool) time.Duration {
	t.Helper()
	const (
		instances = 30
		engines   = 40
		requests  = 20_000
		// rate is the speed of every engine in tokens a millisecond. With 2,500 tokens on
		// average every 2.8 ms, the 40 engines are utilised to three quarters.
		rate   = 30.0
		gap    = 2800 * time.Microsecond
		period = 20 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 2))
	var all []*Dispatcher
	for i := range instances {
		d, _ := newTestDispatcher(engines)
		d.options.Seed = uint64(i)
		all = append(all, d)
	}
	type running struct {
		by    *Dispatcher
		a     *Attempt
		first tables.Instant
	}
	free := map[tables.EndpointID]tables.Instant{}
	var open []running
	var waited time.Duration
	now, exchangedAt := time.Second, time.Second
	for range requests {
		now += gap
		open = filterInPlace(open, func(r running) bool {
			if r.first > now {
				return true
			}
			r.by.RecordResponseStart(r.first, r.a)
			r.by.RecordOutcome(r.first, r.a, Completed)
			return false
		})
		if exchange && now-exchangedAt >= period {
			exchangedAt = now
			for i, from := range all {
				for _, l := range from.TakeLoadReports(now) {
					for j, to := range all {
						if i != j {
							to.ApplyLoadReport(now, tables.InstanceID(fmt.Sprint(i)), l)
						}
					}
				}
			}
		}
		d := all[rng.IntN(instances)]
		r := newTestRequest(0)
		r.SharedParts, r.PromptTokens = nil, int(500+rng.ExpFloat64()*2000)
		a, _ := d.Place(now, r)
		if a == nil {
			continue
		}
		begins := max(now, free[a.Endpoint.ID])
		waited += begins - now
		first := begins + time.Duration(float64(r.PromptTokens)/rate*float64(time.Millisecond))
		free[a.Endpoint.ID] = first
		open = append(open, running{by: d, a: a, first: first})
	}
	return waited / requests
}

// filterInPlace keeps the elements for which stays returns true, in order.
func filterInPlace[T any](all []T, stays func(T) bool) []T {
	kept := all[:0]
	for _, one := range all {
		if stays(one) {
			kept = append(kept, one)
		}
	}
	return kept
}

// Guards against the last report of an instance that has crashed excluding an engine for
// good.
func TestLoadReportOfASilentInstanceExpires(t *testing.T) {
	d, _ := newTestDispatcher(1)
	d.ApplyLoadReport(time.Second, "gone", LoadReport{Endpoint: "e0", Running: models.Slots, MemoryTokens: 90_000})
	_, reason := d.Place(time.Second, newTestRequest(7))
	assert.Equal(t, reason, NoCapacity)
	later := time.Second + loadReportTTL + loadSweepInterval
	d.TakeLoadReports(later)
	mustPlace(t, d, later, newTestRequest(7))
}

// Guards against load that counts twice or for ever after a lost datagram: each report
// holds the sender's whole load.
func TestLoadReportReplacesThePreviousOne(t *testing.T) {
	from, _ := newTestDispatcher(1)
	to, _ := newTestDispatcher(1)
	a := mustPlace(t, from, time.Second, newTestRequest(7))
	alone := newTestRequest(8)
	alone.SharedParts = nil
	b := mustPlace(t, from, time.Second, alone)
	loads := from.TakeLoadReports(time.Second)
	assert.DeepEqual(t, loads, []LoadReport{{Endpoint: "e0", Running: 2, MemoryTokens: a.memoryTokens + b.memoryTokens, PrefillTokens: int(a.prefillTokens + b.prefillTokens)}})
	for range 2 {
		to.ApplyLoadReport(time.Second, "from", loads[0])
	}
	assert.Equal(t, to.endpoints["e0"].reported.running, 2)
	assert.Equal(t, len(from.TakeLoadReports(time.Second)), 0)
	assert.Equal(t, len(from.TakeLoadReports(time.Second+2*loadReportInterval)), 1)
	from.RecordOutcome(3*time.Second, a, Completed)
	from.RecordOutcome(3*time.Second, b, Completed)
	for _, l := range from.TakeLoadReports(3 * time.Second) {
		to.ApplyLoadReport(3*time.Second, "from", l)
	}
	assert.Equal(t, to.endpoints["e0"].reported.running, 0)
	assert.Equal(t, to.endpoints["e0"].reported.prefillTokens, 0)
}

// Guards against all prompts going to one of three stores, which would evict them before
// they are requested again while the others are empty.
func TestPromptsAreDistributedOverStores(t *testing.T) {
	d, all := newTestDispatcher(2)
	for i, zone := range []tables.Zone{"a", "b", "c"} {
		id := tables.EndpointID("store-" + string(zone))
		all[id] = fleet.Endpoint{
			ID: id, Service: string(id), Zone: zone, IsKVStore: true, Weights: map[string]uint64{},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(2000+i)),
		}
	}
	d.SetEndpoints(all)
	count := map[tables.EndpointID]int{}
	for part := range uint64(300) {
		now := time.Second + tables.Instant(part)*time.Second
		first := mustPlace(t, d, now, newTestRequest(100+part))
		count[first.CacheStore.ID]++
		d.RecordResponseStart(now+time.Millisecond, first)
		d.RecordOutcome(now+time.Millisecond, first, Completed)
	}
	for id, n := range count {
		assert.Assert(t, n > 60, "store %s received %d of 300 prompts", id, n)
	}
	assert.Equal(t, len(count), 3)
}
