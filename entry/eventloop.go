package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// inboxCapacity is how many messages may wait for the loop.
	inboxCapacity = 4096
	// maxMessagesPerTick bounds how many messages share one tick, so that a flood of load
	// reports cannot hold back a request for long.
	maxMessagesPerTick = 256
)

// message is something that the loop is told.
type message interface{ message() }

type (
	requestSubmitted struct{ request *inFlight }
	// requestClosed: the caller has its answer or is gone.
	requestClosed struct{ request *inFlight }
	configured    struct{ configuration *tables.Configuration }
	inputObserved struct{ input router.Input }
	// requestOverdue: the router let the flight's timeout pass without an end.
	requestOverdue struct{ request *inFlight }
	// attemptEnded is the end of an attempt, with a proof if it never began.
	attemptEnded struct {
		attempt *attempt
		input   router.AttemptEnded
		proof   *outcome.NotStartedProof
		// requestFailure ends the whole request with this failure; set when the control
		// state did not let the attempt go.
		requestFailure *outcome.Failure
		// crashCheck yields whether the endpoint of a broken attempt has crashed, where
		// that was not known in time; else it is nil.
		crashCheck <-chan bool
	}
	// crashDetected: the endpoint of an attempt that ended earlier turned out to be gone.
	// release is called once the other instances are notified.
	crashDetected struct {
		attempt *attempt
		release func()
	}
)

func (requestSubmitted) message() {}
func (requestOverdue) message()   {}
func (requestClosed) message()    {}
func (configured) message()       {}
func (inputObserved) message()    {}
func (attemptEnded) message()     {}
func (crashDetected) message()    {}

// eventLoop owns the router and the flights.
type eventLoop struct {
	server           *Server
	router           Router
	requests         map[tables.RequestID]*inFlight
	attempts         map[tables.AttemptID]*attempt
	gossipPlacements func([]router.PeerPlacement)
	placements       []router.PeerPlacement
	// broadcasts are the crash reports on their way to other instances.
	broadcasts []<-chan struct{}
	// pendingReleases are called once those that the next tick adds have arrived.
	pendingReleases []func()
}

// closedChannel stands for a report that nobody waits for.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// post hands a message to the loop; it is lost only when the server is closed.
func (s *Server) post(m message) {
	select {
	case s.inbox <- m:
	case <-s.stopped:
	}
}

// run takes messages until the server is closed.
func (l *eventLoop) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.server.stopped:
			return
		case m := <-l.server.inbox:
			l.handle(m)
			l.handleQueued()
		case <-timer.C:
		}
		now := l.server.now()
		l.tick(now)
		timer.Reset(max(l.router.NextTick(now)-now, 0))
	}
}

// handleQueued takes the messages that are there already, up to a batch.
func (l *eventLoop) handleQueued() {
	for range maxMessagesPerTick {
		select {
		case m := <-l.server.inbox:
			l.handle(m)
		default:
			return
		}
	}
}

func (l *eventLoop) handle(m message) {
	now := l.server.now()
	switch m := m.(type) {
	case requestSubmitted:
		l.requests[m.request.spec.ID] = m.request
		m.request.queued = true
		l.router.Submit(now, &m.request.spec)
	case requestClosed:
		l.closeRequest(now, m.request)
	case configured:
		l.router.Configure(now, m.configuration)
	case inputObserved:
		l.router.Observe(now, m.input)
	case attemptEnded:
		l.endAttempt(now, m)
	case crashDetected:
		m.attempt.request.endpointCrashed = true
		l.router.Observe(now, router.CrashDetected{Attempt: m.attempt.dispatch.Attempt})
		l.pendingReleases = append(l.pendingReleases, m.release)
	case requestOverdue:
		l.failOverdue(now, m.request)
	case loopTask:
		m.run()
		close(m.done)
	}
}

// closeRequest forgets a flight. Its attempts stay in running, and thereby in the
// router's account of slots, until each has ended.
func (l *eventLoop) closeRequest(now tables.Instant, f *inFlight) {
	f.ended = true
	delete(l.requests, f.spec.ID)
	l.router.Cancel(now, f.spec.ID)
}

// failOverdue ends a flight that the router has lost sight of.
func (l *eventLoop) failOverdue(now tables.Instant, f *inFlight) {
	if f.ended {
		return
	}
	events.RequestOverdue.Log(l.server.log, zap.String("request", string(f.spec.ID)))
	l.router.Cancel(now, f.spec.ID)
	l.fail(router.Fail{Request: f.spec.ID, Code: tables.CodeTimeout})
}

func (l *eventLoop) endAttempt(now tables.Instant, m attemptEnded) {
	id := m.attempt.dispatch.Attempt
	if _, known := l.attempts[id]; !known {
		return
	}
	delete(l.attempts, id)
	f := m.attempt.request
	f.removeAttempt(id)
	if m.proof != nil {
		if d, ok := f.state.(*outcome.Dispatched); ok {
			f.state = d.NotStarted(*m.proof)
		}
	}
	f.endpointCrashed = f.endpointCrashed || m.input.Result == router.Crashed
	l.router.Observe(now, m.input)
	if m.crashCheck != nil {
		f.crashChecks = append(f.crashChecks, l.server.awaitCrashCheck(m.attempt, m.crashCheck))
	}
	if m.requestFailure != nil && !f.ended {
		l.router.Cancel(now, f.spec.ID)
		f.fail(m.requestFailure)
	}
}

// tick lets the router decide and carries its actions out.
func (l *eventLoop) tick(now tables.Instant) {
	for _, action := range l.router.Tick(now) {
		switch a := action.(type) {
		case router.Dispatch:
			l.dispatch(now, a)
		case router.Refuse:
			l.refuse(a)
		case router.Fail:
			l.fail(a)
		case router.Abort:
			l.abort(a)
		case router.BroadcastSuspects:
			l.broadcastSuspects(a.Suspects)
		}
	}
	l.releaseAfterBroadcasts()
	l.drainPlacements()
}

// releaseAfterBroadcasts lets go on what waits for reports of crashes that came late.
func (l *eventLoop) releaseAfterBroadcasts() {
	if len(l.pendingReleases) == 0 {
		return
	}
	broadcasts, releases := slices.Clone(l.pendingBroadcasts()), l.pendingReleases
	l.pendingReleases = nil
	go func() {
		for _, notified := range broadcasts {
			<-notified
		}
		for _, release := range releases {
			release()
		}
	}()
}

// awaitCrashCheck returns a channel that is closed once it is known whether the endpoint of a
// broken attempt has crashed, and the other instances are notified if it has, or
// Limits.SettleWait has passed.
func (s *Server) awaitCrashCheck(a *attempt, crashCheck <-chan bool) <-chan struct{} {
	done := make(chan struct{})
	release := sync.OnceFunc(func() { close(done) })
	time.AfterFunc(s.limits.CrashCheckTimeout, release)
	go func() {
		if <-crashCheck {
			s.post(crashDetected{attempt: a, release: release})
			return
		}
		release()
	}()
	return done
}

// broadcastSuspects notifies the other instances of a crash, and remembers that it is under way.
func (l *eventLoop) broadcastSuspects(suspects []quarantine.Suspect) {
	l.broadcasts = append(l.pendingBroadcasts(), l.server.broadcastSuspects(suspects))
}

// pendingBroadcasts lists the reports that are still on their way.
func (l *eventLoop) pendingBroadcasts() []<-chan struct{} {
	l.broadcasts = slices.DeleteFunc(l.broadcasts, func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	})
	return l.broadcasts
}

// placementSource is a Decider that has placements to pass on; *router.Router is one.
type placementSource interface {
	DrainPlacements(dst []router.PeerPlacement, limit int) []router.PeerPlacement
}

// maxPlacementsPerTick bounds the placements that are passed on after one tick.
const maxPlacementsPerTick = 32

// drainPlacements tells the other instances of placements that are new.
func (l *eventLoop) drainPlacements() {
	source, ok := l.router.(placementSource)
	if !ok || l.gossipPlacements == nil {
		return
	}
	l.placements = source.DrainPlacements(l.placements[:0], maxPlacementsPerTick)
	if len(l.placements) > 0 {
		l.gossipPlacements(l.placements)
	}
}

func (l *eventLoop) dispatch(now tables.Instant, d router.Dispatch) {
	f := l.requests[d.Request]
	if f == nil || f.ended {
		l.router.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.NotStarted})
		return
	}
	if f.queued {
		f.queued = false
		l.server.metrics.ObserveQueueWait(f.spec.Organisation, f.profile.Priority, now-f.spec.Arrived)
	}
	a := &attempt{request: f, dispatch: d, unsent: outcome.NewUnsentAttempt(d.Attempt)}
	a.ctx, a.cancel = context.WithCancelCause(f.ctx)
	f.state = f.state.Dispatch(d.Attempt)
	f.attempts = append(f.attempts, a)
	l.attempts[d.Attempt] = a
	go a.run()
}

// refuse ends a request as not run. The router says so only of requests it did
// not dispatch; were it wrong, the state would not let the caller be told so.
func (l *eventLoop) refuse(r router.Refuse) {
	f := l.requests[r.Request]
	if f == nil {
		return
	}
	switch state := f.state.(type) {
	case *outcome.Undispatched:
		f.fail(state.Refuse(r.Refusal))
	case *outcome.Dispatched:
		events.RefusedAfterDispatch.Log(l.server.log, zap.String("request", string(r.Request)))
		f.fail(state.Fail(r.Refusal.Code, outcome.MayHaveRun, r.Refusal.RetryAfter))
	}
}

func (l *eventLoop) fail(a router.Fail) {
	f := l.requests[a.Request]
	if f == nil {
		return
	}
	possible := outcome.MayHaveRun
	if a.Outcome == tables.OutcomeRan {
		possible = outcome.HasRun
	}
	switch state := f.state.(type) {
	case *outcome.Undispatched:
		f.fail(state.Refuse(tables.Refusal{Code: a.Code, RetryAfter: a.RetryAfter}))
	case *outcome.Dispatched:
		l.failDispatched(f, state.Fail(a.Code, possible, a.RetryAfter))
	}
}

// failDispatched ends a request that may have run. One that has crashed an endpoint is
// answered only after the other instances were notified: its caller sends it again at
// once, and an instance that knows nothing of the crash would run it at further endpoints.
func (l *eventLoop) failDispatched(f *inFlight, failure *outcome.Failure) {
	waits := slices.Clone(f.crashChecks)
	if f.endpointCrashed {
		waits = append(waits, l.pendingBroadcasts()...)
	}
	f.fail(failure, waits...)
}

func (l *eventLoop) abort(a router.Abort) {
	if attempt := l.attempts[a.Attempt]; attempt != nil {
		attempt.cancel(nil)
	}
}
