package soak

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/tables"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// at is a moment of the made-up runs below, in seconds.
func at(seconds float64) time.Time { return noon.Add(time.Duration(seconds * float64(time.Second))) }

// sound is a request that was served as it should be.
func sound(id string, k *kind) *request {
	r := &request{
		kind: k, entry: &instance{Process: &Process{Name: "entry-0"}}, life: 1, lifeEnd: 1, sent: at(10), done: at(11),
		ClientRequest: platformtest.ClientRequest{ID: id, Host: host, Path: k.route.Prefix + id, Key: keyCommon, Body: []byte(id), Tokens: k.tokens},
		result:        platformtest.Result{Status: http.StatusOK, Complete: true},
	}
	r.runs = []platformtest.Run{run(r, "i-1", 10.2)}
	r.arrivals = []platformtest.Arrival{arrival(r, 10.1)}
	return r
}

// arrival is one at an endpoint of the service that the request is for.
func arrival(r *request, seconds float64) platformtest.Arrival {
	return platformtest.Arrival{At: at(seconds), Request: r.ID, Service: r.kind.service, Endpoint: "i-1"}
}

// run is a run of a request as an endpoint should see it.
func run(r *request, endpoint tables.EndpointID, seconds float64) platformtest.Run {
	return platformtest.Run{
		At: at(seconds), Request: r.ID, Method: http.MethodPost, Target: r.Path, Host: r.Host, Tokens: r.Tokens,
		Body: platformtest.Digest(r.Body), Organisation: common, Service: r.kind.service, Endpoint: endpoint,
	}
}

// judged returns the promises that are found broken.
func judged(change func(l *ledger)) []string {
	l := newLedger()
	l.timed = true
	change(l)
	l.judge()
	var broken []string
	for _, b := range l.breaches {
		broken = append(broken, b.Promise)
	}
	return broken
}

// A check that finds nothing is worth nothing: each promise is broken once here,
// and the soak has to say which.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	once, safe, check, draft := kinds[0], kinds[1], kinds[2], kinds[3]
	one := func(k *kind, change func(r *request)) func(l *ledger) {
		return func(l *ledger) {
			r := sound("r1", k)
			change(r)
			l.requests[r.ID] = r
		}
	}
	type broken struct {
		promise string
		change  func(l *ledger)
	}
	cases := map[string]broken{
		"an answer of another request": {"answers are an endpoint's own", one(safe, func(r *request) { r.result.Violation = "x" })},
		"a proper request denied":      {"proper requests are allowed", one(safe, func(r *request) { r.result.Status = 404 })},
		"work run twice":               {"work runs at most once", one(once, func(r *request) { r.runs = append(r.runs, run(r, "i-2", 10.5)) })},
		"a stream begun twice":         {"work runs at most once", one(check, func(r *request) { r.runs = append(r.runs, run(r, "i-2", 10.5)) })},
		"refused and run": {"what is refused has not run", one(once, func(r *request) {
			r.result = platformtest.Result{Status: http.StatusServiceUnavailable}
		})},
		"a third attempt": {"attempts are bounded", one(draft, func(r *request) {
			r.runs = append(r.runs, run(r, "i-2", 10.5), run(r, "i-3", 10.7))
		})},
		"another body":         {"requests run as they were sent", one(safe, func(r *request) { r.runs[0].Body++ })},
		"another prompt":       {"requests run as they were sent", one(draft, func(r *request) { r.runs[0].Prefix = "x:1" })},
		"the key passed on":    {"requests run as they were sent", one(safe, func(r *request) { r.runs[0].Key = "Bearer k" })},
		"a forged header":      {"requests run as they were sent", one(safe, func(r *request) { r.runs[0].Reserved = []string{"X"} })},
		"another organisation": {"requests run as they were sent", one(safe, func(r *request) { r.runs[0].Organisation = alone })},
		"another service":      {"requests run as they were sent", one(safe, func(r *request) { r.runs[0].Service = serviceModels })},
		"cached under other weights": {"requests run as they were sent", one(draft, func(r *request) {
			r.runs[0].StaleCache = true
		})},
		"cached for the isolated": {"requests run as they were sent", one(draft, func(r *request) {
			r.runs[0].ForeignOrganisations = []string{alone}
		})},
		"an answer cut by a drain": {"a drain cuts nothing", func(l *ledger) {
			r := sound("r1", safe)
			r.result, r.lifeEnd = platformtest.Result{Err: io.ErrUnexpectedEOF}, 2
			l.requests[r.ID] = r
			l.disruptions = []disruption{{what: "restart an entry", planned: true, from: at(9), to: at(12)}}
		}},
		"an answer cut by a second signal to end": {"a drain cuts nothing", func(l *ledger) {
			r := sound("r1", safe)
			r.result, r.lifeEnd = platformtest.Result{Err: io.ErrUnexpectedEOF}, 2
			l.requests[r.ID] = r
			l.disruptions = []disruption{{what: "restart an entry", planned: true, from: at(9), to: at(12)}}
			l.terms = []term{{entry: r.entry, at: at(9)}, {entry: r.entry, at: at(10.5), again: true}}
		}},
		"an older configuration again": {"configurations do not go back", func(l *ledger) {
			before, after := sound("r1", safe), sound("r2", safe)
			after.entry = before.entry
			before.Key, after.Key = keyProbe, keyProbe
			before.runs[0].Organisation, after.runs[0].Organisation = organisationOf(7), organisationOf(6)
			after.sent = at(12)
			l.requests["r1"], l.requests["r2"] = before, after
		}},
		"too much use": {"rate limits hold", func(l *ledger) {
			l.limited = true
			for n := range 1000 {
				r := sound(organisationOf(uint64(n)), draft)
				r.runs[0].At = at(10 + float64(n)*0.007)
				l.requests[r.ID] = r
			}
		}},
		"too many repeats": {"repeats are bounded", func(l *ledger) {
			for n := range 200 {
				r := sound(organisationOf(uint64(n)), draft)
				r.arrivals = append(r.arrivals, arrival(r, 10.4))
				l.requests[r.ID] = r
			}
		}},
		"too many repeats at addresses of another service": {"repeats are bounded", func(l *ledger) {
			for n := range 200 {
				r := sound(organisationOf(uint64(n)), draft)
				elsewhere := arrival(r, 10.4)
				elsewhere.Service = serviceDesk
				r.arrivals = append(r.arrivals, elsewhere)
				l.requests[r.ID] = r
			}
		}},
		"an endpoint gets more than it takes": {"endpoints' limits hold", func(l *ledger) {
			l.spans = []limitSpan{{endpoint: "i-1", perSecond: 1, from: at(5), to: at(17)}}
			for n := range 40 {
				r := sound(organisationOf(uint64(n)), safe)
				limited := arrival(r, 7+0.1*float64(n))
				limited.Limit = 1
				r.arrivals = []platformtest.Arrival{limited}
				l.requests[r.ID] = r
			}
		}},
		"crashes go on": {"what crashes endpoints is kept off", func(l *ledger) {
			r := sound("p1", safe)
			r.Path = poisonPath
			r.runs = nil
			for n := range 8 {
				r.runs = append(r.runs, run(r, "i-1", 10+float64(n)*2))
			}
			l.requests[r.ID] = r
		}},
		"a part goes on crashing endpoints": {"parts of prompts that crash endpoints are kept off", func(l *ledger) {
			for n := range 12 {
				r := sound(organisationOf(uint64(n)), kinds[3])
				r.badPart, r.sent = "bad", at(10+float64(n))
				r.runs[0].At = at(10 + float64(n))
				l.requests[r.ID] = r
			}
		}},
		"sound requests beside a bad part do not run": {"sound requests are served beside bad ones", func(l *ledger) {
			for n, id := range []string{"bad-1", "bad-2"} {
				r := sound(id, kinds[3])
				r.badPart, r.sent = "bad", at(10+float64(30*n))
				r.runs = r.runs[:1-n]
				l.requests[r.ID] = r
			}
			for n := range 60 {
				r := sound(organisationOf(uint64(n)), kinds[3])
				r.sent, r.done = at(float64(n)), at(float64(n)+0.5)
				if n > 20 && n < 40 && n%3 > 0 {
					r.runs = nil
				}
				l.requests[r.ID] = r
			}
		}},
		"a change comes late": {"changes are in force in time", func(l *ledger) {
			l.documents = map[uint64]*document{3: {number: 3, acked: at(1)}, 4: {number: 4, acked: at(2)}}
			r := sound("r1", safe)
			r.runs[0].Organisation = organisationOf(3)
			l.requests[r.ID] = r
		}},
		"a change comes late beside a cut of the control group": {"changes are in force in time", func(l *ledger) {
			l.documents = map[uint64]*document{3: {number: 3, acked: at(0)}, 4: {number: 4, acked: at(0.5)}}
			l.disruptions = []disruption{{what: "a control instance misses changes", control: true, from: at(0), to: at(12)}}
			r := sound("r1", safe)
			r.runs[0].Organisation = organisationOf(3)
			l.requests[r.ID] = r
		}},
		"requests in a pushback": {"pushbacks are kept", func(l *ledger) {
			for n := range 4 {
				r := sound(organisationOf(uint64(n)), safe)
				r.arrivals[0].At = at(10 + 0.7*float64(n))
				r.arrivals[0].RetryAfter = 3 * time.Second
				l.requests[r.ID] = r
			}
		}},
		"a request after an announced end": {"announced drains are kept", func(l *ledger) {
			before, after := sound("r1", safe), sound("r2", safe)
			before.arrivals[0].Draining, after.arrivals[0].Draining = true, true
			after.sent = at(14.1)
			l.requests["r1"], l.requests["r2"] = before, after
		}},
		"two give orders": {"one holder orders at a time", func(l *ledger) {
			l.orders = []platformtest.Order{
				{Fence: 4, From: netip.MustParseAddr("127.0.0.1")}, {Fence: 4, From: netip.MustParseAddr("127.0.0.2")},
			}
		}},
	}
	for name, pair := range endingCases() {
		cases["unexplained: "+name] = broken{"every request is answered", func(l *ledger) {
			r := pair[1](l)
			l.requests[r.ID] = r
		}}
	}
	for name, c := range cases {
		broken := judged(c.change)
		assert.Assert(t, len(broken) > 0 && contains(broken, c.promise), "%s: found %v", name, broken)
	}
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}

// What is allowed must not be reported, or nobody reads the reports.
func TestWhatIsAllowedIsNotReported(t *testing.T) {
	broken := judged(func(l *ledger) {
		for n, k := range kinds {
			r := sound(organisationOf(uint64(n)), k)
			l.requests[r.ID] = r
		}
		resumed := sound("resumed", kinds[3])
		resumed.runs = append(resumed.runs, run(resumed, "i-2", 10.5))
		resumed.arrivals = append(resumed.arrivals, arrival(resumed, 10.5))
		l.requests[resumed.ID] = resumed
		killed := sound("killed", kinds[1])
		killed.result, killed.lifeEnd, killed.connected = platformtest.Result{Err: errors.New("reset")}, 2, true
		l.requests[killed.ID] = killed
		l.disruptions = []disruption{
			{what: "restart an entry", planned: true, from: at(9), to: at(12)},
			{what: "kill an entry", from: at(9), to: at(12), killed: []*instance{killed.entry}},
		}
		l.spans = []limitSpan{{endpoint: "i-1", perSecond: 1, from: at(5), to: at(17)}}
		for n := range 40 {
			r := sound(organisationOf(uint64(500+n)), kinds[1])
			r.arrivals = []platformtest.Arrival{arrival(r, 9+0.05*float64(n))}
			l.requests[r.ID] = r
		}
	})
	assert.Equal(t, len(broken), 0, "%v", broken)
}

// Requests on their way at a pushback, of a process before or of an instance that was restarted
// since are allowed.
func TestAllowedArrivalsAreNoPushbackBreach(t *testing.T) {
	broken := judged(func(l *ledger) {
		for n := range 12 {
			r := sound(organisationOf(uint64(n)), kinds[1])
			r.arrivals[0].At = at(10 + 0.04*float64(n))
			r.arrivals[0].RetryAfter = time.Second
			l.requests[r.ID] = r
		}
		for n := range 3 {
			restarted := sound(organisationOf(uint64(100+n)), kinds[1])
			restarted.arrivals[0].At, restarted.arrivals[0].Start = at(10.7), 2
			l.requests[restarted.ID] = restarted
		}
		for n := range 6 {
			r := sound(organisationOf(uint64(200+n)), kinds[1])
			r.sent, r.done = at(20), at(21)
			r.arrivals[0].At, r.arrivals[0].RetryAfter, r.arrivals[0].Draining = at(20+float64(n)), 4*time.Second, n == 0
			l.requests[r.ID] = r
		}
		l.disruptions = []disruption{{what: "pause an entry", from: at(22), to: at(23)}}
	})
	assert.Equal(t, len(broken), 0, "%v", broken)
}

// Operators read back what is in force; an older or an invalid document there
// means that something acknowledged is lost.
func TestWhatIsReadBackIsHeldAgainstWhatWasSent(t *testing.T) {
	l := newLedger()
	l.sendingDocument(&document{number: 3, content: []byte("three"), acked: at(1)})
	l.sendingDocument(&document{number: 5, content: []byte("five"), invalid: true})
	l.read("control-0", l.newestAcked(), 3, []byte("three"))
	assert.Equal(t, len(l.breaches), 0)
	l.read("control-0", 4, 3, []byte("three"))
	l.read("control-0", 3, 3, []byte("other"))
	l.read("control-0", 3, 4, []byte("four"))
	l.read("control-0", 3, 5, []byte("five"))
	assert.Equal(t, len(l.breaches), 4)
}

// The same seed has to give the same faults, or a seed that failed could not be
// played again.
func TestThePlanFollowsFromTheSeed(t *testing.T) {
	assert.DeepEqual(t, Plan(7, 30*time.Second, FaultNames()), Plan(7, 30*time.Second, FaultNames()))
	assert.DeepEqual(t, SeriesPlan(7, 30*time.Second), SeriesPlan(7, 30*time.Second))
	kinds := map[string]bool{}
	for seed := range uint64(40) {
		for _, event := range Plan(seed, 30*time.Second, FaultNames()) {
			kinds[event.Fault] = true
		}
	}
	assert.Equal(t, len(kinds), len(FaultNames()))
}

// Guards against a version that is taken from a run whose events no caller got, and against a resumption
// elsewhere that is not found beside such a run.
func TestStreamsVersionIsThatOfItsFirstEvent(t *testing.T) {
	for resumedAt, want := range map[string]int{"v1": 1, "v2": 0} {
		found := judged(func(l *ledger) {
			first, resumed := sound("r1", kinds[3]), sound("r1-1", kinds[3])
			first.result = platformtest.Result{Status: http.StatusOK, Events: 4, Software: "v2", Err: io.ErrUnexpectedEOF}
			first.runs[0].Software = "v2"
			late := run(first, "i-6", 10.5)
			late.Software = "v1"
			first.runs = append(first.runs, late)
			resumed.Resumes, resumed.LastEvent, resumed.sent = "r1", 4, at(12)
			resumed.runs[0].At, resumed.runs[0].After, resumed.runs[0].Software = at(12.1), 4, resumedAt
			l.requests["r1"], l.requests["r1-1"] = first, resumed
		})
		count := 0
		for _, promise := range found {
			if promise == "a stream keeps its software version" {
				count++
			}
		}
		assert.Equal(t, count, want, "resumed at %s: %v", resumedAt, found)
	}
}

// Guards against a pushback that is held against instances which a loss of power has made forget it.
func TestLossOfPowerExcusesForgottenPushbacks(t *testing.T) {
	for _, what := range []string{powerLossFault, "kill an entry", "the list is busy"} {
		found := judged(func(l *ledger) {
			for n := range 4 {
				r := sound(organisationOf(uint64(n)), kinds[1])
				r.arrivals[0].At, r.arrivals[0].RetryAfter = at(10+0.7*float64(n)), 3*time.Second
				l.requests[r.ID] = r
			}
			l.disruptions = []disruption{{what: what, from: at(10.5), to: at(11)}}
		})
		assert.Equal(t, slices.Contains(found, "pushbacks are kept"), what == "the list is busy", what)
	}
}
