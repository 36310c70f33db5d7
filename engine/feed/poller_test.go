package feed

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

// scriptedReader returns scripted responses one after another and cancels the poller's
// context after the last.
type scriptedReader struct {
	loads          []engine.Load
	changes        []engine.CacheChanges
	errs           []error
	requestedAfter []uint64
	end            context.CancelFunc
}

func (s *scriptedReader) step() error {
	if len(s.errs) == 0 {
		s.end()
		return context.Canceled
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *scriptedReader) Load(context.Context, netip.AddrPort) (engine.Load, error) {
	if err := s.step(); err != nil {
		return engine.Load{}, err
	}
	load := s.loads[0]
	s.loads = s.loads[1:]
	return load, nil
}

func (s *scriptedReader) CacheChanges(_ context.Context, _ netip.AddrPort, _ tables.BootID, after uint64, _ time.Duration) (engine.CacheChanges, error) {
	s.requestedAfter = append(s.requestedAfter, after)
	if err := s.step(); err != nil {
		return engine.CacheChanges{}, err
	}
	changes := s.changes[0]
	s.changes = s.changes[1:]
	return changes, nil
}

// fixture is a poller that does not sleep but records the waits.
type fixture struct {
	poller
	ctx          context.Context
	inputs       []router.Input
	unresponsive []bool
	waits        []time.Duration
}

func newFixture(t *testing.T, s *scriptedReader) *fixture {
	ctx, cancel := context.WithCancel(t.Context())
	s.end = cancel
	r := &fixture{ctx: ctx}
	r.poller = poller{id: "e", Options: Options{
		Reporter:       s,
		Deliver:        func(in router.Input) { r.inputs = append(r.inputs, in) },
		OnUnresponsive: func(_ tables.EndpointID, silent bool) { r.unresponsive = append(r.unresponsive, silent) },
		Random:         func() float64 { return 0.5 },
		Sleep: func(ctx context.Context, d time.Duration) error {
			r.waits = append(r.waits, d)
			return ctx.Err()
		},
	}.withDefaults()}
	return r
}

// An endpoint stops responding and comes back. The instance must back off exponentially,
// report each transition once, and return to the normal rate afterwards.
func TestBacksOffFromUnresponsiveEndpoint(t *testing.T) {
	down := errors.New("refused")
	s := &scriptedReader{
		errs:  []error{nil, down, down, down, down, nil},
		loads: []engine.Load{{Boot: "b1", Running: 1}, {Boot: "b2"}},
	}
	r := newFixture(t, s)
	r.pollLoads(r.ctx)
	assert.DeepEqual(t, r.unresponsive, []bool{true, false})
	p := r.LoadInterval
	assert.DeepEqual(t, r.waits[1:7], []time.Duration{p, p, 2 * p, 4 * p, 8 * p, p})
	assert.DeepEqual(t, r.inputs, []router.Input{
		router.LoadReport{Endpoint: "e", Boot: "b1", Running: 1},
		router.LoadReport{Endpoint: "e", Boot: "b2"},
	})
}

// Cache events arrive twice and with a gap, and then the endpoint restarts and its
// sequence numbers begin again. Every event must be delivered once, with the boot
// identity that it belongs to.
func TestChangesAreDeliveredOncePerBoot(t *testing.T) {
	s := &scriptedReader{
		errs: []error{nil, nil, nil},
		changes: []engine.CacheChanges{
			{Boot: "b1", Changes: []engine.CacheChange{{Sequence: 1}, {Sequence: 2}}},
			{Boot: "b1", Changes: []engine.CacheChange{{Sequence: 2}, {Sequence: 5}}},
			{Boot: "b2", Changes: []engine.CacheChange{{Sequence: 1}}},
		},
	}
	r := newFixture(t, s)
	r.pollCacheChanges(r.ctx)
	assert.DeepEqual(t, s.requestedAfter, []uint64{0, 2, 5, 1})
	assert.DeepEqual(t, r.inputs, []router.Input{
		router.CacheEvent{Endpoint: "e", Boot: "b1", Sequence: 1},
		router.CacheEvent{Endpoint: "e", Boot: "b1", Sequence: 2},
		router.CacheEvent{Endpoint: "e", Boot: "b1", Sequence: 5},
		router.CacheEvent{Endpoint: "e", Boot: "b2", Sequence: 1},
	})
}

// End to end with a stand-in engine: its cache event names the block hash that the router
// computes for the prompt, and after a crash its reports carry a new boot identity.
func TestPollerGroupReadsEngine(t *testing.T) {
	e, err := standin.StartEngine(standin.EngineOptions{
		ID: "e1", Speedup: -1, Weights: map[tables.ModelName]tables.WeightsVersion{"m": "v1"},
	})
	assert.NilError(t, err)
	defer e.Close()
	inputs := make(chan router.Input, 1024)
	client := engine.NewHTTPClient(engine.Options{})
	g := NewPollerGroup(Options{Reporter: client, Deliver: func(in router.Input) { inputs <- in }, LoadInterval: time.Millisecond, MaxBackoff: 5 * time.Millisecond})
	defer g.Close()
	g.Reconcile(&tables.Configuration{Endpoints: []tables.Endpoint{{ID: "e1", Address: e.Address()}}})

	prompt := string(make([]byte, prefix.BlockBytes))
	s, err := client.Generate(t.Context(), e.Address(), engine.GenerateRequest{
		Attempt: "a", Model: "m", Prompt: prompt, MaxTokens: 1, Salt: "org",
	})
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	assert.NilError(t, s.Close())

	scope := prefix.Scope{Organisation: "org", Model: "m", Weights: "v1"}
	want := prefix.BlockHashes(nil, scope.RootHash(), prompt)
	for in := range inputs {
		if event, ok := in.(router.CacheEvent); ok {
			assert.DeepEqual(t, event.Stored, want)
			assert.Equal(t, event.Boot, e.Boot())
			break
		}
	}
	e.Crash()
	assert.NilError(t, e.Restart())
	boot := e.Boot()
	for in := range inputs {
		if load, ok := in.(router.LoadReport); ok && load.Boot == boot {
			assert.Equal(t, load.CacheBlocks, 0)
			break
		}
	}
}

// A reader of cache changes alone gets whole responses, with the first of each boot
// marked, since that one replaces all that the reader knows of the endpoint. Sequence
// numbers of a new boot may repeat those of the last one.
func TestBatchesHoldWholeResponses(t *testing.T) {
	s := &scriptedReader{
		errs: []error{nil, nil, nil, nil},
		changes: []engine.CacheChanges{
			{Boot: "b1"},
			{Boot: "b1", Changes: []engine.CacheChange{{Sequence: 1}, {Sequence: 2}}},
			{Boot: "b1", Changes: []engine.CacheChange{{Sequence: 2}}},
			{Boot: "b2", Changes: []engine.CacheChange{{Sequence: 0}}},
		},
	}
	r := newFixture(t, s)
	var batches []CacheBatch
	r.DeliverBatch = func(b CacheBatch) { batches = append(batches, b) }
	r.pollCacheChanges(r.ctx)
	assert.DeepEqual(t, s.requestedAfter, []uint64{0, 0, 2, 2, 0})
	assert.DeepEqual(t, batches, []CacheBatch{
		{Endpoint: "e", Boot: "b1", FirstOfBoot: true},
		{Endpoint: "e", Boot: "b1", Changes: []engine.CacheChange{{Sequence: 1}, {Sequence: 2}}},
		{Endpoint: "e", Boot: "b2", FirstOfBoot: true, Changes: []engine.CacheChange{{Sequence: 0}}},
	})
}

// Guards against polls of an endpoint that has requested a back-off, in answer to a poll or
// to something else.
func TestCachePollerWaitsWhileTheEndpointPushesBack(t *testing.T) {
	s := &scriptedReader{
		errs:    []error{&engine.PushbackError{RetryAfter: time.Minute}, nil},
		changes: []engine.CacheChanges{{Boot: "b", Draining: true}},
	}
	r := newFixture(t, s)
	var pushedBack time.Duration
	var draining []tables.EndpointID
	pauses := []time.Duration{0, time.Hour, 0, 0}
	r.OnPushback = func(_ tables.EndpointID, after time.Duration) { pushedBack = after }
	r.OnDraining = func(id tables.EndpointID) { draining = append(draining, id) }
	r.PausedFor = func(tables.EndpointID) time.Duration {
		pause := pauses[0]
		pauses = pauses[1:]
		return pause
	}
	r.pollCacheChanges(r.ctx)
	assert.Equal(t, pushedBack, time.Minute)
	assert.Equal(t, r.waits[1], time.Minute)
	assert.Assert(t, r.waits[2] >= time.Hour)
	assert.Equal(t, len(s.requestedAfter), 3)
	assert.DeepEqual(t, draining, []tables.EndpointID{"e"})
}
