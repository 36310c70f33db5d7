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
	"github.com/carawaystile/carawaystile/systems/quarantine/quarantinelog"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// inboxCapacity is the number of messages that the queue of the event loop
	// holds.
	inboxCapacity = 4096
	// maxMessagesPerTick bounds the number of queued messages that share one
	// tick, so that a burst of load reports cannot delay a request for long.
	maxMessagesPerTick = 256
)

// message is an input of the event loop.
type message interface{ message() }

type (
	requestSubmitted struct{ request *inFlight }
	// requestClosed: the caller has its response or has disconnected.
	requestClosed struct{ request *inFlight }
	configured    struct{ configuration *tables.Configuration }
	inputObserved struct{ input router.Input }
	// requestOverdue: the request's timeout has passed, and the router has not
	// ended it.
	requestOverdue struct{ request *inFlight }
	// attemptEnded is the end of an attempt, with a proof if the attempt did
	// not start.
	attemptEnded struct {
		attempt *attempt
		input   router.AttemptEnded
		proof   *outcome.NotStartedProof
		// requestFailure, if not nil, ends the whole request. It is set when
		// the control state did not record the dispatch, so that the attempt
		// could not be sent.
		requestFailure *outcome.Failure
		// crashCheck delivers whether the endpoint of an interrupted attempt
		// has crashed. It is nil if that was known in time.
		crashCheck <-chan bool
		// held is set once the end has been held back by holdEnd.
		held bool
	}
	// crashDetected: the endpoint of an attempt that ended earlier turned out
	// to have crashed. release is called once the other instances are notified.
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

// eventLoop is a single goroutine that owns the router and the requests in
// flight. Other goroutines reach them only by messages.
type eventLoop struct {
	server   *Server
	router   Router
	requests map[tables.RequestID]*inFlight
	// attempts are the attempts that have not ended, including those of
	// requests that are closed.
	attempts         map[tables.AttemptID]*attempt
	gossipPlacements func([]router.PeerPlacement)
	placements       []router.PeerPlacement
	// broadcasts are the crash broadcasts that have not reached the other
	// instances yet.
	broadcasts []<-chan struct{}
	// pendingReleases are called once the broadcasts of the next tick have
	// arrived.
	pendingReleases []func()
}

// closedChannel stands for a broadcast that nobody needs to wait for.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// post sends a message to the event loop. The message is lost only if the
// server is closed.
func (s *Server) post(m message) {
	select {
	case s.inbox <- m:
	case <-s.stopped:
	}
}

// run handles messages and runs the router until the server is closed.
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

// handleQueued handles the messages that are already queued, up to
// maxMessagesPerTick.
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

// handle applies one message.
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

// closeRequest removes a request. Its attempts stay in attempts, and so in the
// router's count of used slots, until each has ended.
func (l *eventLoop) closeRequest(now tables.Instant, f *inFlight) {
	f.ended = true
	delete(l.requests, f.spec.ID)
	l.router.Cancel(now, f.spec.ID)
}

// failOverdue ends a request that the router has lost track of.
func (l *eventLoop) failOverdue(now tables.Instant, f *inFlight) {
	if f.ended {
		return
	}
	events.RequestOverdue.Log(l.server.log, zap.String("request", string(f.spec.ID)))
	l.router.Cancel(now, f.spec.ID)
	l.fail(router.Fail{Request: f.spec.ID, Code: tables.CodeTimeout})
}

// endAttempt applies the end of an attempt to its request and to the router.
func (l *eventLoop) endAttempt(now tables.Instant, m attemptEnded) {
	id := m.attempt.dispatch.Attempt
	if _, known := l.attempts[id]; !known {
		return
	}
	if l.holdEnd(m) {
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

// tick runs the router and executes the resulting actions.
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
		case router.GossipConvictions:
			l.server.gossipConvictions(a.Convictions)
		case router.PartsChanged:
			quarantinelog.PartChanges(l.server.log, a.Changes)
		}
	}
	l.releaseAfterBroadcasts()
	l.drainPlacements()
}

// releaseAfterBroadcasts calls the pending releases once all current crash
// broadcasts have arrived.
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

// awaitCrashCheck returns a channel that is closed once it is known whether the
// endpoint of an interrupted attempt has crashed. If it has, the channel is
// closed only after the other instances are notified. The channel is closed
// after Limits.CrashCheckTimeout at the latest.
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

// broadcastSuspects notifies the other instances of a crash and keeps track of
// the broadcast.
func (l *eventLoop) broadcastSuspects(suspects []quarantine.Suspect) {
	l.broadcasts = append(l.pendingBroadcasts(), l.server.broadcastSuspects(suspects))
}

// pendingBroadcasts returns the broadcasts that have not arrived yet.
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

// placementSource is a Router that queues placements to gossip; *router.Router
// implements it.
type placementSource interface {
	DrainPlacements(dst []router.PeerPlacement, limit int) []router.PeerPlacement
}

// maxPlacementsPerTick bounds the placements that are gossiped after one tick.
const maxPlacementsPerTick = 32

// drainPlacements moves new placements from the router's queue to the gossip
// function.
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

// dispatch starts an attempt. If the request has ended, the attempt is reported
// as not started.
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

// refuse ends a request as not run. The router refuses only requests that it
// did not dispatch. If it refused a dispatched one, the type of its state would
// permit only an unknown outcome.
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

// fail ends a request that cannot be completed.
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

// failDispatched ends a request that may have run. If the request has crashed
// an endpoint, its failure is delivered only after the other instances are
// notified. The caller resends the request at once, and an instance that does
// not know of the crash would run it at further endpoints.
func (l *eventLoop) failDispatched(f *inFlight, failure *outcome.Failure) {
	waits := slices.Clone(f.crashChecks)
	if f.endpointCrashed {
		waits = append(waits, l.pendingBroadcasts()...)
	}
	f.fail(failure, waits...)
}

// abort cancels an attempt.
func (l *eventLoop) abort(a router.Abort) {
	if attempt := l.attempts[a.Attempt]; attempt != nil {
		attempt.cancel(nil)
	}
}
