package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/systems/drain"
	"github.com/carawaystile/carawaystile/tables"
)

// ready reports whether the readiness probe succeeds.
func (r *harness) ready(t *testing.T) bool {
	t.Helper()
	resp, err := r.http.Get(r.url + "/readyz")
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// Guards against a drain that interrupts a stream. A request that the load
// balancer sends late is still served. The drain ends only after its delay and
// after the stream, which the caller gets completely.
func TestDrainWaitsForOpenStreams(t *testing.T) {
	now := make(chan tables.Instant, 1)
	now <- 0
	clock := func() tables.Instant {
		at := <-now
		now <- at
		return at
	}
	r := newHarness(t, func(o *Options) {
		o.Now = clock
		o.Limits.DrainDelay = 10 * time.Millisecond
	})
	tokens := make(chan engine.Token, 2)
	tokens <- engine.Token{Index: 0, Text: "a"}
	r.client.generate = []generateFunc{
		func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
			return r.client.stream(ctx, req, tokens, nil), nil
		},
		r.client.respondWith([]string{"late"}, nil),
	}
	streaming := r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`)
	assert.Assert(t, r.ready(t))
	done := make(chan error, 1)
	go func() { done <- r.server.Drain(t.Context()) }()
	for r.server.gate.State() != drain.LameDuck {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !r.ready(t))
	late := r.post(t, t.Context(), "/v1/completions", `{"prompt":"p"}`)
	assert.Equal(t, late.StatusCode, 200)
	assert.Assert(t, late.Close, "the response must close the connection")

	<-now
	now <- time.Second
	for r.server.gate.State() != drain.Draining {
		time.Sleep(time.Millisecond)
	}
	refused := r.post(t, t.Context(), "/v1/completions", `{"prompt":"p"}`)
	failure := failureIn(t, read(t, refused))
	assert.Equal(t, tables.ErrorCode(failure.Code), tables.CodeDraining)
	assert.Equal(t, string(failure.Outcome), string(tables.OutcomeNotRun))

	select {
	case <-done:
		t.Fatal("drain ended before the stream")
	default:
	}
	tokens <- engine.Token{Index: 1, Text: "b"}
	close(tokens)
	assert.DeepEqual(t, texts(t, read(t, streaming)), []string{"a", "b"})
	assert.NilError(t, <-done)
}

// Guards against a drain that ignores the end of its context, as after a second
// signal, and waits for an open stream.
func TestSecondSignalAbortsDrain(t *testing.T) {
	r := newHarness(t, nil)
	tokens := make(chan engine.Token, 1)
	tokens <- engine.Token{Index: 0, Text: "a"}
	r.client.generate = []generateFunc{func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		return r.client.stream(ctx, req, tokens, nil), nil
	}}
	ctx, stop := context.WithCancel(t.Context())
	r.post(t, ctx, "/v1/completions", `{"prompt":"p","stream":true}`)
	signal, second := context.WithCancel(t.Context())
	second()
	assert.ErrorIs(t, r.server.Drain(signal), context.Canceled)
	stop()
}

// Guards against an instance without a configuration that rejects valid tokens
// as unknown.
func TestNotReadyBeforeFirstConfiguration(t *testing.T) {
	r := newHarness(t, nil)
	r.server.configIndex.Store(nil)
	assert.Assert(t, !r.ready(t))
	resp := r.post(t, t.Context(), "/v1/completions", `{"prompt":"p"}`)
	failure := failureIn(t, read(t, resp))
	assert.Equal(t, tables.ErrorCode(failure.Code), tables.CodeNotReady)
}
