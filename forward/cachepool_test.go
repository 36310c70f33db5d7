package forward

import (
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

var poolPrompt = []string{"X-Model", "m", "X-Tokens", "100,10", "X-Prefix", "a:50,b:50"}

// isolateOrg isolates the organisation of the harness's key.
func isolateOrg(c *routes.Configuration) { c.Organisations[0].Isolated = true }

// Guards against cached prompts that an organisation made before it was isolated, and between two times
// of isolation, being used by others or by itself with theirs.
func TestSaltChangesWithThePoolAndIsolation(t *testing.T) {
	h := newHarness(t, streamEvents(1, 1))
	saltOf := func(revision, pool uint64, key string, change func(*routes.Configuration)) string {
		h.configurePool(t, revision, pool, change)
		_ = readBody(t, h.send(t, "POST", "/stream/x", "", append(poolPrompt, "Authorization", "Bearer "+key)...))
		all := h.endpoints[0].requests()
		return all[len(all)-1].Header.Get("X-Salt")
	}
	shared := func(c *routes.Configuration) { c.Organisations[1].Isolated = false }
	both := func(c *routes.Configuration) { isolateOrg(c) }
	first := saltOf(101, 7, "key", shared)
	assert.Equal(t, saltOf(102, 7, "secret", shared), first)
	isolated := saltOf(103, 8, "key", both)
	second := saltOf(104, 8, "secret", func(c *routes.Configuration) { isolateOrg(c); shared(c) })
	assert.Assert(t, isolated != first && second != first && second != isolated)
	assert.Equal(t, saltOf(105, 9, "key", both), isolated)
}

// saltsAcrossChange sends a request that is declined once, while the configuration changes, and one after
// it. It returns how many attempts had each salt.
func saltsAcrossChange(t *testing.T, change func(*routes.Configuration)) map[string]int {
	t.Helper()
	var h *harness
	var attempts atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			h.configurePool(t, 101, 8, change)
			decline(w, r)
			return
		}
		streamEvents(1, 1)(w, r)
	}
	started := time.Now()
	h = newHarnessWith(t, func() tables.Instant { return time.Since(started) }, newFakeEndpoints(t, handler, handler))
	_ = readBody(t, h.send(t, "POST", "/stream/x", "", poolPrompt...))
	_ = readBody(t, h.send(t, "POST", "/stream/y", "", poolPrompt...))
	salts := map[string]int{}
	for _, e := range h.endpoints {
		for _, r := range e.requests() {
			salts[r.Header.Get("X-Salt")]++
		}
	}
	return salts
}

// Guards against a request that waited while an organisation was isolated and then uses the cached
// prompts of the time before.
func TestLaterAttemptUsesTheCurrentPool(t *testing.T) {
	salts := slices.Sorted(maps.Values(saltsAcrossChange(t, nil)))
	assert.DeepEqual(t, salts, []int{1, 2})
}

// Guards against prompts of a removed organisation in a pool that it is no member of: it may come back
// isolated.
func TestLaterAttemptOfARemovedOrganisationLeavesThePool(t *testing.T) {
	salts := saltsAcrossChange(t, func(c *routes.Configuration) { c.Organisations[0].ID = "other" })
	assert.Equal(t, len(salts), 3)
}

// Guards against parts of prompts that crash endpoints becoming unknown when the pool is replaced.
func TestConvictionOutlivesThePool(t *testing.T) {
	f := newCrashingFleet(t, 10)
	convictPart(f.server)
	f.configurePool(t, 101, 8, nil)
	assert.Equal(t, f.generate(t, 1, "bad:50").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.crashes.Load(), int32(0))
}
