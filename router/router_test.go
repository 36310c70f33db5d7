package router_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

const ms = time.Millisecond

// testConfiguration has engines e0, e1 and so on, and the plain services p0 and
// p1.
func testConfiguration(engines int) *tables.Configuration {
	c := &tables.Configuration{
		Revision: 1,
		Models:   []tables.Model{{Name: "m", Weights: "w1"}},
		Profiles: []tables.Profile{
			{Name: "draft", Model: "m", Idempotent: true, Priority: tables.Urgent, Prefer: tables.PreferFirstToken, Timeout: time.Minute},
			{Name: "hedged", Model: "m", Idempotent: true, Hedge: true, Priority: tables.Urgent, Timeout: time.Minute},
			{Name: "check", Model: "m", Idempotent: true, Priority: tables.Background, MaxWait: time.Hour, Prefer: tables.PreferReuse, Timeout: 2 * time.Hour},
			{Name: "publish", Kind: tables.PlainService, Service: "press", Timeout: 10 * time.Second},
		},
		Organisations: []tables.Organisation{{ID: "acme", Share: 1}, {ID: "big", Share: 1}},
	}
	for i := range engines {
		c.Endpoints = append(c.Endpoints, tables.Endpoint{
			ID: tables.EndpointID("e" + string(rune('0'+i))), Zone: "z1", Life: 1, Models: []tables.ModelName{"m"},
			Slots: 4, CacheBlocks: 100, PrefillRate: 10000, DecodeRate: 50,
		})
	}
	for i := range 2 {
		c.Endpoints = append(c.Endpoints, tables.Endpoint{
			ID: tables.EndpointID("p" + string(rune('0'+i))), Kind: tables.PlainService, Service: "press", Zone: "z1", Life: 1, Slots: 8,
		})
	}
	return c
}

func newRouter(engines int) *router.Router {
	r := router.New(router.Options{Instance: "i1", Zone: "z1", Seed: 7})
	r.Configure(0, testConfiguration(engines))
	return r
}

func request(id, profile string, now time.Duration) *tables.Request {
	return &tables.Request{
		ID: tables.RequestID(id), Organisation: "acme", Profile: tables.ProfileName(profile),
		Fingerprint:  tables.Fingerprint(xxhash.Sum64String(id)),
		PromptTokens: 1000, MaxTokens: 100, Arrived: now, Deadline: now + time.Minute,
	}
}

// submitForDispatch submits a request, calls Tick and returns the one dispatch
// that must result.
func submitForDispatch(t *testing.T, r *router.Router, now time.Duration, req *tables.Request) router.Dispatch {
	t.Helper()
	r.Submit(now, req)
	return singleAction[router.Dispatch](t, r.Tick(now))
}

func singleAction[A router.Action](t *testing.T, actions []router.Action) A {
	t.Helper()
	assert.Equal(t, len(actions), 1, "%v", actions)
	a, ok := actions[0].(A)
	assert.Assert(t, ok, "%#v", actions[0])
	return a
}

func TestRequestLifeCycle(t *testing.T) {
	r := newRouter(2)
	d := submitForDispatch(t, r, ms, request("r1", "draft", ms))
	assert.Equal(t, d.Request, tables.RequestID("r1"))
	assert.Equal(t, d.Weights, tables.WeightsVersion("w1"))
	r.Observe(2*ms, router.AttemptStarted{Attempt: d.Attempt, Boot: "b", Weights: "w1"})
	r.Observe(3*ms, router.FirstToken{Attempt: d.Attempt})
	r.Observe(4*ms, router.AttemptEnded{Attempt: d.Attempt, Result: router.Completed, GeneratedTokens: 5, DeliveredTokens: 5})
	assert.Equal(t, len(r.Tick(5*ms)), 0)
	explained, ok := r.Explain("r1")
	assert.Assert(t, ok)
	assert.Equal(t, explained.Endpoint, d.Endpoint.ID)
}

// An engine's connection breaks before the first token. The caller must not
// notice, and the second attempt must go to another engine.
func TestInterruptedIdempotentAttemptIsRetriedElsewhere(t *testing.T) {
	r := newRouter(2)
	first := submitForDispatch(t, r, ms, request("r1", "draft", ms))
	r.Observe(2*ms, router.AttemptEnded{Attempt: first.Attempt, Result: router.Interrupted})
	second := singleAction[router.Dispatch](t, r.Tick(100*ms))
	assert.Assert(t, second.Endpoint.ID != first.Endpoint.ID)
	assert.Assert(t, second.Attempt != first.Attempt)
}

// A publishing call breaks after dispatch. It may have been published, and a
// retry could publish it twice. The caller is told that the outcome is unknown.
func TestNonIdempotentWorkIsNotRetriedIfItMayHaveRun(t *testing.T) {
	r := newRouter(1)
	d := submitForDispatch(t, r, ms, request("r1", "publish", ms))
	r.Observe(2*ms, router.AttemptEnded{Attempt: d.Attempt, Result: router.Interrupted})
	f := singleAction[router.Fail](t, r.Tick(100*ms))
	assert.Equal(t, f.Outcome, tables.OutcomeUnknown)
	assert.Equal(t, f.Code, tables.CodeOutcomeUnknown)
}

// A publishing service rejects a call before running it. Nothing was published,
// so the call may go to another service.
func TestNonIdempotentWorkIsRetriedIfNothingRan(t *testing.T) {
	r := newRouter(1)
	first := submitForDispatch(t, r, ms, request("r1", "publish", ms))
	r.Observe(2*ms, router.AttemptEnded{Attempt: first.Attempt, Result: router.Rejected})
	second := singleAction[router.Dispatch](t, r.Tick(100*ms))
	assert.Assert(t, second.Endpoint.ID != first.Endpoint.ID)
}

// An engine crashes in the middle of a stream. The caller already has seven
// tokens and must receive the rest from an engine with the same weights.
func TestInterruptedStreamIsResumed(t *testing.T) {
	r := newRouter(2)
	first := submitForDispatch(t, r, ms, request("r1", "draft", ms))
	r.Observe(2*ms, router.AttemptStarted{Attempt: first.Attempt, Boot: "b", Weights: "w1"})
	r.Observe(3*ms, router.FirstToken{Attempt: first.Attempt})
	r.Observe(4*ms, router.AttemptEnded{Attempt: first.Attempt, Result: router.Crashed, GeneratedTokens: 7, DeliveredTokens: 7})
	actions := r.Tick(100 * ms)
	assert.Equal(t, len(actions), 2, "%v", actions)
	_, broadcast := actions[0].(router.BroadcastSuspects)
	assert.Assert(t, broadcast, "%#v", actions[0])
	second := singleAction[router.Dispatch](t, actions[1:])
	assert.Equal(t, second.ResumeFrom, 7)
	assert.Equal(t, second.Weights, tables.WeightsVersion("w1"))
}

func TestCancelAbortsAttempts(t *testing.T) {
	r := newRouter(1)
	d := submitForDispatch(t, r, ms, request("r1", "draft", ms))
	r.Cancel(2*ms, "r1")
	a := singleAction[router.Abort](t, r.Tick(2*ms))
	assert.Equal(t, a.Attempt, d.Attempt)
	r.Observe(3*ms, router.AttemptEnded{Attempt: d.Attempt, Result: router.Cancelled})
	assert.Equal(t, len(r.Tick(4*ms)), 0)
}

// The platform withdraws the only endpoint. A request must not be dispatched to
// it; it must wait until its deadline and then be refused as not run.
func TestWithdrawnEndpointGetsNoWork(t *testing.T) {
	r := newRouter(1)
	r.Observe(0, router.EndpointWithdrawn{Endpoint: "e0", Life: 1})
	r.Submit(ms, request("r1", "draft", ms))
	for now := 2 * ms; now < time.Minute; now += 500 * ms {
		for _, action := range r.Tick(now) {
			_, sent := action.(router.Dispatch)
			assert.Assert(t, !sent)
		}
	}
}
