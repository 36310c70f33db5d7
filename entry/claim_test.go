package entry

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// fakeClaimStore is an in-memory ClaimStore.
type fakeClaimStore struct {
	mu       sync.Mutex
	claims   map[tables.IdempotencyKey]*fakeClaim
	noQuorum bool
	// markFails makes MarkDispatched fail.
	markFails bool
}

type fakeClaim struct {
	body     tables.BodyHash
	state    tables.ClaimState
	marked   bool
	response tables.StoredResponse
}

func (c *fakeClaimStore) Claim(_ context.Context, org tables.OrganisationID, key tables.IdempotencyKey, body tables.BodyHash) (tables.ClaimResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noQuorum {
		return tables.ClaimResult{}, &tables.NoQuorumError{Operation: "claim"}
	}
	g := tables.ClaimResult{Organisation: org, Key: key}
	known := c.claims[key]
	if known == nil {
		c.claims[key] = &fakeClaim{body: body, state: tables.ClaimInProgress}
		return g, nil
	}
	if known.body != body {
		return g, &tables.KeyReusedError{Organisation: org, Key: key}
	}
	g.State, g.Response = known.state, known.response
	return g, nil
}

func (c *fakeClaimStore) MarkDispatched(_ context.Context, g tables.ClaimResult) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.markFails {
		return &tables.NoQuorumError{Operation: "mark"}
	}
	c.claims[g.Key].marked = true
	return nil
}

func (c *fakeClaimStore) Finish(_ context.Context, g tables.ClaimResult, a tables.StoredResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claims[g.Key].state, c.claims[g.Key].response = tables.ClaimCompleted, a
	return nil
}

func (c *fakeClaimStore) Release(_ context.Context, g tables.ClaimResult) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claims, g.Key)
	return nil
}

type callFunc = func(engine.CallRequest) (engine.CallResponse, error)

func publishes(q engine.CallRequest) (engine.CallResponse, error) {
	return engine.CallResponse{Attempt: q.Attempt, Boot: "b", Status: 201, Body: []byte("published")}, nil
}

func interrupted(q engine.CallRequest) (engine.CallResponse, error) {
	return engine.CallResponse{}, &engine.InterruptedError{Attempt: q.Attempt, Cause: context.DeadlineExceeded}
}

func unreachable(q engine.CallRequest) (engine.CallResponse, error) {
	return engine.CallResponse{}, &engine.NotStartedError{Attempt: q.Attempt, Unreachable: true}
}

// Guards against work that runs twice under one idempotency key, and against
// failures with a wrong outcome.
func TestAtMostOnceWork(t *testing.T) {
	for _, c := range []struct {
		name      string
		setUp     func(*fakeClaimStore)
		calls     []callFunc
		code      tables.ErrorCode
		outcome   tables.Outcome
		wantCalls int
		// wantClaimed is whether the key is still claimed afterwards.
		wantClaimed bool
	}{
		{name: "runs", calls: []callFunc{publishes}, wantCalls: 1, wantClaimed: true},
		// The response of the service is lost. It is unknown whether the note
		// was published, and it must not be published again.
		{name: "response lost", calls: []callFunc{interrupted, publishes},
			code: tables.CodeOutcomeUnknown, outcome: tables.OutcomeUnknown, wantCalls: 1, wantClaimed: true},
		// The first endpoint refuses the connection. The work has not run, so
		// the next endpoint may run it.
		{name: "first endpoint down", calls: []callFunc{unreachable, publishes}, wantCalls: 2, wantClaimed: true},
		// A network partition separates the instance from the majority of the
		// control state.
		{name: "no quorum", setUp: func(f *fakeClaimStore) { f.noQuorum = true }, calls: []callFunc{publishes},
			code: tables.CodeNoQuorum, outcome: tables.OutcomeNotRun},
		// The partition begins between the claim and the call.
		{name: "quorum lost after claim", setUp: func(f *fakeClaimStore) { f.markFails = true }, calls: []callFunc{publishes},
			code: tables.CodeNoQuorum, outcome: tables.OutcomeNotRun},
		{name: "first run in progress", setUp: func(f *fakeClaimStore) {
			f.claims["k"] = &fakeClaim{body: bodyHash("publish", "send", "note"), state: tables.ClaimInProgress}
		}, calls: []callFunc{publishes}, code: tables.CodeKeyInProgress, outcome: tables.OutcomeUnknown, wantClaimed: true},
		{name: "first run unknown", setUp: func(f *fakeClaimStore) {
			f.claims["k"] = &fakeClaim{body: bodyHash("publish", "send", "note"), state: tables.ClaimOutcomeUnknown}
		}, calls: []callFunc{publishes}, code: tables.CodeOutcomeUnknown, outcome: tables.OutcomeUnknown, wantClaimed: true},
		{name: "key reused", setUp: func(f *fakeClaimStore) {
			f.claims["k"] = &fakeClaim{state: tables.ClaimCompleted}
		}, calls: []callFunc{publishes}, code: tables.CodeKeyReused, outcome: tables.OutcomeNotRun, wantClaimed: true},
		{name: "resend", setUp: func(f *fakeClaimStore) {
			f.claims["k"] = &fakeClaim{body: bodyHash("publish", "send", "note"), state: tables.ClaimCompleted,
				response: tables.StoredResponse{Status: 201, Body: []byte("published")}}
		}, calls: []callFunc{publishes}, wantClaimed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			claims := &fakeClaimStore{claims: map[tables.IdempotencyKey]*fakeClaim{}}
			if c.setUp != nil {
				c.setUp(claims)
			}
			r := newHarness(t, func(o *Options) { o.Claims = claims })
			r.client.call = c.calls
			resp := r.post(t, t.Context(), "/v1/services/press/send", "note", "Content-Type", contentTypeBinary, "Idempotency-Key", "k")
			content := read(t, resp)
			if c.code == 0 {
				assert.Equal(t, content, "published")
				assert.Equal(t, resp.Header.Get("X-Service-Status"), "201")
			} else {
				failure := failureIn(t, content)
				assert.Equal(t, tables.ErrorCode(failure.Code), c.code, content)
				assert.Equal(t, string(failure.Outcome), string(c.outcome))
			}
			assert.Equal(t, len(r.client.calls), c.wantCalls)
			_, held := claims.claims["k"]
			assert.Equal(t, held, c.wantClaimed)
			for _, call := range r.client.calls {
				assert.Equal(t, call.IdempotencyKey, "k")
			}
		})
	}
}

// Guards against a caller's disconnect that interrupts work that must run at
// most once. The note is still published, and the caller's resend gets the
// response.
func TestCallerDisconnectDoesNotCancelAtMostOnceWork(t *testing.T) {
	claims := &fakeClaimStore{claims: map[tables.IdempotencyKey]*fakeClaim{}}
	r := newHarness(t, func(o *Options) { o.Claims = claims })
	called, release, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	r.client.call = []callFunc{func(q engine.CallRequest) (engine.CallResponse, error) {
		defer close(done)
		close(called)
		<-release
		return publishes(q)
	}}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-called
		cancel()
	}()
	req := r.request(t, ctx, "/v1/services/press/send", "note", "Content-Type", contentTypeBinary, "Idempotency-Key", "k")
	_, err := r.http.Do(req)
	assert.Assert(t, err != nil)
	close(release)
	<-done
	// The resend can arrive before the response is stored.
	for {
		resp := r.post(t, t.Context(), "/v1/services/press/send", "note", "Content-Type", contentTypeBinary, "Idempotency-Key", "k")
		content := read(t, resp)
		if resp.StatusCode == 200 {
			assert.Equal(t, content, "published")
			break
		}
		assert.Equal(t, tables.ErrorCode(failureIn(t, content).Code), tables.CodeKeyInProgress, content)
	}
	assert.Equal(t, len(r.client.calls), 1)
}
