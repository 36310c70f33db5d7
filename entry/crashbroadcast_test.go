package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// failRequestAfter ends the only attempt of a request with the given result,
// while a crash broadcast is under way until notified is closed, and then fails
// the request. It returns the channel that receives the failure.
func failRequestAfter(end router.AttemptResult, notified <-chan struct{}) chan *outcome.Failure {
	const id, attemptID = tables.RequestID("r1"), tables.AttemptID("a1")
	s := &Server{broadcastSuspects: func([]quarantine.Suspect) <-chan struct{} { return notified }}
	fakeRouter := &scriptedRouter{}
	f := &inFlight{
		server: s, spec: tables.Request{ID: id}, failed: make(chan *outcome.Failure, 1),
		state: outcome.NewUndispatched(id).Dispatch(attemptID),
	}
	a := &attempt{request: f, dispatch: router.Dispatch{Request: id, Attempt: attemptID}}
	f.attempts = []*attempt{a}
	l := &eventLoop{
		server: s, router: fakeRouter,
		requests: map[tables.RequestID]*inFlight{id: f},
		attempts: map[tables.AttemptID]*attempt{attemptID: a},
	}
	fakeRouter.enqueue(router.BroadcastSuspects{Suspects: []quarantine.Suspect{{Fingerprint: 1}}})
	fakeRouter.enqueue(router.Fail{Request: id, Code: tables.CodeEndpointFailed})
	l.endAttempt(0, attemptEnded{attempt: a, input: router.AttemptEnded{Attempt: attemptID, Result: end}})
	l.tick(0)
	return f.failed
}

// Guards against a request that crashes endpoints and that its caller resends
// to an instance that does not know of the crash yet.
func TestFailureWaitsForCrashBroadcast(t *testing.T) {
	notified := make(chan struct{})
	failed := failRequestAfter(router.Crashed, notified)
	assert.Equal(t, len(failed), 0, "failure delivered before the other instances were notified")
	close(notified)
	assert.Equal(t, (<-failed).Code, tables.CodeEndpointFailed)
}

// Guards against requests that crashed nothing and wait for the broadcasts of
// other crashes.
func TestFailureWithoutCrashDoesNotWaitForBroadcasts(t *testing.T) {
	failed := failRequestAfter(router.Interrupted, make(chan struct{}))
	assert.Equal(t, len(failed), 1)
}

// lateCrashRouter is a Router that broadcasts a suspect when a crash is
// detected after the end of its attempt.
type lateCrashRouter struct{ scriptedRouter }

func (c *lateCrashRouter) Observe(_ tables.Instant, in router.Input) {
	if _, late := in.(router.CrashDetected); late {
		c.enqueue(router.BroadcastSuspects{Suspects: []quarantine.Suspect{{Fingerprint: 1}}})
	}
}

// Guards against a failure that is delivered before it is known whether the
// endpoint has crashed. On a busy machine, that can take longer than the next
// attempt.
func TestFailureWaitsForCrashCheck(t *testing.T) {
	const id, attemptID = tables.RequestID("r1"), tables.AttemptID("a1")
	notified, broadcast := make(chan struct{}), make(chan struct{}, 1)
	s := &Server{
		inbox: make(chan message, 8), stopped: make(chan struct{}), limits: Limits{CrashCheckTimeout: time.Hour},
		now: func() tables.Instant { return 0 },
		broadcastSuspects: func([]quarantine.Suspect) <-chan struct{} {
			broadcast <- struct{}{}
			return notified
		},
	}
	fakeRouter := &lateCrashRouter{}
	f := &inFlight{
		server: s, spec: tables.Request{ID: id}, failed: make(chan *outcome.Failure, 1),
		state: outcome.NewUndispatched(id).Dispatch(attemptID),
	}
	a := &attempt{request: f, dispatch: router.Dispatch{Request: id, Attempt: attemptID}}
	l := &eventLoop{
		server: s, router: fakeRouter,
		requests: map[tables.RequestID]*inFlight{id: f},
		attempts: map[tables.AttemptID]*attempt{attemptID: a},
	}
	crashCheck := make(chan bool, 1)
	l.endAttempt(0, attemptEnded{attempt: a, input: router.AttemptEnded{Attempt: attemptID, Result: router.Interrupted}, crashCheck: crashCheck})
	fakeRouter.enqueue(router.Fail{Request: id, Code: tables.CodeEndpointFailed})
	l.tick(0)
	assert.Equal(t, len(f.failed), 0, "failure delivered before it was known whether the endpoint has crashed")

	crashCheck <- true
	l.handle(<-s.inbox)
	l.tick(0)
	<-broadcast
	assert.Equal(t, len(f.failed), 0, "failure delivered before the other instances were notified")
	close(notified)
	assert.Equal(t, (<-f.failed).Code, tables.CodeEndpointFailed)
}

// endRecorder is a Router that records the ends of attempts and the detected crashes.
type endRecorder struct {
	scriptedRouter
	observed []router.Input
}

func (r *endRecorder) Observe(_ tables.Instant, in router.Input) { r.observed = append(r.observed, in) }

// Guards against a request that crashes a third endpoint because it is retried before it is known
// that its first two attempts have crashed theirs.
func TestSecondInterruptionWaitsForCrashChecks(t *testing.T) {
	s := &Server{
		inbox: make(chan message, 8), stopped: make(chan struct{}), limits: Limits{CrashCheckTimeout: time.Hour},
		now:               func() tables.Instant { return 0 },
		broadcastSuspects: func([]quarantine.Suspect) <-chan struct{} { return closedChannel },
	}
	recorder := &endRecorder{}
	f := &inFlight{server: s, spec: tables.Request{ID: "r1"}, state: outcome.NewUndispatched("r1").Dispatch("a1")}
	l := &eventLoop{server: s, router: recorder, requests: map[tables.RequestID]*inFlight{"r1": f}, attempts: map[tables.AttemptID]*attempt{}}
	checks := []chan bool{make(chan bool, 1), make(chan bool, 1)}
	for i, id := range []tables.AttemptID{"a1", "a2"} {
		a := &attempt{request: f, dispatch: router.Dispatch{Request: "r1", Attempt: id}}
		l.attempts[id] = a
		l.endAttempt(0, attemptEnded{attempt: a, input: router.AttemptEnded{Attempt: id, Result: router.Interrupted}, crashCheck: checks[i]})
	}
	assert.Equal(t, len(recorder.observed), 1, "the second end was observed before the crash checks")
	checks[1] <- true
	checks[0] <- true
	l.handle(<-s.inbox)
	l.tick(0)
	l.handle(<-s.inbox)
	assert.Equal(t, len(recorder.observed), 3)
	assert.Equal(t, recorder.observed[1].(router.CrashDetected).Attempt, tables.AttemptID("a1"))
	assert.Equal(t, recorder.observed[2].(router.AttemptEnded).Result, router.Crashed)
}
