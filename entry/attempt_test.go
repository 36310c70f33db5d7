package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// hedgingRouter is a Router that dispatches two attempts of each request at
// once and records how they end.
type hedgingRouter struct {
	actions        []router.Action
	ends           chan router.AttemptEnded
	firstTokenSeen bool
}

func (p *hedgingRouter) Configure(tables.Instant, *tables.Configuration) {}
func (p *hedgingRouter) Cancel(tables.Instant, tables.RequestID)         {}
func (p *hedgingRouter) NextTick(now tables.Instant) tables.Instant      { return now + testWait }

func (p *hedgingRouter) Submit(_ tables.Instant, r *tables.Request) {
	p.actions = append(p.actions,
		router.Dispatch{Request: r.ID, Attempt: "slow", Weights: "v1"},
		router.Dispatch{Request: r.ID, Attempt: "fast", Weights: "v1", Hedge: true})
}

func (p *hedgingRouter) Observe(_ tables.Instant, in router.Input) {
	switch in := in.(type) {
	case router.FirstToken:
		if !p.firstTokenSeen {
			p.firstTokenSeen = true
			loser := tables.AttemptID("slow")
			if in.Attempt == loser {
				loser = "fast"
			}
			p.actions = append(p.actions, router.Abort{Attempt: loser})
		}
	case router.AttemptEnded:
		p.ends <- in
	}
}

func (p *hedgingRouter) Tick(tables.Instant) []router.Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// Guards against a hedged request whose losing attempt reaches the caller or
// keeps running. The caller gets one attempt completely and nothing of the
// other. The losing attempt is cancelled at its endpoint, and its slot counts
// as used until the endpoint has confirmed.
func TestHedgeLoserIsCancelled(t *testing.T) {
	p := &hedgingRouter{ends: make(chan router.AttemptEnded, 2)}
	r := newHarness(t, func(o *Options) { o.Router = p })
	slowStarted := make(chan struct{})
	r.client.generate = []generateFunc{func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		if req.Attempt == "fast" {
			<-slowStarted
			return r.client.respondWith([]string{"a", "b"}, nil)(ctx, req)
		}
		close(slowStarted)
		<-ctx.Done()
		return nil, &engine.InterruptedError{Attempt: req.Attempt, Cause: ctx.Err()}
	}}
	got := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
	assert.DeepEqual(t, texts(t, got), []string{"a", "b"})
	results := map[tables.AttemptID]router.AttemptResult{}
	for range 2 {
		end := <-p.ends
		results[end.Attempt] = end.Result
		if end.Attempt == "slow" {
			cancelled := []tables.AttemptID{<-r.client.cancelled, ""}
			if cancelled[0] != "slow" {
				cancelled[1] = <-r.client.cancelled
			}
			assert.Assert(t, cancelled[0] == "slow" || cancelled[1] == "slow")
		}
	}
	assert.Equal(t, results["fast"], router.Completed)
	assert.Equal(t, results["slow"], router.Cancelled)
}

// Guards against an engine that keeps computing after the caller has closed its
// connection in the middle of a stream.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	r := newHarness(t, nil)
	tokens := make(chan engine.Token, 1)
	tokens <- engine.Token{Index: 0, Text: "a"}
	r.client.generate = []generateFunc{func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		return r.client.stream(ctx, req, tokens, nil), nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	resp := r.post(t, ctx, "/v1/completions", `{"prompt":"p","stream":true}`)
	assert.Equal(t, resp.StatusCode, 200)
	cancel()
	attempt := <-r.client.cancelled
	assert.Equal(t, attempt, r.client.received()[0].Attempt)
}

// Guards against a caller that opens a stream and does not read it. The engine
// must not produce tokens for it without end, and the instance must not buffer
// them: the stream stops, and the caller is disconnected after the write
// timeout.
func TestSlowReaderIsDisconnected(t *testing.T) {
	r := newHarness(t, func(o *Options) {
		o.Limits.WriteTimeout = 200 * time.Millisecond
		o.Limits.MaxCompletionBytes = 1 << 30
	})
	text := strings.Repeat("w", 32<<10)
	var produced atomic.Int64
	r.client.generate = []generateFunc{func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		tokens := make(chan engine.Token)
		go func() {
			for i := 0; ; i++ {
				select {
				case tokens <- engine.Token{Index: i, Text: text}:
					produced.Add(1)
				case <-ctx.Done():
					return
				}
			}
		}()
		return r.client.stream(ctx, req, tokens, nil), nil
	}}
	resp := r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`)
	assert.Equal(t, resp.StatusCode, 200)
	<-r.client.cancelled
	assert.Assert(t, produced.Load() < 4096, "engine produced %d events for a caller that does not read", produced.Load())
}

// Guards against an engine whose endless completion uses up the memory of the
// instance.
func TestOversizedCompletionIsAborted(t *testing.T) {
	r := newHarness(t, func(o *Options) { o.Limits.MaxCompletionBytes = 10 })
	r.client.generate = []generateFunc{r.client.respondWith(strings.Split(strings.Repeat("word,", 10), ","), nil)}
	got := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
	assert.DeepEqual(t, texts(t, got), []string{"word", "word"})
	assert.Assert(t, strings.Contains(got, `"code":5020`), got)
	assert.Assert(t, !strings.Contains(got, "[DONE]"), got)
}

// Guards against an incomplete stream that the caller takes for a complete
// response. All engines fail after a few tokens; the caller must get an error
// event and no done event.
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	r := newHarness(t, nil)
	r.client.generate = []generateFunc{r.client.respondWith([]string{"a"}, &engine.InterruptedError{Cause: context.DeadlineExceeded})}
	got := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
	assert.DeepEqual(t, texts(t, got), []string{"a"})
	assert.Assert(t, strings.Contains(got, "event: error\ndata: {"), got)
	assert.Assert(t, strings.Contains(got, `"outcome":"unknown"`), got)
	assert.Assert(t, !strings.Contains(got, "[DONE]"), got)
}

// Guards against a response that mixes weights versions. An engine crashes in
// the middle of a response, and meanwhile a new weights version is in use
// everywhere, so no engine can resume under the old one. A caller that does not
// stream has seen nothing and gets a response from the new version alone. A
// caller that streams has seen the beginning and gets an error.
func TestCompletionRestartsUnderNewWeights(t *testing.T) {
	for _, stream := range []bool{false, true} {
		r := newHarness(t, func(o *Options) { o.Router = newRetryingRouter(1) })
		newer := testConfiguration()
		newer.Revision, newer.Models[0].Weights = 2, "v2"
		r.client.generate = []generateFunc{
			func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
				r.server.Configure(newer)
				return r.client.respondWith([]string{"old"}, &engine.InterruptedError{Cause: context.DeadlineExceeded})(ctx, req)
			},
			r.client.respondWith([]string{"new", "er"}, nil),
		}
		got := read(t, r.post(t, t.Context(), "/v1/completions", fmt.Sprintf(`{"prompt":"p","stream":%t}`, stream)))
		if stream {
			assert.DeepEqual(t, texts(t, got), []string{"old"})
			assert.Equal(t, len(r.client.received()), 1)
			continue
		}
		assert.Assert(t, strings.Contains(got, `"text":"newer"`), got)
		assert.Equal(t, r.client.received()[1].ResumeFrom, 0)
	}
}

// Guards against a wrong outcome of failed work. If every engine declines
// before it starts, the outcome is not run. If an engine is interrupted, the
// outcome is unknown.
func TestNotStartedProofGivesNotRunOutcome(t *testing.T) {
	r := newHarness(t, nil)
	r.client.generate = []generateFunc{func(_ context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		return nil, &engine.NotStartedError{Attempt: req.Attempt, Rejected: true}
	}}
	got := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
	assert.Equal(t, string(failureIn(t, got).Outcome), string(tables.OutcomeNotRun))

	r.client.generate = []generateFunc{func(_ context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		return nil, &engine.InterruptedError{Attempt: req.Attempt, Cause: context.DeadlineExceeded}
	}}
	got = read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
	assert.Equal(t, string(failureIn(t, got).Outcome), string(tables.OutcomeUnknown))
}

// retryingRouter is a Router that retries each request at once, up to
// maxAttempts attempts in total.
type retryingRouter struct {
	maxAttempts int
	actions     []router.Action
	attempts    map[tables.RequestID]int
	requests    map[tables.AttemptID]tables.RequestID
}

func newRetryingRouter(most int) *retryingRouter {
	return &retryingRouter{maxAttempts: most, attempts: map[tables.RequestID]int{}, requests: map[tables.AttemptID]tables.RequestID{}}
}

func (d *retryingRouter) Configure(tables.Instant, *tables.Configuration) {}
func (d *retryingRouter) Cancel(tables.Instant, tables.RequestID)         {}
func (d *retryingRouter) NextTick(now tables.Instant) tables.Instant      { return now + testWait }

func (d *retryingRouter) Submit(_ tables.Instant, r *tables.Request) { d.dispatch(r.ID, 0) }

func (d *retryingRouter) dispatch(id tables.RequestID, delivered int) {
	d.attempts[id]++
	attempt := tables.AttemptID(fmt.Sprint(id, "/", d.attempts[id]))
	d.requests[attempt] = id
	d.actions = append(d.actions, router.Dispatch{Request: id, Attempt: attempt, ResumeFrom: delivered})
}

func (d *retryingRouter) Observe(_ tables.Instant, in router.Input) {
	ended, ok := in.(router.AttemptEnded)
	if !ok || ended.Result == router.Completed || ended.Result == router.Cancelled {
		return
	}
	id := d.requests[ended.Attempt]
	if d.attempts[id] < d.maxAttempts {
		d.dispatch(id, ended.DeliveredTokens)
		return
	}
	d.actions = append(d.actions, router.Fail{Request: id, Code: tables.CodeStreamBroken})
}

func (d *retryingRouter) Tick(tables.Instant) []router.Action {
	actions := d.actions
	d.actions = nil
	return actions
}

// Guards against streams with repeated, missing or foreign tokens. Engines
// repeat, skip and mix up tokens and fail at random points. The caller must
// always see a prefix of the true response, and the done event exactly if the
// response is complete.
func TestStreamIsAlwaysPrefixOfTrueAnswer(t *testing.T) {
	truth := strings.Split("abcdefghij", "")
	r := newHarness(t, func(o *Options) {
		o.Router = newRetryingRouter(4)
	})
	var mu sync.Mutex
	var plans [][]engine.Token
	var whole []bool
	r.client.generate = []generateFunc{func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		mu.Lock()
		defer mu.Unlock()
		if len(plans) == 0 {
			return r.client.respondWith(truth, nil)(ctx, req)
		}
		tokens := make(chan engine.Token, 64)
		for _, token := range plans[0] {
			if token.Attempt == "" {
				token.Attempt = req.Attempt
			}
			tokens <- token
		}
		var end error = &engine.InterruptedError{Cause: context.DeadlineExceeded}
		if whole[0] {
			for i := range truth {
				tokens <- engine.Token{Attempt: req.Attempt, Index: i, Text: truth[i]}
			}
			end = nil
		}
		plans, whole = plans[1:], whole[1:]
		close(tokens)
		return r.client.stream(ctx, req, tokens, end), nil
	}}
	rapid.Check(t, func(rt *rapid.T) {
		mu.Lock()
		plans, whole = nil, nil
		for range rapid.IntRange(0, 5).Draw(rt, "attempts") {
			var plan []engine.Token
			for range rapid.IntRange(0, 12).Draw(rt, "tokens") {
				i := rapid.IntRange(0, len(truth)-1).Draw(rt, "index")
				token := engine.Token{Index: i, Text: truth[i]}
				if rapid.IntRange(0, 5).Draw(rt, "crossed") == 0 {
					token.Attempt, token.Text = "other", "X"
				}
				plan = append(plan, token)
			}
			plans = append(plans, plan)
			whole = append(whole, rapid.Bool().Draw(rt, "whole"))
		}
		mu.Unlock()
		got := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
		seen := strings.Join(texts(t, got), "")
		if strings.HasSuffix(got, doneEvent) {
			if seen != strings.Join(truth, "") {
				rt.Fatalf("done event after %q: %s", seen, got)
			}
			return
		}
		if !strings.HasPrefix(strings.Join(truth, ""), seen) || !strings.Contains(got, `"error":{`) {
			rt.Fatalf("caller saw %q: %s", seen, got)
		}
	})
}
