package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// scriptedRouter is a Router that returns the actions that the test has
// enqueued.
type scriptedRouter struct {
	mu        sync.Mutex
	actions   []router.Action
	submitted []tables.RequestID
	onSubmit  func(*scriptedRouter, *tables.Request)
}

func (s *scriptedRouter) Configure(tables.Instant, *tables.Configuration) {}
func (s *scriptedRouter) Observe(tables.Instant, router.Input)            {}
func (s *scriptedRouter) Cancel(tables.Instant, tables.RequestID)         {}

func (s *scriptedRouter) Submit(_ tables.Instant, r *tables.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submitted = append(s.submitted, r.ID)
	s.onSubmit(s, r)
}

func (s *scriptedRouter) Tick(tables.Instant) []router.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *scriptedRouter) NextTick(now tables.Instant) tables.Instant { return now + time.Hour }

func (s *scriptedRouter) enqueue(a router.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions = append(s.actions, a)
}

// Guards against a caller that waits forever. The router aborts the attempt at
// a slow plain service, and the complete response arrives at the same moment.
// The response was dropped while the attempt was reported as completed, so
// nothing ended the request. Found when four demos ran at once on a busy
// machine.
func TestServiceResponseRacingAbortIsDelivered(t *testing.T) {
	for range 20 {
		s := &scriptedRouter{onSubmit: func(s *scriptedRouter, r *tables.Request) {
			s.actions = append(s.actions, router.Dispatch{Request: r.ID, Attempt: "a1"})
		}}
		r := newHarness(t, func(o *Options) { o.Router = s })
		called, release := make(chan struct{}), make(chan struct{})
		r.client.call = []func(engine.CallRequest) (engine.CallResponse, error){
			func(req engine.CallRequest) (engine.CallResponse, error) {
				close(called)
				<-release
				return engine.CallResponse{Attempt: req.Attempt, Status: http.StatusOK, Body: []byte("found")}, nil
			},
		}
		got := make(chan string, 1)
		go func() {
			resp := r.post(t, t.Context(), "/v1/services/notes/find", "x", "Content-Type", "application/octet-stream")
			got <- read(t, resp)
		}()
		<-called
		s.enqueue(router.Abort{Attempt: "a1"})
		assert.Assert(t, r.server.RunInEventLoop(func() {}))
		assert.Assert(t, r.server.RunInEventLoop(func() {}), "the tick after the first call has ended")
		close(release)
		select {
		case answer := <-got:
			assert.Equal(t, answer, "found")
		case <-time.After(testWait):
			t.Fatal("the caller got no response")
		}
	}
}

// Guards against a request that never ends because the router and the entry
// disagree on whether it is open. Whatever the cause, the caller gets a failure
// with the true outcome after the timeout.
func TestRequestLostByRouterTimesOut(t *testing.T) {
	s := &scriptedRouter{onSubmit: func(*scriptedRouter, *tables.Request) {}}
	r := newHarness(t, func(o *Options) {
		o.Router = s
		o.Limits.DeadlineGrace = time.Nanosecond
	})
	c := testConfiguration()
	for i := range c.Profiles {
		c.Profiles[i].Timeout = time.Millisecond
	}
	r.server.Configure(c)
	resp := r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","max_tokens":1}`)
	failure := failureIn(t, read(t, resp))
	assert.Equal(t, tables.ErrorCode(failure.Code), tables.CodeTimeout)
	assert.Equal(t, string(failure.Outcome), string(tables.OutcomeNotRun))
}
