package soak

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

// Guards against checks of the capacity decisions that find nothing, or that report what is
// allowed.
func TestEachBrokenCapacityPromiseIsFound(t *testing.T) {
	check, draft := kinds[2], kinds[3]
	continued := func(change func(r *request)) func(l *ledger) {
		return func(l *ledger) {
			r := sound("r1", check)
			r.Timeout = contendedTimeout
			next := run(r, "i-2", 10.5)
			next.Continued = true
			r.runs = append(r.runs, next)
			change(r)
			l.requests[r.ID] = r
		}
	}
	for name, c := range map[string]struct {
		promise string
		change  func(l *ledger)
	}{
		"a continued run": {"", continued(func(*request) {})},
		"a run at two endpoints": {"a run goes on at one endpoint", continued(func(r *request) {
			r.runs[1].SourceActive = true
		})},
		"a run continued twice": {"a run is continued once", continued(func(r *request) { r.runs = append(r.runs, r.runs[1]) })},
		"a run begun twice":     {"work runs at most once", continued(func(r *request) { r.runs[1].Continued = false })},
		"a request without an answer": {"nothing waits beyond its deadline", func(l *ledger) {
			r := sound("r1", check)
			r.runs, r.Timeout, r.done = nil, contendedTimeout, at(14)
			r.result = platformtest.Result{}
			l.requests[r.ID] = r
		}},
		"a late start": {"nothing waits beyond its deadline", func(l *ledger) {
			r := sound("r1", draft)
			r.Timeout, r.runs[0].At = contendedTimeout, r.sent.Add(contendedTimeout+timeoutSlack)
			l.requests[r.ID] = r
		}},
		"a start after a stall": {"", func(l *ledger) {
			r := sound("r1", draft)
			l.stalled = time.Second
			r.runs[0].At = r.sent.Add(contendedTimeout + timeoutSlack + l.stalled - time.Millisecond)
			r.Timeout = contendedTimeout
			l.requests[r.ID] = r
		}},
		"a late start after a stall": {"nothing waits beyond its deadline", func(l *ledger) {
			r := sound("r1", draft)
			l.stalled = time.Second
			r.runs[0].At = r.sent.Add(contendedTimeout + timeoutSlack + l.stalled)
			r.Timeout = contendedTimeout
			l.requests[r.ID] = r
		}},
		"a late start at a disturbed instance": {"", func(l *ledger) {
			r := sound("r1", draft)
			r.Timeout, r.runs[0].At = contendedTimeout, r.sent.Add(contendedTimeout+timeoutSlack)
			l.requests[r.ID] = r
			l.disruptions = []disruption{{from: at(10.5), to: at(12), strikes: func(e *instance) bool { return e == r.entry }}}
		}},
		"a late start beside a disturbed instance": {"nothing waits beyond its deadline", func(l *ledger) {
			r := sound("r1", draft)
			r.Timeout, r.runs[0].At = contendedTimeout, r.sent.Add(contendedTimeout+timeoutSlack)
			l.requests[r.ID] = r
			l.disruptions = []disruption{
				{from: at(10), to: at(12), strikes: func(e *instance) bool { return e != r.entry }},
				{from: at(7), to: at(9), strikes: func(*instance) bool { return true }},
				{what: "lose datagrams", from: at(10), to: at(12)},
			}
		}},
		"an organisation without a share": {"no organisation is starved", func(l *ledger) {
			for n := range 2 * shareLeast {
				r := sound(fmt.Sprintf("r%d", n), draft)
				if n%2 == 0 {
					r.Key, r.runs, r.result = keyAlone, nil, platformtest.Result{Status: 503}
				}
				l.requests[r.ID] = r
			}
		}},
	} {
		broken := judged(func(l *ledger) {
			l.capacity = true
			c.change(l)
		})
		if c.promise == "" {
			assert.Equal(t, len(broken), 0, "%s: found %v", name, broken)
			continue
		}
		assert.Assert(t, contains(broken, c.promise), "%s: found %v", name, broken)
	}
}

// Guards against a metric that is renamed or missing, which would pass as zero.
func TestMissingMetricCountsAsHeld(t *testing.T) {
	var all string
	for _, family := range requiredGauges {
		all += family + "{kind=\"a\"} 0\n"
	}
	assert.Equal(t, len(heldIn(strings.NewReader(all))), 0)
	assert.Equal(t, len(heldIn(strings.NewReader(all+callerHeaderGauge+" 1\n"))), 1)
	for _, family := range requiredGauges {
		assert.Equal(t, len(heldIn(strings.NewReader(strings.ReplaceAll(all, family, "other")))), 1, family)
		assert.Equal(t, len(heldIn(strings.NewReader(all+family+" 1\n"))), 1, family)
	}
}

// Guards against new kinds of faults that change the plans of the seeds that are kept.
func TestPlansOfStoredSeedsDoNotChange(t *testing.T) {
	for seed, want := range map[uint64]uint64{310: 0xef6980ba0d0f193f, 9301: 0xec9e8412cda586b} {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, Plan(seed, 30*time.Second, FaultNames()))
		assert.Equal(t, h.Sum64(), want, "seed %d", seed)
		assert.Assert(t, !DrawsCapacity(seed))
	}
	drawn := 0
	for seed := range uint64(400) {
		if DrawsCapacity(seed) {
			drawn++
		}
	}
	assert.Assert(t, drawn > 70 && drawn < 130, "%d", drawn)
}

// Guards against promises broken by admission, backups or pauses while instances and endpoints
// are killed, paused, cut off and slowed down. Each kind of fault strikes once. The
// connections that are reset at one end are those of the second entry instance.
func TestCapacityDecisionsBreakNoPromise(t *testing.T) {
	const second = time.Second
	outcome := play(t, Options{
		Daemon: build(t), Seed: 50, Controls: 3, Entries: 6, Capacity: true,
		Plan: []Event{
			{At: 2 * second, Fault: "endpoints are slowed down", For: 4 * second, Seed: 1},
			{At: 3 * second, Fault: "callers read slowly", For: 3 * second, Seed: 2},
			{At: 4 * second, Fault: "crash an endpoint", For: 2 * second, Seed: 3},
			{At: 5 * second, Fault: "kill an entry", For: second, Seed: 4},
			{At: 7 * second, Fault: "pause an entry", For: 2 * second, Seed: 5},
			{At: 10 * second, Fault: "connections are reset at one end", For: second, Seed: 1},
			{At: 12 * second, Fault: "lose datagrams", For: 2 * second, Seed: 6},
			{At: 15 * second, Fault: "cut a zone", For: 2 * second, Seed: 7},
		},
	})
	assert.Assert(t, outcome.Served > 0)
	assert.Assert(t, outcome.Refused > 0)
}

// Guards against runs that are continued twice, beside their first endpoint, or not at all after
// endpoints that generate have crashed. Nothing else strikes, which would delay the evidence of
// their end. The seeds draw endpoints 1, 2, 3, 4 and 0 of six.
func TestContinuationsBreakNoPromise(t *testing.T) {
	var plan []Event
	for n, seed := range []uint64{2, 3, 17, 16, 19} {
		plan = append(plan, Event{At: time.Duration(2+3*n) * time.Second, Fault: "crash an endpoint", For: time.Second, Seed: seed})
	}
	outcome := play(t, Options{Daemon: build(t), Seed: 51, Controls: 3, Entries: 6, Capacity: true, Plan: plan})
	assert.Assert(t, outcome.Served > 0)
	assert.Assert(t, outcome.Continued > 0)
}
