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

var models = &routes.Service{Name: "models", Slots: 8, CacheTokens: 100_000, Models: []string{"m"}}

// newTestDispatcher gives a dispatcher some engines, as many in each of two zones.
func newTestDispatcher(engines int) (*Dispatcher, map[tables.EndpointID]fleet.Endpoint) {
	d := New(Options{
		Zone: "a", Seed: 1, StaleWeightsTimeout: 8 * time.Second, AddressReuseDelay: 2 * time.Second,
		RetryBudget: RetryBudget{Ratio: 0.2, Extra: 60, Window: 10 * time.Second},
	})
	all := map[tables.EndpointID]fleet.Endpoint{}
	for i := range engines {
		id := tables.EndpointID(fmt.Sprintf("e%d", i))
		all[id] = fleet.Endpoint{
			ID: id, Service: "models", Zone: tables.Zone([]string{"a", "b"}[i%2]), Slots: 8, Born: 1,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
			Weights: map[string]uint64{"m": 1},
		}
	}
	d.SetEndpoints(all)
	return d, all
}

func newTestRequest(part uint64) *Request {
	return &Request{
		Service: models, Route: &routes.Route{}, Model: "m", PromptTokens: 5000, OutputTokens: 50,
		SharedParts: []SharedPart{{ID: 1, EndTokens: 2000}, {ID: parts.ID(part), EndTokens: 4000}},
		Deadline:    time.Hour, PrefillWaitUntil: time.Hour,
	}
}

func mustPlace(t *testing.T, d *Dispatcher, now tables.Instant, r *Request) *Attempt {
	t.Helper()
	a, reason := d.Place(now, r)
	assert.Assert(t, a != nil, "not placed: %s", reason)
	return a
}

// Several requests with one prompt come before the first of them was read. An
// engine does not share what it is still reading, so each would read the whole
// prompt, and the users pay for every token read twice.
func TestRequestsWaitForAPromptThatIsBeingRead(t *testing.T) {
	d, _ := newTestDispatcher(4)
	first := mustPlace(t, d, time.Second, newTestRequest(7))
	waiting, reason := d.Place(time.Second+10*time.Millisecond, newTestRequest(7))
	assert.Assert(t, waiting == nil)
	assert.Equal(t, reason, PrefillPending)

	d.RecordResponseStart(time.Second+50*time.Millisecond, first)
	second := mustPlace(t, d, time.Second+60*time.Millisecond, newTestRequest(7))
	assert.Assert(t, second.UncachedTokens <= 1000, "reads %d", second.UncachedTokens)
}

// A request that has waited for half its target must not wait any longer: its
// caller would be answered too late, however cheap the answer.
func TestNobodyWaitsForeverForAPrompt(t *testing.T) {
	d, _ := newTestDispatcher(4)
	mustPlace(t, d, time.Second, newTestRequest(7))
	impatient := newTestRequest(7)
	impatient.PrefillWaitUntil = time.Second
	mustPlace(t, d, time.Second+10*time.Millisecond, impatient)
}

// Two instances meet a new prompt at the same moment and know nothing of each
// other's choice. Sent to two engines, it would be read twice.
func TestInstancesSendANewPromptToOnePlace(t *testing.T) {
	for part := uint64(2); part < 30; part++ {
		one, all := newTestDispatcher(6)
		other := New(Options{Zone: "b", Seed: 99})
		other.SetEndpoints(all)
		a := mustPlace(t, one, time.Second, newTestRequest(part))
		b := mustPlace(t, other, time.Second, newTestRequest(part))
		assert.Equal(t, a.Endpoint.ID, b.Endpoint.ID)
	}
}

// Another instance has placed a prompt. Without its word the prompt would be
// read once more at another engine.
func TestWhatOthersPlacedIsFetched(t *testing.T) {
	one, all := newTestDispatcher(6)
	other := New(Options{Zone: "b", Seed: 99})
	other.SetEndpoints(all)
	placed := mustPlace(t, one, time.Second, newTestRequest(7))
	for _, p := range one.TakeCacheUpdates() {
		other.ApplyCacheUpdate(time.Second, p)
	}
	busy := other.endpoints[placed.Endpoint.ID]
	busy.attempts = models.Slots // no room there
	got := mustPlace(t, other, 2*time.Second, newTestRequest(7))
	assert.Assert(t, got.Endpoint.ID != placed.Endpoint.ID)
	assert.Equal(t, got.CacheSource.ID, placed.Endpoint.ID)
	assert.Assert(t, got.UncachedTokens <= 1000, "reads %d", got.UncachedTokens)
}

// An engine declines a request that was to bring a prompt there. Others that
// count on the prompt would find nothing and read it at two places.
func TestADeclinedAttemptBringsNothing(t *testing.T) {
	d, _ := newTestDispatcher(4)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordOutcome(time.Second+time.Millisecond, a, Declined)
	again := newTestRequest(7)
	again.Tried = []tables.EndpointID{a.Endpoint.ID}
	b := mustPlace(t, d, time.Second+2*time.Millisecond, again)
	assert.Equal(t, b.UncachedTokens, 5000)
	assert.Equal(t, b.HasCacheSource(), false)
}

// Weights are changed while prompts are cached. A prompt that was made under
// the old weights must be neither used nor fetched for the new ones.
func TestPromptsOfOtherWeightsAreNotShared(t *testing.T) {
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

// An engine is being ordered to load weights, or leaves. Work sent there would
// be declined or cut off.
func TestEnginesThatLoadOrLeaveGetNothing(t *testing.T) {
	d, all := newTestDispatcher(2)
	loading, leaving := all["e0"], all["e1"]
	loading.Loading = true
	leaving.Draining = true
	all["e0"], all["e1"] = loading, leaving
	d.SetEndpoints(all)
	_, reason := d.Place(time.Second, newTestRequest(7))
	assert.Equal(t, reason, NoEndpoint)
}

// New weights were named long ago and one engine still has the old ones. A
// request that begins there then breaks the bound that callers were promised.
func TestOldWeightsAreNotUsedAfterTheirTime(t *testing.T) {
	d, _ := newTestDispatcher(2)
	recordVersion(d, 2, time.Second)
	mustPlace(t, d, 2*time.Second, newTestRequest(7))
	_, reason := d.Place(time.Second+8*time.Second-staleMargin, newTestRequest(8))
	assert.Equal(t, reason, NoEndpoint)
}

func recordVersion(d *Dispatcher, version uint64, at tables.Instant) {
	d.RecordWeightsVersion(weights.TargetVersion{Model: "m", Version: version, SetAt: at})
}

// Versions are named every three seconds while orders are carried out late, and
// an engine stays at the first. Were its time counted from the newest version,
// callers would be answered from weights that were replaced long before.
func TestEachNamingDoesNotGiveOldWeightsMoreTime(t *testing.T) {
	d, _ := newTestDispatcher(1)
	for version := uint64(2); version <= 4; version++ {
		recordVersion(d, version, time.Duration(version)*3*time.Second)
	}
	limit := 6*time.Second + 8*time.Second - staleMargin
	mustPlace(t, d, limit-time.Millisecond, newTestRequest(7))
	_, reason := d.Place(limit, newTestRequest(8))
	assert.Equal(t, reason, NoEndpoint)
}

// A part of the engines break every connection while they say that they are
// well. Callers notice failed requests as long as these engines get any.
func TestEnginesThatFailGetLess(t *testing.T) {
	d, _ := newTestDispatcher(4)
	bad, count := tables.EndpointID("e2"), 0
	for i := range 400 {
		now := time.Second + time.Duration(i)*20*time.Millisecond
		r := newTestRequest(0)
		r.SharedParts = nil
		a := mustPlace(t, d, now, r)
		if a.Endpoint.ID == bad {
			count++
			d.RecordOutcome(now, a, Broken)
			continue
		}
		d.RecordResponseStart(now, a)
		d.RecordOutcome(now, a, Completed)
	}
	assert.Assert(t, count < 20, "%d of 400 were sent to the bad engine", count)
}

// All engines have as many requests as they run at once. What is sent on would
// wait there, where it can no longer be refused truthfully.
func TestFullEnginesGetNothing(t *testing.T) {
	d, _ := newTestDispatcher(2)
	for i := range 2 * models.Slots {
		r := newTestRequest(uint64(100 + i))
		r.PromptTokens, r.SharedParts = 100, nil
		mustPlace(t, d, time.Second, r)
	}
	_, reason := d.Place(time.Second, newTestRequest(7))
	assert.Equal(t, reason, NoCapacity)
}

// A prompt is larger than any engine's memory. Sent on it would be declined by
// one engine after the other until its caller gives up.
func TestWhatNeverFitsIsRefusedAtOnce(t *testing.T) {
	d, _ := newTestDispatcher(2)
	r := newTestRequest(7)
	r.PromptTokens = models.CacheTokens + 1
	_, reason := d.Place(time.Second, r)
	assert.Equal(t, reason, TooLarge)
}

// An engine restarts under its identity. What was known of its memory and its
// load is over; requests would be sent after prompts that are gone.
func TestANewLifeHasAnEmptyMemory(t *testing.T) {
	d, all := newTestDispatcher(1)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordResponseStart(time.Second, a)
	reborn := all["e0"]
	reborn.Born = 2
	all["e0"] = reborn
	d.SetEndpoints(all)
	d.RecordOutcome(2*time.Second, a, Broken) // of the former life
	b := mustPlace(t, d, 2*time.Second, newTestRequest(7))
	assert.Equal(t, b.UncachedTokens, 5000)
	assert.Equal(t, d.endpoints["e0"].attempts, 1)
}

// Engines differ in speed threefold and say nothing of it. A slow one that gets
// as much as the others makes its callers wait.
func TestSpeedIsLearned(t *testing.T) {
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

func TestLoadOfOthersIsHeard(t *testing.T) {
	d, _ := newTestDispatcher(2)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordEndpointLoad(time.Second, a, dialect.EndpointLoad{Running: 8, Waiting: 4, Slots: 8})
	other := newTestRequest(8)
	other.SharedParts = nil
	b := mustPlace(t, d, time.Second, other)
	assert.Assert(t, b.Endpoint.ID != a.Endpoint.ID)
}

// A zone is cut off and takes no connections. An instance that had to find out
// at each endpoint of the zone would lose a request at every one of them.
func TestALostEndpointCastsDoubtOnItsZone(t *testing.T) {
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
