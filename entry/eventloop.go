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
	// inbox is how many messages may wait for the loop.
	inbox = 4096
	// batch bounds how many messages share one tick, so that a flood of load
	// reports cannot hold back a request for long.
	batch = 256
)

// message is something that the loop is told.
type message interface{ message() }

type (
	submitted struct{ flight *flight }
	// closed: the caller has its answer or is gone.
	closed     struct{ flight *flight }
	configured struct{ configuration *tables.Configuration }
	observed   struct{ input router.Input }
	// overdue: the router let the flight's timeout pass without an end.
	overdue struct{ flight *flight }
	// ended is the end of an attempt, with a proof if it never began.
	ended struct {
		attempt *attempt
		how     router.AttemptEnded
		proof   *outcome.NotStartedProof
		// final ends the whole request with this failure; set when the control
		// state did not let the attempt go.
		final *outcome.Failure
		// settling yields whether the endpoint of a broken attempt has crashed, where
		// that was not known in time; else it is nil.
		settling <-chan bool
	}
	// crashed: the endpoint of an attempt that ended earlier turned out to be gone.
	// release is called once the other instances are notified.
	crashed struct {
		attempt *attempt
		release func()
	}
)

func (submitted) message()  {}
func (overdue) message()    {}
func (closed) message()     {}
func (configured) message() {}
func (observed) message()   {}
func (ended) message()      {}
func (crashed) message()    {}

// loop owns the router and the flights.
type loop struct {
	server  *Server
	router  Router
	flights map[tables.RequestID]*flight
	running map[tables.AttemptID]*attempt
	passOn  func([]router.PeerPlacement)
	news    []router.PeerPlacement
	// notifying are the crash reports on their way to other instances.
	notifying []<-chan struct{}
	// releases are called once those that the next tick adds have arrived.
	releases []func()
}

// closedChannel stands for a report that nobody waits for.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// tell hands a message to the loop; it is lost only when the server is closed.
func (s *Server) tell(m message) {
	select {
	case s.inbox <- m:
	case <-s.stopped:
	}
}

// run takes messages until the server is closed.
func (l *loop) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.server.stopped:
			return
		case m := <-l.server.inbox:
			l.take(m)
			l.takeWaiting()
		case <-timer.C:
		}
		now := l.server.now()
		l.tick(now)
		timer.Reset(max(l.router.NextTick(now)-now, 0))
	}
}

// takeWaiting takes the messages that are there already, up to a batch.
func (l *loop) takeWaiting() {
	for range batch {
		select {
		case m := <-l.server.inbox:
			l.take(m)
		default:
			return
		}
	}
}

func (l *loop) take(m message) {
	now := l.server.now()
	switch m := m.(type) {
	case submitted:
		l.flights[m.flight.row.ID] = m.flight
		m.flight.queued = true
		l.router.Submit(now, &m.flight.row)
	case closed:
		l.close(now, m.flight)
	case configured:
		l.router.Configure(now, m.configuration)
	case observed:
		l.router.Observe(now, m.input)
	case ended:
		l.end(now, m)
	case crashed:
		m.attempt.flight.crashed = true
		l.router.Observe(now, router.CrashDetected{Attempt: m.attempt.dispatch.Attempt})
		l.releases = append(l.releases, m.release)
	case overdue:
		l.endOverdue(now, m.flight)
	case inspection:
		m.look()
		close(m.done)
	}
}

// close forgets a flight. Its attempts stay in running, and thereby in the
// router's account of slots, until each has ended.
func (l *loop) close(now tables.Instant, f *flight) {
	f.ended = true
	delete(l.flights, f.row.ID)
	l.router.Cancel(now, f.row.ID)
}

// endOverdue ends a flight that the router has lost sight of.
func (l *loop) endOverdue(now tables.Instant, f *flight) {
	if f.ended {
		return
	}
	events.RequestOverdue.Log(l.server.log, zap.String("request", string(f.row.ID)))
	l.router.Cancel(now, f.row.ID)
	l.fail(router.Fail{Request: f.row.ID, Code: tables.CodeTimeout})
}

func (l *loop) end(now tables.Instant, m ended) {
	id := m.attempt.dispatch.Attempt
	if _, known := l.running[id]; !known {
		return
	}
	delete(l.running, id)
	f := m.attempt.flight
	f.remove(id)
	if m.proof != nil {
		if d, ok := f.state.(*outcome.Dispatched); ok {
			f.state = d.NotStarted(*m.proof)
		}
	}
	f.crashed = f.crashed || m.how.Result == router.Crashed
	l.router.Observe(now, m.how)
	if m.settling != nil {
		f.settling = append(f.settling, l.server.settled(m.attempt, m.settling))
	}
	if m.final != nil && !f.ended {
		l.router.Cancel(now, f.row.ID)
		f.fail(m.final)
	}
}

// tick lets the router decide and carries its actions out.
func (l *loop) tick(now tables.Instant) {
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
			l.share(a.Suspects)
		}
	}
	l.release()
	l.passNews()
}

// release lets go on what waits for reports of crashes that came late.
func (l *loop) release() {
	if len(l.releases) == 0 {
		return
	}
	reports, releases := slices.Clone(l.pending()), l.releases
	l.releases = nil
	go func() {
		for _, notified := range reports {
			<-notified
		}
		for _, release := range releases {
			release()
		}
	}()
}

// settled returns a channel that is closed once it is known whether the endpoint of a
// broken attempt has crashed, and the other instances are notified if it has, or
// Limits.SettleWait has passed.
func (s *Server) settled(a *attempt, settling <-chan bool) <-chan struct{} {
	done := make(chan struct{})
	release := sync.OnceFunc(func() { close(done) })
	time.AfterFunc(s.limits.CrashCheckTimeout, release)
	go func() {
		if <-settling {
			s.tell(crashed{attempt: a, release: release})
			return
		}
		release()
	}()
	return done
}

// share notifies the other instances of a crash, and remembers that it is under way.
func (l *loop) share(suspects []quarantine.Suspect) {
	l.notifying = append(l.pending(), l.server.share(suspects))
}

// pending lists the reports that are still on their way.
func (l *loop) pending() []<-chan struct{} {
	l.notifying = slices.DeleteFunc(l.notifying, func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	})
	return l.notifying
}

// newsSource is a Decider that has placements to pass on; *router.Router is one.
type newsSource interface {
	DrainPlacements(dst []router.PeerPlacement, limit int) []router.PeerPlacement
}

// newsAtOnce bounds the placements that are passed on after one tick.
const newsAtOnce = 32

// passNews tells the other instances of placements that are new.
func (l *loop) passNews() {
	source, ok := l.router.(newsSource)
	if !ok || l.passOn == nil {
		return
	}
	l.news = source.DrainPlacements(l.news[:0], newsAtOnce)
	if len(l.news) > 0 {
		l.passOn(l.news)
	}
}

func (l *loop) dispatch(now tables.Instant, d router.Dispatch) {
	f := l.flights[d.Request]
	if f == nil || f.ended {
		l.router.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.NotStarted})
		return
	}
	if f.queued {
		f.queued = false
		l.server.metrics.ObserveQueueWait(f.row.Organisation, f.profile.Priority, now-f.row.Arrived)
	}
	a := &attempt{flight: f, dispatch: d, unsent: outcome.NewUnsentAttempt(d.Attempt)}
	a.ctx, a.cancel = context.WithCancelCause(f.ctx)
	f.state = f.state.Dispatch(d.Attempt)
	f.attempts = append(f.attempts, a)
	l.running[d.Attempt] = a
	go a.run()
}

// refuse ends a request as not run. The router says so only of requests it did
// not dispatch; were it wrong, the state would not let the caller be told so.
func (l *loop) refuse(r router.Refuse) {
	f := l.flights[r.Request]
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

func (l *loop) fail(a router.Fail) {
	f := l.flights[a.Request]
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
func (l *loop) failDispatched(f *flight, failure *outcome.Failure) {
	waits := slices.Clone(f.settling)
	if f.crashed {
		waits = append(waits, l.pending()...)
	}
	f.fail(failure, waits...)
}

func (l *loop) abort(a router.Abort) {
	if attempt := l.running[a.Attempt]; attempt != nil {
		attempt.cancel(nil)
	}
}
