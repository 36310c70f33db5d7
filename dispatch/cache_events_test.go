package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// sharedKeys are the keys of a request's shared parts under the first weights.
func sharedKeys(r *Request) []parts.Key {
	var keys []parts.Key
	for _, part := range r.SharedParts {
		keys = append(keys, part.ID.KeyAt(1))
	}
	return keys
}

// runRequest has an engine read a prompt, and returns the engine.
func runRequest(t *testing.T, d *Dispatcher, now tables.Instant, r *Request) tables.EndpointID {
	t.Helper()
	a := mustPlace(t, d, now, r)
	d.RecordResponseStart(now+100*time.Millisecond, a)
	d.RecordOutcome(now+200*time.Millisecond, a, Completed)
	return a.Endpoint.ID
}

// An engine pushes a prompt out for others. Instances that go on believing in it
// send requests there, which wait for a prompt to be read that an engine beside
// may still have.
func TestDroppedPartsAreNotCountedOn(t *testing.T) {
	d, _ := newTestDispatcher(4)
	id := runRequest(t, d, time.Second, newTestRequest(7))
	assert.Equal(t, mustPlace(t, d, 2*time.Second, newTestRequest(7)).UncachedTokens, 1000)
	d.RecordCacheEvents(5*time.Second, id, nil, sharedKeys(newTestRequest(7)), false)
	again := mustPlace(t, d, 6*time.Second, newTestRequest(7))
	assert.Equal(t, again.UncachedTokens, 5000)
	assert.Equal(t, again.HasCacheSource(), false)
	assert.Equal(t, d.CacheCorrections().Evicted, 2)
}

// Engines tell what they dropped some 100 ms late. A request has been sent to
// bring the part again meanwhile; were the older word believed, the next one would
// have it read a second time elsewhere.
func TestAnOlderWordDoesNotUndoAPlacement(t *testing.T) {
	d, _ := newTestDispatcher(4)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordCacheEvents(time.Second+100*time.Millisecond, a.Endpoint.ID, nil, sharedKeys(newTestRequest(7)), false)
	d.RecordResponseStart(time.Second+150*time.Millisecond, a)
	assert.Equal(t, mustPlace(t, d, time.Second+200*time.Millisecond, newTestRequest(7)).UncachedTokens, 1000)
}

// An instance has restarted and knows of no placement. Its callers would wait for
// prompts to be read that the engines have.
func TestANewcomerLearnsFromAnEnginesFirstWord(t *testing.T) {
	d, _ := newTestDispatcher(4)
	d.RecordCacheEvents(time.Second, "e2", sharedKeys(newTestRequest(7)), nil, true)
	a := mustPlace(t, d, 2*time.Second, newTestRequest(7))
	assert.Equal(t, a.UncachedTokens, 1000)
	assert.Equal(t, len(d.TakeCacheUpdates()), 0)
	holdings := d.EndpointCaches(2 * time.Second)
	assert.Equal(t, len(holdings), 1)
	assert.Equal(t, holdings[0].Endpoint, tables.EndpointID("e2"))
	assert.Equal(t, len(holdings[0].Keys), 2)
}

// Most of what an engine tells are requests' own parts. Kept by every instance they
// would fill its memory and its hints.
func TestPartsThatNobodyAskedForArePassedOver(t *testing.T) {
	d, _ := newTestDispatcher(4)
	d.RecordCacheEvents(time.Second, "e2", sharedKeys(newTestRequest(7)), nil, false)
	assert.Equal(t, len(d.cache.holders), 0)
	assert.Equal(t, len(d.TakeCacheUpdates()), 0)
}

// One instance reads an engine for all. The others must hear of what it finds, or
// they go on sending requests where the prompt is not.
func TestOthersHearOfCorrections(t *testing.T) {
	reader, all := newTestDispatcher(4)
	other := New(Options{Zone: "b", Seed: 99})
	other.SetEndpoints(all)
	id := runRequest(t, reader, time.Second, newTestRequest(7))
	for _, p := range reader.TakeCacheUpdates() {
		other.ApplyCacheUpdate(time.Second, p)
	}
	reader.RecordCacheEvents(5*time.Second, id, nil, sharedKeys(newTestRequest(7)), false)
	for _, p := range reader.TakeCacheUpdates() {
		assert.Equal(t, p.Evicted, true)
		other.ApplyCacheUpdate(5*time.Second, p)
	}
	assert.Equal(t, mustPlace(t, other, 6*time.Second, newTestRequest(7)).UncachedTokens, 5000)

	found := tables.EndpointID("e0")
	if id == found {
		found = "e1"
	}
	runRequest(t, reader, 7*time.Second, newTestRequest(7))
	_ = reader.TakeCacheUpdates()
	reader.RecordCacheEvents(8*time.Second, found, sharedKeys(newTestRequest(7)), nil, false)
	news := reader.TakeCacheUpdates()
	assert.Equal(t, len(news), 2)
	assert.Equal(t, news[0].Endpoint, found)
}

// An engine has dropped the outer part of a prompt and kept the inner one, which is
// of no use without it.
func TestAnInnerPartAloneIsNothing(t *testing.T) {
	d, _ := newTestDispatcher(1)
	id := runRequest(t, d, time.Second, newTestRequest(7))
	d.RecordCacheEvents(5*time.Second, id, nil, sharedKeys(newTestRequest(7))[:1], false)
	assert.Equal(t, mustPlace(t, d, 6*time.Second, newTestRequest(7)).UncachedTokens, 5000)
}
