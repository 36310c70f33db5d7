package soak

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

const (
	// drainLimit is the drain timeout of the instances.
	drainLimit = 8 * time.Second
	// unreadFor is how long after the last byte of a request an instance may close its connection unread.
	unreadFor = 200 * time.Millisecond
)

// explanation says whether something that was recorded explains the end of a request without a
// successful response or a refusal.
type explanation func(l *ledger, r *request) bool

// explanations are those that an ending may have. Answered and refused requests need none.
var explanations = map[ending][]explanation{
	failed:      {endpointFailed, timeLimitReached, endpointEnded, unplannedBefore},
	cut:         {entryKilled, entryPaused, linkDisturbed, endpointBrokeOff, timeLimitReached, drainLimitReached},
	unanswered:  {entryKilled, entryPaused, closedUnread, drainLimitReached},
	unconnected: {entryDown},
	abandoned:   {callerLeft, callerReadSlowly, entryPaused},
}

// judgeEndings checks that each request was answered or refused, or that something explains why not.
func (l *ledger) judgeEndings(all []*request) {
	for _, r := range all {
		how := r.ending()
		explained := how == answered || how == refused ||
			slices.ContainsFunc(explanations[how], func(explains explanation) bool { return explains(l, r) })
		if !explained {
			l.breachLocked("every request is answered", r.ID, "to %s was %s after %v, with %d arrivals and %d runs: status %d, %v",
				r.entry.Name, endingNames[how], r.done.Sub(r.sent), len(r.arrivals), len(r.runs), r.result.Status, r.result.Err)
		}
	}
}

// duringAny says whether a disruption that matches lasted at any time of a span.
func (l *ledger) duringAny(from, to time.Time, matches func(d disruption) bool) bool {
	return slices.ContainsFunc(l.disruptions, func(d disruption) bool { return d.overlaps(from, to) && matches(d) })
}

// endpointFailed: the response is the endpoint's own.
func endpointFailed(_ *ledger, r *request) bool { return r.result.Forwarded }

// endpointEnded: a process of an endpoint ended shortly before, and connections to it broke.
func endpointEnded(l *ledger, r *request) bool {
	return slices.ContainsFunc(l.exits, func(e exit) bool {
		return e.at.After(r.sent.Add(-disruptedFor)) && e.at.Before(r.done)
	})
}

// unplannedBefore: something unplanned, of which a pause of an endpoint is none, was wrong shortly before.
func unplannedBefore(l *ledger, r *request) bool {
	return l.unplanned(r.sent.Add(-disruptedFor), r.done)
}

// entryKilled: the entry instance was killed while the request was open.
func entryKilled(l *ledger, r *request) bool {
	return l.duringAny(r.sent, r.done, func(d disruption) bool { return slices.Contains(d.killed, r.entry) })
}

// entryPaused: the entry instance was paused while the request was open.
func entryPaused(l *ledger, r *request) bool {
	return l.duringAny(r.sent, r.done, func(d disruption) bool { return d.paused == r.entry })
}

// entryDown: the entry instance was killed or restarted, and may not have listened yet.
func entryDown(l *ledger, r *request) bool {
	return l.duringAny(r.sent.Add(-disruptedFor), r.done, func(d disruption) bool {
		return slices.Contains(d.killed, r.entry) || d.restarted == r.entry
	})
}

// linkDisturbed: a link between the entry instance, the instance that sent the request to an
// endpoint, and that endpoint was disturbed while the request was open.
func linkDisturbed(l *ledger, r *request) bool {
	return l.duringAny(r.sent, r.done, func(d disruption) bool {
		return d.links != nil && slices.ContainsFunc(r.arrivals, func(a platformtest.Arrival) bool {
			return joins(d.links, a.From, a.Address) || joins(d.links, r.entry.ip, a.From)
		})
	})
}

func joins(links func(from, to netip.Addr) bool, a, b netip.Addr) bool {
	return a != b && (links(a, b) || links(b, a))
}

// endpointBrokeOff: the endpoint that ran the request last broke its response off, or its process
// ended before the caller saw the end.
func endpointBrokeOff(l *ledger, r *request) bool {
	if len(r.runs) == 0 {
		return false
	}
	last := slices.MaxFunc(r.runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	return last.Fault.BreaksOff() || slices.ContainsFunc(l.exits, func(e exit) bool {
		return e.endpoint == last.Endpoint && e.at.After(last.At) && e.at.Before(r.done)
	})
}

// timeLimitReached: the response was cut at the request's deadline.
func timeLimitReached(_ *ledger, r *request) bool { return r.done.Sub(r.sent) >= r.Timeout }

// drainLimitReached: the entry instance was told to end so long before that its drain was over.
func drainLimitReached(l *ledger, r *request) bool {
	return slices.ContainsFunc(l.terms, func(s term) bool {
		limit := s.at.Add(drainLimit)
		return s.entry == r.entry && !s.again && r.sent.Before(limit) && !r.done.Before(limit) && r.done.Before(s.at.Add(grace))
	})
}

// closedUnread: the request crossed the close of its connection. It was passed on to no endpoint,
// and the caller learned of it at once.
func closedUnread(l *ledger, r *request) bool {
	return len(r.arrivals) == 0 && (r.written.IsZero() || r.done.Sub(r.written) <= unreadFor+l.stalled)
}

// callerLeft: the caller cancelled the request before its deadline.
func callerLeft(_ *ledger, r *request) bool { return r.cancelled && r.done.Sub(r.sent) < r.Timeout }

// callerReadSlowly: the caller took the response more slowly than it came.
func callerReadSlowly(_ *ledger, r *request) bool {
	return strings.HasPrefix(r.ID, platformtest.WidePrefix) && r.result.Events > 0
}
