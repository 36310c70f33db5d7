package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against a request on older weights that fetches what a run under newer ones has stored under its old salt.
func TestPartsAreFetchedOnlyWhileTheirWeightsAreInForce(t *testing.T) {
	const heldSince, now = time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		holder tables.EndpointID
		change func(*fleet.Endpoint)
		target uint64
		// targetAt is when the target was named.
		targetAt time.Duration
		fetched  bool
		// accepted is set if an instance accepts the holder from a scheduler, which knows more of loads and stores.
		accepted bool
	}{
		"an engine on the same weights":                       {holder: "e0", fetched: true, accepted: true},
		"an engine on the same weights, newer are due":        {holder: "e0", target: 2, targetAt: now, fetched: true, accepted: true},
		"an engine on other weights":                          {holder: "e0", change: func(e *fleet.Endpoint) { e.Weights = map[string]uint64{"m": 2} }},
		"an engine that loads other weights":                  {holder: "e0", change: func(e *fleet.Endpoint) { e.Loading = true }, accepted: true},
		"a store":                                             {holder: "s", target: 1, fetched: true, accepted: true},
		"a store that had them before newer weights were due": {holder: "s", target: 2, targetAt: now, fetched: true, accepted: true},
		"a store that has them since newer weights are due":   {holder: "s", target: 2, targetAt: heldSince / 2, accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			d, all := newTestDispatcher(2)
			store := all["e0"]
			store.ID, store.IsKVStore, store.Weights = "s", true, map[string]uint64{}
			all["s"] = store
			d.SetEndpoints(all)
			d.RecordCacheEvents(heldSince, c.holder, sharedKeys(newTestRequest(7)), nil, true)
			if c.change != nil {
				changed := all[c.holder]
				c.change(&changed)
				all[c.holder] = changed
				d.SetEndpoints(all)
			}
			if c.target > 0 {
				recordVersion(d, c.target, c.targetAt)
			}
			r := newTestRequest(7)
			r.Avoided = []tables.EndpointID{"e0"}
			a := mustPlace(t, d, now, r)
			assert.Equal(t, a.Endpoint.ID, tables.EndpointID("e1"))
			assert.Equal(t, a.HasCacheSource(), c.fetched)

			decision := a.Decision(now)
			decision.CacheSource = c.holder
			accepted := d.AcceptDecision(now, r, decision)
			assert.Equal(t, accepted.HasCacheSource(), c.accepted, "chosen by a scheduler")
		})
	}
}
