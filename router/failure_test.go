package router_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// tickUntil calls Tick every 20 ms up to an instant and returns all actions.
func tickUntil(r *router.Router, from, to time.Duration) []router.Action {
	var all []router.Action
	for now := from; now <= to; now += 20 * ms {
		all = append(all, r.Tick(now)...)
	}
	return all
}

func countActions[A router.Action](actions []router.Action) int {
	n := 0
	for _, action := range actions {
		if _, ok := action.(A); ok {
			n++
		}
	}
	return n
}

// A stream breaks after its first tokens while the weights of the model change,
// and no endpoint serves the old version any more. Tokens from other weights
// must not continue the answer; the caller is told that the stream broke.
func TestStreamIsNotResumedOnOtherWeights(t *testing.T) {
	r := newRouter(2)
	d := submitForDispatch(t, r, ms, request("r1", "draft", ms))
	r.Observe(2*ms, router.AttemptStarted{Attempt: d.Attempt, Boot: "b", Weights: "w1"})
	r.Observe(3*ms, router.FirstToken{Attempt: d.Attempt})
	c := testConfiguration(2)
	c.Revision = 2
	c.Models[0].Weights = "w2"
	r.Configure(4*ms, c)
	for _, id := range []tables.EndpointID{"e0", "e1"} {
		r.Observe(4*ms, router.LoadReport{Endpoint: id, Boot: "b", Weights: map[tables.ModelName]tables.WeightsVersion{"m": "w2"}})
	}
	r.Observe(5*ms, router.AttemptEnded{Attempt: d.Attempt, Result: router.Interrupted, GeneratedTokens: 3, DeliveredTokens: 3})
	actions := tickUntil(r, 6*ms, 10*time.Second)
	assert.Equal(t, countActions[router.Dispatch](actions), 0)
	f := singleAction[router.Fail](t, actions)
	assert.Equal(t, f.Code, tables.CodeStreamBroken)
	assert.Equal(t, f.Outcome, tables.OutcomeUnknown)
}

// An engine hangs: it accepts requests and keeps their connections open, but
// sends no token. Without a check of elapsed time, callers would wait for their
// whole timeout.
func TestHungAttemptIsAbortedAndRetriedElsewhere(t *testing.T) {
	r := newRouter(2)
	first := submitForDispatch(t, r, ms, request("r1", "draft", ms))
	r.Observe(2*ms, router.AttemptStarted{Attempt: first.Attempt, Boot: "b"})
	aborted := tickUntil(r, 20*ms, 15*time.Second)
	abort := singleAction[router.Abort](t, aborted)
	assert.Equal(t, abort.Attempt, first.Attempt)
	r.Observe(15*time.Second, router.AttemptEnded{Attempt: first.Attempt, Result: router.Cancelled})
	again := singleAction[router.Dispatch](t, tickUntil(r, 15*time.Second, 16*time.Second))
	assert.Assert(t, again.Endpoint.ID != first.Endpoint.ID)
}

// An engine crashes and comes back empty and idle. If all queued work went to
// it at once, it would be overloaded before it has proved that it works.
func TestRecoveringEndpointGetsLimitedWork(t *testing.T) {
	r := newRouter(1)
	d := submitForDispatch(t, r, ms, request("r0", "draft", ms))
	r.Observe(2*ms, router.AttemptStarted{Attempt: d.Attempt, Boot: "b1"})
	r.Observe(3*ms, router.AttemptEnded{Attempt: d.Attempt, Result: router.Crashed})
	for i := range 10 {
		r.Submit(4*ms, request(fmt.Sprint("r", i+1), "draft", 4*ms))
	}
	assert.Equal(t, countActions[router.Dispatch](tickUntil(r, 5*ms, 900*ms)), 0)
	assert.Equal(t, countActions[router.Dispatch](tickUntil(r, 920*ms, 1500*ms)), 2)
}

// Every attempt fails, because something that all endpoints share is down.
// Retrying each request up to its own limit would multiply the load on
// endpoints that already fail.
func TestRetryBudgetLimitsAttempts(t *testing.T) {
	r := newRouter(9)
	now := ms
	dispatches, requests := 0, 400
	for i := range requests {
		r.Submit(now, request(fmt.Sprint("r", i), "draft", now))
		for range 6 {
			now += 20 * ms
			for _, action := range r.Tick(now) {
				if d, ok := action.(router.Dispatch); ok {
					dispatches++
					r.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.Interrupted})
				}
			}
		}
	}
	assert.Assert(t, dispatches < requests*13/10+20, "%d attempts for %d requests", dispatches, requests)
}

// More work arrives than one engine can run. The profile draft is not
// deferrable, and check is. When some must be refused, checks come first, and
// each refusal names a retry delay.
func TestOverloadShedsLeastUrgentFirst(t *testing.T) {
	r := newRouter(1)
	c := testConfiguration(1)
	c.Revision = 2
	for i := range c.Profiles {
		if c.Profiles[i].Name == "check" {
			c.Profiles[i].MaxWait = 10 * time.Second
		}
	}
	r.Configure(0, c)
	now := ms
	started := map[tables.ProfileName]int{}
	refused := 0
	var running []tables.AttemptID
	profiles := map[tables.RequestID]tables.ProfileName{}
	for i := range 3000 {
		now += 10 * ms
		for _, profile := range []string{"draft", "check"} {
			req := request(fmt.Sprint(profile, i), profile, now)
			req.PromptTokens = 2000
			profiles[req.ID] = req.Profile
			r.Submit(now, req)
		}
		for _, action := range r.Tick(now) {
			switch a := action.(type) {
			case router.Dispatch:
				started[profiles[a.Request]]++
				running = append(running, a.Attempt)
			case router.Refuse:
				refused++
				assert.Assert(t, a.Refusal.RetryAfter > 0)
			}
		}
		if i%20 == 0 && len(running) > 0 {
			r.Observe(now, router.FirstToken{Attempt: running[0]})
			r.Observe(now, router.AttemptEnded{Attempt: running[0], Result: router.Completed})
			running = running[1:]
		}
	}
	assert.Assert(t, refused > 0)
	assert.Assert(t, started["draft"] > 5*started["check"], "%v", started)
	assert.Assert(t, started["check"] > 0, "deferrable work starves: %v", started)
}

// The configuration limits an organisation to two concurrent requests. Further
// requests must wait, even if the endpoints are idle.
func TestConcurrencyLimitHolds(t *testing.T) {
	r := newRouter(4)
	c := testConfiguration(4)
	c.Revision = 2
	c.Organisations[0].Concurrent = 2
	r.Configure(0, c)
	for i := range 6 {
		r.Submit(ms, request(fmt.Sprint("r", i), "draft", ms))
	}
	actions := tickUntil(r, 2*ms, 500*ms)
	assert.Equal(t, countActions[router.Dispatch](actions), 2)
	d := actions[0].(router.Dispatch)
	r.Observe(510*ms, router.AttemptEnded{Attempt: d.Attempt, Result: router.Completed})
	assert.Equal(t, countActions[router.Dispatch](tickUntil(r, 520*ms, 700*ms)), 1)
}

// One engine is slow to answer a request whose profile allows hedging. The
// faster of the two attempts must answer, and the other must be aborted.
func TestHedgeIsSentOnceAndLoserAborted(t *testing.T) {
	r := newRouter(3)
	first := submitForDispatch(t, r, ms, request("r1", "hedged", ms))
	second := singleAction[router.Dispatch](t, tickUntil(r, 20*ms, 3*time.Second))
	assert.Assert(t, second.Hedge)
	assert.Assert(t, second.Endpoint.ID != first.Endpoint.ID)
	r.Observe(3*time.Second, router.FirstToken{Attempt: second.Attempt})
	lost := singleAction[router.Abort](t, tickUntil(r, 3*time.Second, 3100*ms))
	assert.Equal(t, lost.Attempt, first.Attempt)
}

// An engine restarts at the same address with an empty cache. A request whose
// prefix the previous process held must not be routed there on the old cache
// information.
func TestCacheOfFormerBootIsInvalidated(t *testing.T) {
	r := newRouter(2)
	blocks := []tables.BlockHash{11, 12, 13}
	r.Observe(ms, router.LoadReport{Endpoint: "e1", Boot: "b1"})
	r.Observe(ms, router.CacheEvent{Endpoint: "e1", Boot: "b1", Sequence: 1, Stored: blocks})
	req := request("r1", "draft", ms)
	req.Blocks, req.PromptTokens = blocks, 12500
	assert.Equal(t, submitForDispatch(t, r, ms, req).Endpoint.ID, tables.EndpointID("e1"))
	r.Observe(2*ms, router.LoadReport{Endpoint: "e1", Boot: "b2"})
	r.Observe(3*ms, router.CacheEvent{Endpoint: "e1", Boot: "b1", Sequence: 2, Stored: blocks})
	again := request("r2", "draft", 4*ms)
	again.Blocks, again.PromptTokens = blocks, 12500
	r.Submit(4*ms, again)
	assert.Equal(t, countActions[router.Dispatch](r.Tick(4*ms)), 1)
	explained, ok := r.Explain("r2")
	assert.Assert(t, ok)
	for _, c := range explained.Candidates {
		if c.Endpoint == "e1" {
			assert.Assert(t, c.CachedTokens <= 6000, "%+v", c)
		}
	}
}

func TestPlacementsAreGossipedOnce(t *testing.T) {
	r := newRouter(2)
	for i := range 3 {
		req := request(fmt.Sprint("r", i), "draft", ms)
		req.Blocks, req.PromptTokens = []tables.BlockHash{11, 12}, 8500
		submitForDispatch(t, r, ms, req)
	}
	assert.Equal(t, len(r.DrainPlacements(nil, 10)), 2)
	assert.Equal(t, len(r.DrainPlacements(nil, 10)), 0)
}
