package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// sharedKeys returns the keys of a request's shared parts under version 1 of the weights.
func sharedKeys(r *Request) []parts.Key {
	var keys []parts.Key
	for _, part := range r.SharedParts {
		keys = append(keys, part.ID.KeyAt(1))
	}
	return keys
}

// runRequest has an engine compute a prompt to the end, and returns the engine.
func runRequest(t *testing.T, d *Dispatcher, now tables.Instant, r *Request) tables.EndpointID {
	t.Helper()
	a := mustPlace(t, d, now, r)
	d.RecordResponseStart(now+100*time.Millisecond, a)
	d.RecordOutcome(now+200*time.Millisecond, a, Completed)
	return a.Endpoint.ID
}

// Guards against requests placed for a prompt that the engine has evicted. They wait for
// it to be recomputed while a neighbouring engine may still hold it.
func TestEvictedPartsAreRemovedFromTheDirectory(t *testing.T) {
	d, _ := newTestDispatcher(4)
	id := runRequest(t, d, time.Second, newTestRequest(7))
	assert.Equal(t, mustPlace(t, d, 2*time.Second, newTestRequest(7)).UncachedTokens, 1000)
	d.RecordCacheEvents(5*time.Second, id, nil, sharedKeys(newTestRequest(7)), false)
	again := mustPlace(t, d, 6*time.Second, newTestRequest(7))
	assert.Equal(t, again.UncachedTokens, 5000)
	assert.Equal(t, again.HasCacheSource(), false)
	assert.Equal(t, d.CacheCorrections().Evicted, 2)
}

// Guards against eviction events, which arrive some 100 ms late, removing a part that a
// request has added again meanwhile: the next request would have it computed a second
// time elsewhere.
func TestLateEvictionEventDoesNotUndoAPlacement(t *testing.T) {
	d, _ := newTestDispatcher(4)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	d.RecordCacheEvents(time.Second+100*time.Millisecond, a.Endpoint.ID, nil, sharedKeys(newTestRequest(7)), false)
	d.RecordResponseStart(time.Second+150*time.Millisecond, a)
	assert.Equal(t, mustPlace(t, d, time.Second+200*time.Millisecond, newTestRequest(7)).UncachedTokens, 1000)
}

// Guards against an instance without knowledge of placements, after its restart, having
// prompts computed that the engines hold.
func TestRestartedInstanceLearnsFromTheFirstCacheEvents(t *testing.T) {
	d, _ := newTestDispatcher(4)
	d.RecordCacheEvents(time.Second, "e2", sharedKeys(newTestRequest(7)), nil, true)
	a := mustPlace(t, d, 2*time.Second, newTestRequest(7))
	assert.Equal(t, a.UncachedTokens, 1000)
	assert.Equal(t, len(d.TakeCacheUpdates()), 0)
	caches := d.EndpointCaches(2 * time.Second)
	assert.Equal(t, len(caches), 1)
	assert.Equal(t, caches[0].Endpoint, tables.EndpointID("e2"))
	assert.Equal(t, len(caches[0].Keys), 2)
}

// Guards against parts of single requests, which make up most of an engine's events,
// filling the memory and the hints of every instance.
func TestPartsNotInTheDirectoryAreIgnored(t *testing.T) {
	d, _ := newTestDispatcher(4)
	d.RecordCacheEvents(time.Second, "e2", sharedKeys(newTestRequest(7)), nil, false)
	assert.Equal(t, len(d.cache.holders), 0)
	assert.Equal(t, len(d.TakeCacheUpdates()), 0)
}

// Guards against other instances sending requests to engines that do not hold the prompt:
// only one instance reads an engine's events for all.
func TestCorrectionsAreReportedToOtherInstances(t *testing.T) {
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
	updates := reader.TakeCacheUpdates()
	assert.Equal(t, len(updates), 2)
	assert.Equal(t, updates[0].Endpoint, found)
}

// Guards against counting an inner part as cached after the engine has evicted the outer
// one, without which it is of no use.
func TestInnerPartWithoutTheOuterOneIsNotUsed(t *testing.T) {
	d, _ := newTestDispatcher(1)
	id := runRequest(t, d, time.Second, newTestRequest(7))
	d.RecordCacheEvents(5*time.Second, id, nil, sharedKeys(newTestRequest(7))[:1], false)
	assert.Equal(t, mustPlace(t, d, 6*time.Second, newTestRequest(7)).UncachedTokens, 5000)
}
