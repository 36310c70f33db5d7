package standin

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/tables"
)

func newEngine(t *testing.T, change func(o *EngineOptions)) (*Engine, *engine.HTTPClient) {
	t.Helper()
	options := EngineOptions{ID: "e1", Speedup: -1, Weights: map[tables.ModelName]tables.WeightsVersion{"m": "v1"}}
	if change != nil {
		change(&options)
	}
	e, err := StartEngine(options)
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e, engine.NewHTTPClient(engine.Options{})
}

func ask(attempt, prompt string) engine.GenerateRequest {
	return engine.GenerateRequest{Attempt: tables.AttemptID(attempt), Model: "m", Prompt: prompt, MaxTokens: 2, Salt: "org"}
}

// run takes an attempt to its end.
func run(t *testing.T, c *engine.HTTPClient, e *Engine, req engine.GenerateRequest) {
	t.Helper()
	s, err := c.Generate(t.Context(), e.Address(), req)
	assert.NilError(t, err)
	for err == nil {
		_, err = s.Next()
	}
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, s.Close())
}

func piece(text string) string { return strings.Repeat(text, prefix.BlockBytes) }

func blocksOf(prompt string) []tables.BlockHash {
	scope := prefix.Scope{Organisation: "org", Model: "m", Weights: "v1"}
	return prefix.BlockHashes(nil, scope.RootHash(), prompt)
}

// The cache holds two pieces. A third pushes the least recently used one out,
// and both changes are told in sequence.
func TestCacheEvictsAndTells(t *testing.T) {
	e, c := newEngine(t, func(o *EngineOptions) { o.CacheBlocks = 2 })
	for i, text := range []string{"a", "b", "c"} {
		run(t, c, e, ask(string(rune('1'+i)), piece(text)))
	}
	got, err := c.CacheChanges(t.Context(), e.Address(), "", 0, time.Second)
	assert.NilError(t, err)
	a, b, third := blocksOf(piece("a")), blocksOf(piece("b")), blocksOf(piece("c"))
	assert.DeepEqual(t, got, engine.CacheChanges{Boot: e.Boot(), Changes: []engine.CacheChange{
		{Sequence: 1, Stored: a}, {Sequence: 2, Stored: b}, {Sequence: 3, Stored: third, Evicted: a},
	}})
	run(t, c, e, ask("4", piece("a")))
	totals := e.Records().Totals()
	assert.Equal(t, totals.CachedTokens, 0)
	assert.Equal(t, totals.RecomputedTokens, prefix.BlockTokens)
}

// Cache events are lost on the way. The reader sees a jump in the sequence.
func TestEventsHaveGaps(t *testing.T) {
	e, c := newEngine(t, func(o *EngineOptions) { o.EventLoss = 2 })
	for i, text := range []string{"a", "b", "c"} {
		run(t, c, e, ask(string(rune('1'+i)), piece(text)))
	}
	got, err := c.CacheChanges(t.Context(), e.Address(), "", 0, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Changes), 2)
	assert.Equal(t, got.Changes[1].Sequence, uint64(3))
}

func TestEventLogHoldsChangesBack(t *testing.T) {
	var l eventLog
	l.init(time.Second, 0)
	start := time.Unix(0, 0)
	l.add(nil, nil, start)
	changes, next, _ := l.after(0, start.Add(time.Millisecond))
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, next, start.Add(time.Second))
	changes, _, _ = l.after(0, start.Add(time.Second))
	assert.Equal(t, len(changes), 1)
}

func TestLoadReportsLag(t *testing.T) {
	h := loadHistory{lag: time.Second}
	start := time.Unix(0, 0)
	running := 0
	report := func() engine.Load { running++; return engine.Load{Running: running} }
	h.note(report, start)
	h.note(report, start.Add(500*time.Millisecond))
	assert.Equal(t, h.lagging(report, start.Add(900*time.Millisecond)).Running, 1)
	assert.Equal(t, h.lagging(report, start.Add(1600*time.Millisecond)).Running, 2)
}

// One prompt crashes every engine that runs it. Innocent attempts beside it
// are cut, and the engine comes back empty with a new identity.
func TestPoisonedPromptCrashesTheEngine(t *testing.T) {
	e, c := newEngine(t, func(o *EngineOptions) { o.Speedup = 1 })
	before := e.Boot()
	long := ask("innocent", "p")
	long.MaxTokens = 100_000
	innocent, err := c.Generate(t.Context(), e.Address(), long)
	assert.NilError(t, err)
	poisoned, err := c.Generate(t.Context(), e.Address(), ask("poisoned", "x"+PoisonMark))
	if err == nil {
		_, err = poisoned.Next()
		_ = poisoned.Close()
	}
	var open *engine.InterruptedError
	assert.Assert(t, errors.As(err, &open), "%v", err)
	for err = nil; err == nil; {
		_, err = innocent.Next()
	}
	assert.Assert(t, errors.As(err, &open), "%v", err)
	_ = innocent.Close()
	for e.Boot() == before {
		time.Sleep(time.Millisecond)
	}
	load, err := c.Load(t.Context(), e.Address())
	for err != nil {
		load, err = c.Load(t.Context(), e.Address())
	}
	assert.Assert(t, load.Boot != before)
	assert.Equal(t, e.Records().Totals().Crashes, 1)
}

// An engine keeps its connections up and answers nothing, in two ways: its
// process hangs, or packets to and from it are lost.
func TestHangingAndHalfOpenEnginesAreSilent(t *testing.T) {
	for name, stop := range map[string]func(e *Engine){"hang": (*Engine).Hang, "half-open": (*Engine).HalfOpen} {
		t.Run(name, func(t *testing.T) {
			e, c := newEngine(t, nil)
			stop(e)
			impatient := engine.NewHTTPClient(engine.Options{ResponseTimeout: 50 * time.Millisecond})
			_, err := impatient.Generate(t.Context(), e.Address(), ask("1", "p"))
			var silent *engine.ReadTimeoutError
			assert.Assert(t, errors.As(err, &silent), "%v", err)
			e.Resume()
			run(t, c, e, ask("2", "p"))
		})
	}
}

// An engine's port is closed to new connections while its streams go on.
func TestRefusingEngineKeepsItsStreams(t *testing.T) {
	e, c := newEngine(t, func(o *EngineOptions) { o.Speedup = 1 })
	long := ask("1", "p")
	long.MaxTokens = 100_000
	s, err := c.Generate(t.Context(), e.Address(), long)
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	e.Refuse()
	other := engine.NewHTTPClient(engine.Options{})
	_, err = other.Generate(t.Context(), e.Address(), ask("2", "p"))
	var proven *engine.NotStartedError
	assert.Assert(t, errors.As(err, &proven) && proven.Unreachable, "%v", err)
	_, err = s.Next()
	assert.NilError(t, err)
	assert.NilError(t, e.Accept())
	assert.NilError(t, s.Close())
}

func TestUrgentWorkIsTakenFirst(t *testing.T) {
	e, _ := newEngine(t, nil)
	// A life whose loop does not run leaves its queue as it is.
	l := newLife(e, "b")
	for _, p := range []struct {
		name     string
		priority tables.Priority
	}{{"b1", tables.Background}, {"n1", tables.Normal}, {"u1", tables.Urgent}, {"n2", tables.Normal}, {"u2", tables.Urgent}} {
		req := ask(p.name, "p")
		req.Priority = p.priority
		assert.Assert(t, l.enqueue(newAttempt(req, "v1", "")))
	}
	var order []string
	for _, a := range l.queue {
		order = append(order, string(a.req.Attempt))
	}
	assert.DeepEqual(t, order, []string{"u1", "u2", "n1", "n2", "b1"})
}

// An isolated control instance wakes up and goes on giving orders. An engine
// that checks fencing numbers refuses; one that does not obeys, and only its
// records show it.
func TestOldOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e, c := newEngine(t, func(o *EngineOptions) { o.ChecksFence = checks })
		load := engine.Order{Fence: 7, Kind: engine.OrderLoadVersion, Model: "m", Weights: "v2"}
		state, err := c.Order(t.Context(), e.Address(), load)
		assert.NilError(t, err)
		assert.Equal(t, state.Weights["m"], tables.WeightsVersion("v2"))
		load.Fence, load.Weights = 6, "v1"
		_, err = c.Order(t.Context(), e.Address(), load)
		state, stateErr := c.OrderState(t.Context(), e.Address())
		assert.NilError(t, stateErr)
		if checks {
			var old *engine.StaleFencingTokenError
			assert.Assert(t, errors.As(err, &old), "%v", err)
			assert.Equal(t, old.Seen, tables.FencingToken(7))
			assert.Equal(t, state.Weights["m"], tables.WeightsVersion("v2"))
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, state.Weights["m"], tables.WeightsVersion("v1"))
		assert.Equal(t, e.Records().Totals().OldOrders, 1)
	}
}

// A prefix moves from one engine to another, and one with other weights takes
// nothing.
func TestCacheMovesBetweenEngines(t *testing.T) {
	from, c := newEngine(t, nil)
	to, _ := newEngine(t, nil)
	newer, _ := newEngine(t, func(o *EngineOptions) { o.Weights["m"] = "v2" })
	prompt := piece("a") + piece("b")
	run(t, c, from, ask("1", prompt))
	want := engine.CacheTransfer{Salt: "org", Model: "m", Weights: "v1", Blocks: append(blocksOf(prompt), 1)}
	have, err := c.ExportCache(t.Context(), from.Address(), want)
	assert.NilError(t, err)
	assert.DeepEqual(t, have.Blocks, blocksOf(prompt))
	taken, err := c.ImportCache(t.Context(), newer.Address(), have)
	assert.NilError(t, err)
	assert.Equal(t, len(taken.Blocks), 0)
	_, err = c.ImportCache(t.Context(), to.Address(), have)
	assert.NilError(t, err)
	run(t, c, to, ask("2", prompt))
	assert.Equal(t, to.Records().Totals().CachedTokens, 2*prefix.BlockTokens)
}

// The records must notice a request that profits from another organisation's
// cache; here two organisations come with one salt.
func TestForeignCacheIsNoticed(t *testing.T) {
	owner := func(prompt string) string { return prompt[prefix.BlockBytes:] }
	e, c := newEngine(t, func(o *EngineOptions) { o.Owner = owner })
	run(t, c, e, ask("1", piece("a")+"one"))
	run(t, c, e, ask("2", piece("a")+"two"))
	assert.Equal(t, e.Records().Totals().ForeignCache, 1)
	assert.Equal(t, e.Records().Totals().OldWeightsCache+e.Records().Totals().DeadCache, 0)
}

// An instance resumes an answer with text that is not the answer's beginning,
// as it would after mixing two attempts. The engine must refuse and note it.
func TestBadResumeIsNoticed(t *testing.T) {
	e, c := newEngine(t, nil)
	req := ask("1", "p")
	req.ResumeFrom, req.Emitted = 1, "other"
	_, err := c.Generate(t.Context(), e.Address(), req)
	var proven *engine.NotStartedError
	assert.Assert(t, errors.As(err, &proven), "%v", err)
	assert.Equal(t, e.Records().Totals().BadResumes, 1)
}

func TestPlatformListLags(t *testing.T) {
	p, err := StartPlatform(netip.AddrPort{}, time.Minute)
	assert.NilError(t, err)
	defer p.Close()
	p.Set(engine.PlatformInstance{ID: "e1", State: engine.PlatformLeaving, Life: 2})
	list, err := engine.NewHTTPClient(engine.Options{}).PlatformList(context.Background(), p.Address())
	assert.NilError(t, err)
	assert.Equal(t, len(list.Instances), 0)
	assert.Equal(t, len(p.lagging(time.Now().Add(time.Minute)).Instances), 1)
}
