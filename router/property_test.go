package router_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// routerModel is the model of a model-based test. It keeps its own plain record
// of all inputs and checks the router's actions against the guarantees to
// callers and operators. A replica receives the same inputs, to check that the
// router is deterministic.
type routerModel struct {
	t               *rapid.T
	r, replica      *router.Router
	now             time.Duration
	config          *tables.Configuration
	withdrawn       map[tables.EndpointID]uint64
	boots           map[tables.EndpointID]int
	reportedWeights map[tables.EndpointID]tables.WeightsVersion
	// reportedBoots holds the boot that reportedWeights belongs to, crashed the
	// boots that crashed.
	reportedBoots map[tables.EndpointID]tables.BootID
	crashed       map[tables.BootID]bool
	requests      map[tables.RequestID]*requestModel
	order         []tables.RequestID
	attempts      map[tables.AttemptID]*attemptModel
	inFlight      []tables.AttemptID
}

type requestModel struct {
	profile    tables.Profile
	inFlight   int
	dispatched bool
	mayHaveRun bool
	result     string
}

type attemptModel struct {
	request  tables.RequestID
	endpoint tables.EndpointID
	weights  tables.WeightsVersion
	boot     tables.BootID
	tokens   int
}

// The seed is fixed, so that every run of the same code gives the same result.
func init() { _ = flag.Set("rapid.seed", "1") }

func newRouterModel(t *rapid.T) *routerModel {
	w := &routerModel{
		t: t, config: testConfiguration(4), withdrawn: make(map[tables.EndpointID]uint64), boots: make(map[tables.EndpointID]int),
		reportedWeights: make(map[tables.EndpointID]tables.WeightsVersion), reportedBoots: make(map[tables.EndpointID]tables.BootID),
		crashed: make(map[tables.BootID]bool), requests: make(map[tables.RequestID]*requestModel),
		attempts: make(map[tables.AttemptID]*attemptModel),
	}
	options := router.Options{Instance: "i1", Zone: "z1", Seed: 3, CacheIndexEntries: 256}
	w.r, w.replica = router.New(options), router.New(options)
	w.configure()
	return w
}

func (w *routerModel) forBoth(call func(*router.Router)) {
	call(w.r)
	call(w.replica)
}

func (w *routerModel) observe(in router.Input) {
	w.forBoth(func(r *router.Router) { r.Observe(w.now, in) })
}

func (w *routerModel) configure() {
	c := *w.config
	c.Endpoints = append([]tables.Endpoint(nil), c.Endpoints...)
	c.Models = append([]tables.Model(nil), c.Models...)
	w.config = &c
	w.forBoth(func(r *router.Router) { r.Configure(w.now, &c) })
}

func (w *routerModel) endpoint() *tables.Endpoint {
	return &w.config.Endpoints[rapid.IntRange(0, len(w.config.Endpoints)-1).Draw(w.t, "endpoint")]
}

func (w *routerModel) reconfigure() {
	w.config.Revision++
	e := w.endpoint()
	switch rapid.IntRange(0, 2).Draw(w.t, "change") {
	case 0:
		e.Leaving = true
	case 1:
		e.Leaving = false
		e.Life++
	case 2:
		w.config.Models[0].Weights = tables.WeightsVersion(rapid.SampledFrom([]string{"w1", "w2"}).Draw(w.t, "weights"))
	}
	w.configure()
}

func (w *routerModel) withdraw() {
	e := w.endpoint()
	w.withdrawn[e.ID] = max(w.withdrawn[e.ID], e.Life)
	w.observe(router.EndpointWithdrawn{Endpoint: e.ID, Life: e.Life})
}

func (w *routerModel) bootID(e *tables.Endpoint) tables.BootID {
	return tables.BootID(fmt.Sprintf("%s-%d", e.ID, w.boots[e.ID]))
}

func (w *routerModel) reportLoad() {
	e := w.endpoint()
	if rapid.IntRange(0, 5).Draw(w.t, "restart") == 0 {
		w.boots[e.ID]++
	}
	version := tables.WeightsVersion(rapid.SampledFrom([]string{"w1", "w1", "w2"}).Draw(w.t, "serves"))
	if w.crashed[w.bootID(e)] {
		return
	}
	w.reportedWeights[e.ID] = version
	w.reportedBoots[e.ID] = w.bootID(e)
	w.observe(router.LoadReport{
		Endpoint: e.ID, Boot: w.bootID(e), Running: rapid.IntRange(0, 6).Draw(w.t, "running"),
		Weights: map[tables.ModelName]tables.WeightsVersion{"m": version},
	})
}

func (w *routerModel) submit() {
	profile := rapid.SampledFrom(w.config.Profiles).Draw(w.t, "profile")
	id := tables.RequestID(fmt.Sprintf("r%d", len(w.order)))
	req := &tables.Request{
		ID: id, Organisation: "acme", Profile: profile.Name, PromptTokens: 9000, MaxTokens: 10,
		Fingerprint: tables.Fingerprint(len(w.order)), Arrived: w.now, Deadline: w.now + 20*time.Second,
		Blocks: []tables.BlockHash{1, tables.BlockHash(rapid.IntRange(2, 5).Draw(w.t, "block"))},
	}
	w.requests[id] = &requestModel{profile: profile}
	w.order = append(w.order, id)
	w.forBoth(func(r *router.Router) { r.Submit(w.now, req) })
}

func (w *routerModel) cancel() {
	if len(w.order) == 0 {
		return
	}
	id := rapid.SampledFrom(w.order).Draw(w.t, "cancel")
	w.forBoth(func(r *router.Router) { r.Cancel(w.now, id) })
	if s := w.requests[id]; s.result == "" {
		s.result = "cancelled"
	}
}

func (w *routerModel) advanceAttempt() {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "attempt")
	id := w.inFlight[i]
	a := w.attempts[id]
	if rapid.Bool().Draw(w.t, "token") {
		w.observe(router.AttemptStarted{Attempt: id, Weights: a.weights})
		w.observe(router.FirstToken{Attempt: id, CachedTokens: 4000})
		a.tokens++
		return
	}
	w.endAttempt(i, rapid.SampledFrom([]router.AttemptResult{
		router.Completed, router.NotStarted, router.Rejected, router.Unreachable, router.Interrupted, router.Crashed,
	}).Draw(w.t, "end"))
}

func (w *routerModel) endAttempt(i int, end router.AttemptResult) {
	id := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	a := w.attempts[id]
	s := w.requests[a.request]
	s.inFlight--
	if a.tokens > 0 && provesNotRun(end) {
		end = router.Interrupted
	}
	s.mayHaveRun = s.mayHaveRun || !provesNotRun(end)
	if end == router.Completed && s.result == "" {
		s.result = "completed"
	}
	if end == router.Crashed && a.boot == w.reportedBoots[a.endpoint] {
		// Weights that one boot reported say nothing about the next boot.
		w.crashed[a.boot] = a.boot != ""
		delete(w.reportedWeights, a.endpoint)
		delete(w.reportedBoots, a.endpoint)
	}
	w.observe(router.AttemptEnded{Attempt: id, Result: end, GeneratedTokens: a.tokens, DeliveredTokens: a.tokens})
}

func provesNotRun(end router.AttemptResult) bool {
	return end == router.NotStarted || end == router.Rejected || end == router.Unreachable
}

func (w *routerModel) tick() {
	w.now += time.Duration(rapid.IntRange(1, 400).Draw(w.t, "ms")) * ms
	actions := w.r.Tick(w.now)
	assert.Equal(w.t, fmt.Sprint(actions), fmt.Sprint(w.replica.Tick(w.now)))
	for _, action := range actions {
		w.check(action)
	}
}

func (w *routerModel) check(action router.Action) {
	switch a := action.(type) {
	case router.Dispatch:
		w.checkDispatch(a)
	case router.Refuse:
		s := w.requests[a.Request]
		assert.Equal(w.t, s.result, "")
		assert.Assert(w.t, !s.dispatched, "refused after a dispatch")
		s.result = "refused"
	case router.Fail:
		s := w.requests[a.Request]
		assert.Equal(w.t, s.result, "")
		assert.Assert(w.t, s.dispatched, "failed without a dispatch")
		if a.Outcome == tables.OutcomeNotRun {
			assert.Assert(w.t, !s.mayHaveRun && s.inFlight == 0, "outcome not_run, but the work may have run")
		}
		s.result = "failed"
	}
}

func (w *routerModel) checkDispatch(d router.Dispatch) {
	s := w.requests[d.Request]
	assert.Equal(w.t, s.result, "")
	if !s.profile.Idempotent {
		assert.Assert(w.t, !s.mayHaveRun && s.inFlight == 0, "non-idempotent work may run twice")
	}
	if s.inFlight > 0 {
		assert.Assert(w.t, d.Hedge && s.profile.Hedge)
	}
	for _, e := range w.config.Endpoints {
		if e.ID != d.Endpoint.ID {
			continue
		}
		assert.Assert(w.t, !e.Leaving, "%s is draining", e.ID)
		life, isWithdrawn := w.withdrawn[e.ID]
		assert.Assert(w.t, !isWithdrawn || life < e.Life, "%s is withdrawn", e.ID)
		if version, known := w.reportedWeights[e.ID]; known && e.Kind == tables.Engine {
			assert.Equal(w.t, version, d.Weights)
		}
	}
	s.inFlight++
	s.dispatched = true
	w.attempts[d.Attempt] = &attemptModel{request: d.Request, endpoint: d.Endpoint.ID, weights: d.Weights, boot: d.Boot, tokens: d.ResumeFrom}
	w.inFlight = append(w.inFlight, d.Attempt)
}

func TestInvariantsHoldForRandomInputs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newRouterModel(rt)
		steps := rapid.IntRange(1, 80).Draw(rt, "steps")
		for range steps {
			switch rapid.IntRange(0, 11).Draw(rt, "step") {
			case 0:
				w.reconfigure()
			case 1:
				w.withdraw()
			case 2, 3:
				w.reportLoad()
			case 4, 5, 6:
				w.submit()
			case 7:
				w.cancel()
			case 8, 9:
				w.advanceAttempt()
			default:
				w.tick()
			}
		}
		w.drain()
	})
}

// drain lets all requests run to their end; each must have exactly one result.
func (w *routerModel) drain() {
	for range 80 {
		w.tick()
		for len(w.inFlight) > 0 {
			w.endAttempt(0, router.Interrupted)
		}
		w.now += 500 * ms
	}
	for _, id := range w.order {
		assert.Assert(w.t, w.requests[id].result != "", "%s has no result", id)
	}
}
