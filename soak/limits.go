package soak

import (
	"net/netip"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// limitFor is how long an endpoint names a rate limit.
	limitFor = 12 * time.Second
	// limitKnown is how long after an endpoint first named a limit it binds, limitWindow the
	// window in which arrivals are counted, and limitNoticed how long before an arrival its
	// instance must have sent another request there, whose answer names the limit.
	limitKnown   = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitNoticed = 500 * time.Millisecond
	// limitFactor and limitExtra bound the arrivals within a window: so many times the
	// limit, and so many more.
	limitFactor = 1.5
	limitExtra  = 5
)

// limitRates are the limits, in requests a second.
var limitRates = []float64{0.5, 1, 2, 5}

// limitSpan is a time in which an endpoint named a rate limit.
type limitSpan struct {
	endpoint  tables.EndpointID
	perSecond float64
	from, to  time.Time
}

// nameLimit has an endpoint name a rate limit for a while.
func nameLimit(s *strike) {
	e := s.d.places.endpoint(s.place())
	span := limitSpan{endpoint: e.ID, perSecond: limitRates[s.rng.IntN(len(limitRates))], from: time.Now()}
	if !e.SetLimit(span.perSecond) {
		return // it names one already
	}
	time.Sleep(limitFor)
	span.to = time.Now()
	e.SetLimit(0)
	s.d.ledger.limitEnded(span)
}

func (l *ledger) limitEnded(span limitSpan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, span)
}

// judgeLimits checks the rate limits that endpoints name.
func (l *ledger) judgeLimits(all []*request) {
	for _, span := range l.spans {
		times := countedArrivals(span, all)
		allowed := limitFactor*span.perSecond*limitWindow.Seconds() + limitExtra
		for _, from := range times {
			if n := within(times, from, from.Add(limitWindow)); float64(n) > allowed {
				l.breachLocked("endpoints' limits hold", "", "%s got %d requests within %v from %v, allowed %.0f",
					span.endpoint, n, limitWindow, from, allowed)
				break
			}
		}
	}
}

// countedArrivals are the arrivals that count against a limit: they come while it binds, from
// instances that know of it. A process that starts anew under the endpoint's identity names
// no limit.
func countedArrivals(span limitSpan, all []*request) []time.Time {
	var limited []platformtest.Arrival
	for _, r := range all {
		for _, a := range r.arrivals {
			if a.Endpoint == span.endpoint && a.Limit > 0 && a.At.After(span.from) && a.At.Before(span.to) {
				limited = append(limited, a)
			}
		}
	}
	slices.SortFunc(limited, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	noticed := map[netip.Addr]time.Time{}
	var times []time.Time
	for _, a := range limited {
		first, known := noticed[a.From]
		if !known {
			noticed[a.From] = a.At
			continue
		}
		if a.At.After(first.Add(limitNoticed)) && a.At.After(span.from.Add(limitKnown)) {
			times = append(times, a.At)
		}
	}
	return times
}
