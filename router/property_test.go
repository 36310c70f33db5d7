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

// world checks a router's actions against what callers and operators were
// promised, from its own plain record of everything that happened.
type world struct {
	t       *rapid.T
	r, twin *router.Router
	now     time.Duration
	config  *tables.Configuration
	gone    map[tables.EndpointID]uint64
	boots   map[tables.EndpointID]int
	serves  map[tables.EndpointID]tables.WeightsVersion
	// reported is the boot that serves was heard of, dead those that crashed.
	reported map[tables.EndpointID]tables.BootID
	dead     map[tables.BootID]bool
	requests map[tables.RequestID]*seen
	order    []tables.RequestID
	attempts map[tables.AttemptID]*flown
	live     []tables.AttemptID
}

type seen struct {
	profile    tables.Profile
	live       int
	dispatched bool
	mayHaveRun bool
	final      string
}

type flown struct {
	request  tables.RequestID
	endpoint tables.EndpointID
	weights  tables.WeightsVersion
	boot     tables.BootID
	sent     int
}

// The seed is fixed, so that a change is judged the same way every time.
func init() { _ = flag.Set("rapid.seed", "1") }

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, config: fixture(4), gone: make(map[tables.EndpointID]uint64), boots: make(map[tables.EndpointID]int),
		serves: make(map[tables.EndpointID]tables.WeightsVersion), reported: make(map[tables.EndpointID]tables.BootID),
		dead: make(map[tables.BootID]bool), requests: make(map[tables.RequestID]*seen),
		attempts: make(map[tables.AttemptID]*flown),
	}
	options := router.Options{Instance: "i1", Zone: "z1", Seed: 3, CacheIndexEntries: 256}
	w.r, w.twin = router.New(options), router.New(options)
	w.configure()
	return w
}

func (w *world) both(call func(*router.Router)) {
	call(w.r)
	call(w.twin)
}

func (w *world) observe(in router.Input) {
	w.both(func(r *router.Router) { r.Observe(w.now, in) })
}

func (w *world) configure() {
	c := *w.config
	c.Endpoints = append([]tables.Endpoint(nil), c.Endpoints...)
	c.Models = append([]tables.Model(nil), c.Models...)
	w.config = &c
	w.both(func(r *router.Router) { r.Configure(w.now, &c) })
}

func (w *world) endpoint() *tables.Endpoint {
	return &w.config.Endpoints[rapid.IntRange(0, len(w.config.Endpoints)-1).Draw(w.t, "endpoint")]
}

func (w *world) change() {
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

func (w *world) goes() {
	e := w.endpoint()
	w.gone[e.ID] = max(w.gone[e.ID], e.Life)
	w.observe(router.EndpointWithdrawn{Endpoint: e.ID, Life: e.Life})
}

func (w *world) boot(e *tables.Endpoint) tables.BootID {
	return tables.BootID(fmt.Sprintf("%s-%d", e.ID, w.boots[e.ID]))
}

func (w *world) report() {
	e := w.endpoint()
	if rapid.IntRange(0, 5).Draw(w.t, "restart") == 0 {
		w.boots[e.ID]++
	}
	version := tables.WeightsVersion(rapid.SampledFrom([]string{"w1", "w1", "w2"}).Draw(w.t, "serves"))
	if w.dead[w.boot(e)] {
		return
	}
	w.serves[e.ID] = version
	w.reported[e.ID] = w.boot(e)
	w.observe(router.LoadReport{
		Endpoint: e.ID, Boot: w.boot(e), Running: rapid.IntRange(0, 6).Draw(w.t, "running"),
		Weights: map[tables.ModelName]tables.WeightsVersion{"m": version},
	})
}

func (w *world) submit() {
	profile := rapid.SampledFrom(w.config.Profiles).Draw(w.t, "profile")
	id := tables.RequestID(fmt.Sprintf("r%d", len(w.order)))
	req := &tables.Request{
		ID: id, Organisation: "acme", Profile: profile.Name, PromptTokens: 9000, MaxTokens: 10,
		Fingerprint: tables.Fingerprint(len(w.order)), Arrived: w.now, Deadline: w.now + 20*time.Second,
		Blocks: []tables.BlockHash{1, tables.BlockHash(rapid.IntRange(2, 5).Draw(w.t, "block"))},
	}
	w.requests[id] = &seen{profile: profile}
	w.order = append(w.order, id)
	w.both(func(r *router.Router) { r.Submit(w.now, req) })
}

func (w *world) cancel() {
	if len(w.order) == 0 {
		return
	}
	id := rapid.SampledFrom(w.order).Draw(w.t, "cancel")
	w.both(func(r *router.Router) { r.Cancel(w.now, id) })
	if s := w.requests[id]; s.final == "" {
		s.final = "cancelled"
	}
}

func (w *world) progress() {
	if len(w.live) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.live)-1).Draw(w.t, "attempt")
	id := w.live[i]
	a := w.attempts[id]
	if rapid.Bool().Draw(w.t, "token") {
		w.observe(router.AttemptStarted{Attempt: id, Weights: a.weights})
		w.observe(router.FirstToken{Attempt: id, CachedTokens: 4000})
		a.sent++
		return
	}
	w.end(i, rapid.SampledFrom([]router.AttemptResult{
		router.Completed, router.NotStarted, router.Rejected, router.Unreachable, router.Interrupted, router.Crashed,
	}).Draw(w.t, "end"))
}

func (w *world) end(i int, end router.AttemptResult) {
	id := w.live[i]
	w.live = append(w.live[:i], w.live[i+1:]...)
	a := w.attempts[id]
	s := w.requests[a.request]
	s.live--
	if a.sent > 0 && provesNotRun(end) {
		end = router.Interrupted
	}
	s.mayHaveRun = s.mayHaveRun || !provesNotRun(end)
	if end == router.Completed && s.final == "" {
		s.final = "completed"
	}
	if end == router.Crashed && a.boot == w.reported[a.endpoint] {
		// What a life of the endpoint served says nothing of the next one.
		w.dead[a.boot] = a.boot != ""
		delete(w.serves, a.endpoint)
		delete(w.reported, a.endpoint)
	}
	w.observe(router.AttemptEnded{Attempt: id, Result: end, GeneratedTokens: a.sent, DeliveredTokens: a.sent})
}

func provesNotRun(end router.AttemptResult) bool {
	return end == router.NotStarted || end == router.Rejected || end == router.Unreachable
}

func (w *world) tick() {
	w.now += time.Duration(rapid.IntRange(1, 400).Draw(w.t, "ms")) * ms
	actions := w.r.Tick(w.now)
	assert.Equal(w.t, fmt.Sprint(actions), fmt.Sprint(w.twin.Tick(w.now)))
	for _, action := range actions {
		w.check(action)
	}
}

func (w *world) check(action router.Action) {
	switch a := action.(type) {
	case router.Dispatch:
		w.checkDispatch(a)
	case router.Refuse:
		s := w.requests[a.Request]
		assert.Equal(w.t, s.final, "")
		assert.Assert(w.t, !s.dispatched, "refused after a dispatch")
		s.final = "refused"
	case router.Fail:
		s := w.requests[a.Request]
		assert.Equal(w.t, s.final, "")
		assert.Assert(w.t, s.dispatched, "failed without a dispatch")
		if a.Outcome == tables.OutcomeNotRun {
			assert.Assert(w.t, !s.mayHaveRun && s.live == 0, "said not run, but it may have")
		}
		s.final = "failed"
	}
}

func (w *world) checkDispatch(d router.Dispatch) {
	s := w.requests[d.Request]
	assert.Equal(w.t, s.final, "")
	if !s.profile.Idempotent {
		assert.Assert(w.t, !s.mayHaveRun && s.live == 0, "run twice")
	}
	if s.live > 0 {
		assert.Assert(w.t, d.Hedge && s.profile.Hedge)
	}
	for _, e := range w.config.Endpoints {
		if e.ID != d.Endpoint.ID {
			continue
		}
		assert.Assert(w.t, !e.Leaving, "%s is leaving", e.ID)
		life, gone := w.gone[e.ID]
		assert.Assert(w.t, !gone || life < e.Life, "%s is gone", e.ID)
		if version, known := w.serves[e.ID]; known && e.Kind == tables.Engine {
			assert.Equal(w.t, version, d.Weights)
		}
	}
	s.live++
	s.dispatched = true
	w.attempts[d.Attempt] = &flown{request: d.Request, endpoint: d.Endpoint.ID, weights: d.Weights, boot: d.Boot, sent: d.ResumeFrom}
	w.live = append(w.live, d.Attempt)
}

func TestPromisesHoldWhateverHappens(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		steps := rapid.IntRange(1, 80).Draw(rt, "steps")
		for range steps {
			switch rapid.IntRange(0, 11).Draw(rt, "step") {
			case 0:
				w.change()
			case 1:
				w.goes()
			case 2, 3:
				w.report()
			case 4, 5, 6:
				w.submit()
			case 7:
				w.cancel()
			case 8, 9:
				w.progress()
			default:
				w.tick()
			}
		}
		w.settle()
	})
}

// settle lets everything run out; each request must have come to one end.
func (w *world) settle() {
	for range 80 {
		w.tick()
		for len(w.live) > 0 {
			w.end(0, router.Interrupted)
		}
		w.now += 500 * ms
	}
	for _, id := range w.order {
		assert.Assert(w.t, w.requests[id].final != "", "%s has no end", id)
	}
}
