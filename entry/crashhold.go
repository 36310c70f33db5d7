package entry

import (
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/router"
)

// holdEnd holds back the end of an interrupted attempt whose request has been interrupted before,
// until it is known which of the endpoints have crashed, or for Limits.CrashCheckTimeout. It reports
// whether it does; the event loop then receives the end again.
//
// The first interruption is retried at once: most have other causes, and the caller waits. A second
// one makes the request a likely cause of crashes, and a retry before the router knows of them would
// crash a third endpoint.
func (l *eventLoop) holdEnd(m attemptEnded) bool {
	f := m.attempt.request
	interrupted := m.input.Result == router.Interrupted || m.input.Result == router.Crashed
	if !interrupted || m.held {
		return false
	}
	if !f.interrupted {
		f.interrupted = true
		return false
	}
	earlier := slices.Clone(f.crashChecks)
	if m.crashCheck == nil && !anyOpen(earlier) {
		return false
	}
	m.held = true
	go func() {
		if m.crashCheck != nil {
			m.awaitCrashCheck(l.server.limits.CrashCheckTimeout)
		}
		for _, known := range earlier {
			<-known
		}
		l.server.post(m)
	}()
	return true
}

// awaitCrashCheck waits until it is known whether the attempt's endpoint has crashed, or until the
// timeout.
func (m *attemptEnded) awaitCrashCheck(timeout time.Duration) {
	select {
	case crashed := <-m.crashCheck:
		m.crashCheck = nil
		if crashed {
			m.input.Result = router.Crashed
		}
	case <-time.After(timeout):
	}
}

// anyOpen reports whether one of the channels is not closed yet.
func anyOpen(channels []<-chan struct{}) bool {
	return slices.ContainsFunc(channels, func(c <-chan struct{}) bool {
		select {
		case <-c:
			return false
		default:
			return true
		}
	})
}
