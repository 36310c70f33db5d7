package soak

import (
	"net/netip"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// pushbackFor is how long an endpoint rejects all requests.
	pushbackFor = 8 * time.Second
	// pushbackNoticed is how long after a pushback it binds the instance, and pushbackAllowed
	// how many requests may reach the endpoint from there all the same.
	pushbackNoticed = 500 * time.Millisecond
	pushbackAllowed = 2
	// drainBound is how long after an instance has passed on an answer that announces the
	// endpoint's end a request may be sent that still reaches the endpoint from there.
	drainBound = 3 * time.Second
)

// pushbackTimes are the back-offs that endpoints request.
var pushbackTimes = []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}

// pushBack has an endpoint reject all requests for a while.
func pushBack(s *strike) {
	e := s.d.places.endpoint(s.place())
	if !e.SetPushback(pushbackTimes[s.rng.IntN(len(pushbackTimes))]) {
		return // it does so already
	}
	time.Sleep(pushbackFor)
	e.SetPushback(0)
}

// forgetful are the disruptions after which an instance need not know what an endpoint has
// announced to it, and cutting those that may keep the announcement from it.
var (
	forgetful = []string{"kill an entry", "kill half of all", "pause an entry", "restart an entry", powerLossFault}
	cutting   = []string{"cut a zone", "cut an instance one way", "mute open connections", "reset open connections"}
)

// excused reports whether one of the named disruptions lasted at any time of a span.
func (l *ledger) excused(from, to time.Time, names ...string) bool {
	return slices.ContainsFunc(l.disruptions, func(d disruption) bool {
		return slices.Contains(names, d.what) && d.overlaps(from, to)
	})
}

// pair is an instance and a process of an endpoint.
type pair struct {
	from     netip.Addr
	endpoint tables.EndpointID
	start    int64
}

// arrivalOf is an arrival with its request.
type arrivalOf struct {
	platformtest.Arrival
	request *request
}

// arrivalsByPair returns all arrivals in order of time.
func arrivalsByPair(all []*request) map[pair][]arrivalOf {
	found := map[pair][]arrivalOf{}
	for _, r := range all {
		for _, a := range r.arrivals {
			key := pair{from: a.From, endpoint: a.Endpoint, start: a.Start}
			found[key] = append(found[key], arrivalOf{a, r})
		}
	}
	for _, arrivals := range found {
		slices.SortFunc(arrivals, func(a, b arrivalOf) int { return a.At.Compare(b.At) })
	}
	return found
}

// judgePushbacks checks that an endpoint gets no requests from an instance that it has
// requested a back-off.
func (l *ledger) judgePushbacks(all []*request) {
	for key, arrivals := range arrivalsByPair(all) {
		for _, pushback := range arrivals {
			from, to := pushback.At.Add(pushbackNoticed), pushback.At.Add(pushback.RetryAfter)
			count := 0
			for _, a := range arrivals {
				if a.At.After(from) && a.At.Before(to) {
					count++
				}
			}
			if count > pushbackAllowed && !l.excused(pushback.At.Add(-time.Second), to, slices.Concat(forgetful, cutting)...) {
				l.breachLocked("pushbacks are kept", pushback.Request, "%s had asked %s for %v without requests, and got %d",
					key.endpoint, key.from, pushback.RetryAfter, count)
				break
			}
		}
	}
}

// judgeAnnouncedDrains checks that an endpoint gets no requests from an instance that has
// passed on its announcement long before.
func (l *ledger) judgeAnnouncedDrains(all []*request) {
	for key, arrivals := range arrivalsByPair(all) {
		answered := slices.DeleteFunc(slices.Clone(arrivals), func(a arrivalOf) bool {
			ran := slices.ContainsFunc(a.request.runs, func(r platformtest.Run) bool { return r.Endpoint == key.endpoint })
			return !a.Draining || !ran || len(a.request.runs) > 1 || !a.request.result.Complete
		})
		if len(answered) == 0 {
			continue
		}
		passedOn := slices.MinFunc(answered, func(a, b arrivalOf) int {
			return a.request.done.Compare(b.request.done)
		}).request.done
		for _, a := range arrivals {
			if a.request.sent.After(passedOn.Add(drainBound)) && !l.excused(passedOn, a.At, forgetful...) {
				l.breachLocked("announced drains are kept", a.Request, "reached %s from %s %v after an answer that announced its end",
					key.endpoint, key.from, a.request.sent.Sub(passedOn))
				break
			}
		}
	}
}
