package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/weights"
)

var models = &routes.Service{Name: "models", Slots: 8, KVCapacityTokens: 100_000, Models: []string{"m"}}

// newTestDispatcher returns a dispatcher for the given number of engines, which alternate
// between two zones.
func newTestDispatcher(engines int) (*Dispatcher, map[tables.EndpointID]fleet.Endpoint) {
	d := New(Options{
		Zone: "a", Seed: 1, StaleWeightsTimeout: 8 * time.Second, AddressReuseDelay: 2 * time.Second,
		RetryBudget: RetryBudget{Ratio: 0.2, Extra: 60, Window: 10 * time.Second},
		Predecessor: NoPredecessor(),
	})
	all := map[tables.EndpointID]fleet.Endpoint{}
	for i := range engines {
		id := tables.EndpointID(fmt.Sprintf("e%d", i))
		all[id] = fleet.Endpoint{
			ID: id, Service: "models", Zone: tables.Zone([]string{"a", "b"}[i%2]), Slots: 8, StartUnixMilli: 1,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
			Weights: map[string]uint64{"m": 1},
		}
	}
	d.SetEndpoints(all)
	return d, all
}

// newTestRequest returns a request of 5,000 prompt tokens with two shared parts: a common
// outer one and the given inner one.
func newTestRequest(part uint64) *Request {
	return &Request{
		Service: models, Route: &routes.Route{}, Model: "m", PromptTokens: 5000, OutputTokens: 50,
		SharedParts: []SharedPart{{ID: 1, EndTokens: 2000}, {ID: parts.ID(part), EndTokens: 4000}},
		Deadline:    time.Hour, PrefillWaitUntil: time.Hour,
	}
}

// mustPlace places a request and fails the test if that is not possible.
func mustPlace(t *testing.T, d *Dispatcher, now tables.Instant, r *Request) *Attempt {
	t.Helper()
	a, reason := d.Place(now, r)
	assert.Assert(t, a != nil, "not placed: %s", reason)
	return a
}

// Guards against concurrent requests with the same prompt each computing it, at the
// users' expense: an engine does not share a prompt that it is still computing.
func TestRequestsWaitForAPendingPrefill(t *testing.T) {
	d, _ := newTestDispatcher(4)
	first := mustPlace(t, d, time.Second, newTestRequest(7))
	waiting, reason := d.Place(time.Second+10*time.Millisecond, newTestRequest(7))
	assert.Assert(t, waiting == nil)
	assert.Equal(t, reason, PrefillPending)

	d.RecordResponseStart(time.Second+50*time.Millisecond, first)
	second := mustPlace(t, d, time.Second+60*time.Millisecond, newTestRequest(7))
	assert.Assert(t, second.UncachedTokens <= 1000, "%d uncached tokens", second.UncachedTokens)
}

// Guards against a request waiting for a pending prefill beyond half of its latency
// target, after which its answer would be late however cheap.
func TestWaitForAPendingPrefillIsBounded(t *testing.T) {
	d, _ := newTestDispatcher(4)
	mustPlace(t, d, time.Second, newTestRequest(7))
	impatient := newTestRequest(7)
	impatient.PrefillWaitUntil = time.Second
	mustPlace(t, d, time.Second+10*time.Millisecond, impatient)
}

// Guards against a new prompt being computed twice when two instances place it
// concurrently without knowing of each other's choice.
func TestInstancesPlaceANewPromptOnTheSameEndpoint(t *testing.T) {
	for part := uint64(2); part < 30; part++ {
		one, all := newTestDispatcher(6)
		other := New(Options{Zone: "b", Seed: 99})
		other.SetEndpoints(all)
		a := mustPlace(t, one, time.Second, newTestRequest(part))
		b := mustPlace(t, other, time.Second, newTestRequest(part))
		assert.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
	}
}

// Guards against a prompt that another instance has placed being computed again on
// another engine.
func TestPartsPlacedByOtherInstancesAreFetched(t *testing.T) {
	one, all := newTestDispatcher(6)
	other := New(Options{Zone: "b", Seed: 99})
	other.SetEndpoints(all)
	placed := mustPlace(t, one, time.Second, newTestRequest(7))
	for _, p := range one.TakeCacheUpdates() {
		other.ApplyCacheUpdate(time.Second, p)
	}
	busy := other.endpoints[placed.Endpoint.ID]
	busy.attempts = models.Slots // at capacity
	got := mustPlace(t, other, 2*time.Second, newTestRequest(7))
	assert.Assert(t, got.Endpoint.ID != placed.Endpoint.ID)
	assert.Equal(t, got.CacheSource.ID, placed.Endpoint.ID)
	assert.Assert(t, got.UncachedTokens <= 1000, "%d uncached tokens", got.UncachedTokens)
}

// Guards against an entry of the cache directory for a prompt whose request the engine
// declined: later requests would find nothing there and compute the prompt in two places.
func TestDeclinedAttemptAddsNothingToTheCache(t *testing.T) {
	d, _ := newTestDispatcher(4)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordOutcome(time.Second+time.Millisecond, a, Declined)
	again := newTestRequest(7)
	again.Tried = []tables.EndpointID{a.Endpoint.ID}
	b := mustPlace(t, d, time.Second+2*time.Millisecond, again)
	assert.Equal(t, b.UncachedTokens, 5000)
	assert.Equal(t, b.HasCacheSource(), false)
}

// Guards against a cached prompt that was computed under old weights being used or
// fetched for new ones.
func TestPartsOfOtherWeightsAreNotShared(t *testing.T) {
	d, all := newTestDispatcher(2)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordResponseStart(time.Second, a)
	for id, e := range all {
		e.Weights = map[string]uint64{"m": 2}
		all[id] = e
	}
	d.SetEndpoints(all)
	b := mustPlace(t, d, 2*time.Second, newTestRequest(7))
	assert.Equal(t, b.WeightsVersion, uint64(2))
	assert.Equal(t, b.UncachedTokens, 5000)
	assert.Equal(t, b.HasCacheSource(), false)
}

// Guards against work on an engine that is loading weights or draining, which would
// decline it or cut it off.
func TestLoadingAndDrainingEnginesReceiveNothing(t *testing.T) {
	d, all := newTestDispatcher(2)
	loading, draining := all["e0"], all["e1"]
	loading.Loading = true
	draining.Draining = true
	all["e0"], all["e1"] = loading, draining
	d.SetEndpoints(all)
	_, reason := d.Place(time.Second, newTestRequest(7))
	assert.Equal(t, reason, NoEndpoint)
}

// Guards against a request beginning on old weights after the timeout that callers are
// promised.
func TestStaleWeightsAreNotUsedAfterTheTimeout(t *testing.T) {
	d, _ := newTestDispatcher(2)
	recordVersion(d, 2, time.Second)
	mustPlace(t, d, 2*time.Second, newTestRequest(7))
	_, reason := d.Place(time.Second+8*time.Second-staleMargin, newTestRequest(8))
	assert.Equal(t, reason, NoEndpoint)
}

// recordVersion announces a version of the weights of model "m".
func recordVersion(d *Dispatcher, version uint64, at tables.Instant) {
	d.RecordWeightsVersion(weights.TargetVersion{Model: "m", Version: version, SetAt: at})
}

// Guards against the timeout of old weights counting from the newest version. Versions
// are announced every three seconds while an engine stays at the first, and callers would
// be answered from weights that were replaced long before.
func TestNewerVersionsDoNotExtendTheTimeoutOfStaleWeights(t *testing.T) {
	newDispatcher := func() *Dispatcher {
		d, _ := newTestDispatcher(1)
		for version := uint64(2); version <= 4; version++ {
			recordVersion(d, version, time.Duration(version)*3*time.Second)
		}
		return d
	}
	limit := 6*time.Second + 8*time.Second - staleMargin
	expected := mustPlace(t, newDispatcher(), 6*time.Second, newTestRequest(7)).ExpectedLatency
	mustPlace(t, newDispatcher(), limit-expected-time.Millisecond, newTestRequest(7))
	_, reason := newDispatcher().Place(limit-expected, newTestRequest(8))
	assert.Equal(t, reason, NoEndpoint)
}

// Guards against engines that break every connection while their health checks succeed:
// callers see failed requests as long as such engines receive any.
func TestFailingEnginesReceiveFewerRequests(t *testing.T) {
	d, _ := newTestDispatcher(4)
	failing, count := tables.EndpointID("e2"), 0
	for i := range 400 {
		now := time.Second + time.Duration(i)*20*time.Millisecond
		r := newTestRequest(0)
		r.SharedParts = nil
		a := mustPlace(t, d, now, r)
		if a.Endpoint.ID == failing {
			count++
			d.RecordOutcome(now, a, Broken)
			continue
		}
		d.RecordResponseStart(now, a)
		d.RecordOutcome(now, a, Completed)
	}
	assert.Assert(t, count < 20, "%d of 400 requests were sent to the failing engine", count)
}

// Guards against requests sent to engines whose slots are all in use. They would queue
// there, where they can no longer be rejected with certainty that they did not run.
func TestEnginesAtCapacityReceiveNothing(t *testing.T) {
	d, _ := newTestDispatcher(2)
	for i := range 2 * models.Slots {
		r := newTestRequest(uint64(100 + i))
		r.PromptTokens, r.SharedParts = 100, nil
		mustPlace(t, d, time.Second, r)
	}
	_, reason := d.Place(time.Second, newTestRequest(7))
	assert.Equal(t, reason, NoCapacity)
}

// Guards against a prompt larger than any engine's memory being declined by one engine
// after another until its caller gives up.
func TestTooLargeRequestIsRejectedAtOnce(t *testing.T) {
	d, _ := newTestDispatcher(2)
	r := newTestRequest(7)
	r.PromptTokens = models.KVCapacityTokens + 1
	_, reason := d.Place(time.Second, r)
	assert.Equal(t, reason, TooLarge)
}

// Guards against the cache contents and the load of an engine outliving its restart under
// the same identity: requests would be placed for prompts that are gone.
func TestRestartedEngineHasAnEmptyCache(t *testing.T) {
	d, all := newTestDispatcher(1)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordResponseStart(time.Second, a)
	restarted := all["e0"]
	restarted.StartUnixMilli = 2
	all["e0"] = restarted
	d.SetEndpoints(all)
	d.RecordOutcome(2*time.Second, a, Broken) // an attempt at the previous process
	b := mustPlace(t, d, 2*time.Second, newTestRequest(7))
	assert.Equal(t, b.UncachedTokens, 5000)
	assert.Equal(t, d.endpoints["e0"].attempts, 1)
}

// Guards against a slow engine receiving as many requests as the others, and its callers
// waiting. The engines differ in speed by a factor of three and do not report it.
func TestPrefillSpeedIsMeasured(t *testing.T) {
	d, _ := newTestDispatcher(2)
	count := map[tables.EndpointID]int{}
	for i := range 300 {
		now := time.Second + time.Duration(i)*200*time.Millisecond
		r := newTestRequest(0)
		r.SharedParts = nil
		a := mustPlace(t, d, now, r)
		count[a.Endpoint.ID]++
		perMS := map[tables.EndpointID]float64{"e0": 20, "e1": 60}[a.Endpoint.ID]
		took := time.Duration((baseFirstEventTime + 5000/perMS) * float64(time.Millisecond))
		d.RecordResponseStart(now+took, a)
		d.RecordOutcome(now+took, a, Completed)
	}
	assert.Assert(t, count["e1"] > 5*count["e0"], "%v", count)
}

// Guards against requests placed on an engine that other instances have filled.
func TestLoadAnswersCountOtherInstancesRequests(t *testing.T) {
	d, _ := newTestDispatcher(2)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordEndpointLoad(time.Second, a, dialect.EndpointLoad{Running: 8, Waiting: 4, Slots: 8})
	other := newTestRequest(8)
	other.SharedParts = nil
	b := mustPlace(t, d, time.Second, other)
	assert.Assert(t, b.Endpoint.ID != a.Endpoint.ID)
}

// Guards against an instance losing a request at each endpoint of a partitioned zone
// before it notices the partition.
func TestConnectTimeoutPenalizesTheZone(t *testing.T) {
	d, _ := newTestDispatcher(8)
	lost := 0
	for i := range 200 {
		now := time.Second + time.Duration(i)*5*time.Millisecond
		r := newTestRequest(0)
		r.PromptTokens, r.SharedParts = 100, nil
		a := mustPlace(t, d, now, r)
		if a.Endpoint.Zone == "b" {
			lost++
			d.RecordOutcome(now, a, ConnectTimeout)
			continue
		}
		d.RecordResponseStart(now, a)
		d.RecordOutcome(now, a, Completed)
	}
	assert.Assert(t, lost <= 2, "%d requests were lost", lost)
}
