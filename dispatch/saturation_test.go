package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// admissionRequest returns a request with a target latency at a service whose shortest target
// is 400 ms.
func admissionRequest(target time.Duration, prompt int) *Request {
	return &Request{
		Service: models, Route: &routes.Route{TargetLatency: target}, Model: "m", PromptTokens: prompt, OutputTokens: 50,
		Deadline: time.Hour, UrgentTarget: 400 * time.Millisecond,
	}
}

// setQueues sets the prefill backlog of each endpoint to a queue in milliseconds.
func setQueues(d *Dispatcher, queue float64) {
	for _, row := range d.endpoints {
		row.prefillTokens = queue * row.prefillRate
	}
}

// Guards against queues that make urgent callers late, and against a limit that keeps engines
// idle: each kind of work joins queues up to its own limit.
func TestQueueLimitDependsOnUrgency(t *testing.T) {
	d, _ := newTestDispatcher(4)
	now := 10 * time.Second
	// Less urgent work has had more than its share.
	d.placedShares = map[string]*placedShare{"models": {urgent: 1000, other: 1000, at: now}}
	place := func(queue float64, target time.Duration, prompt int) (time.Duration, bool) {
		setQueues(d, queue)
		r := admissionRequest(target, prompt)
		a, reason := d.Place(now, r)
		if a != nil {
			d.RecordOutcome(now, a, Completed)
			return 0, true
		}
		assert.Equal(t, reason, Saturated)
		return r.SaturatedFor, false
	}
	_, placed := place(159, 3*time.Second, 300)
	assert.Assert(t, placed)
	wait, placed := place(200, 3*time.Second, 300)
	assert.Assert(t, !placed, "the limit of less urgent work is 0.4 of 400 ms")
	assert.Equal(t, wait.Round(time.Millisecond), 40*time.Millisecond)
	_, placed = place(300, 400*time.Millisecond, 300)
	assert.Assert(t, placed, "10 ms of its own prefill fit into 0.8 of its target")
	wait, placed = place(340, 400*time.Millisecond, 300)
	assert.Assert(t, !placed)
	assert.Equal(t, wait.Round(time.Millisecond), 30*time.Millisecond)
}

// Guards against a request that has waited being held back until it is too late, and against
// one that is late already never being placed, such as a retry.
func TestWaitedTimeCountsAgainstTheQueueLimit(t *testing.T) {
	d, _ := newTestDispatcher(2)
	now := 10 * time.Second
	r := admissionRequest(400*time.Millisecond, 300)
	r.ArrivedAt = now - 100*time.Millisecond
	setQueues(d, 250)
	_, reason := d.Place(now, r)
	assert.Equal(t, reason, Saturated)
	r.ArrivedAt = now - time.Second
	setQueues(d, 150)
	mustPlace(t, d, now, r)
}

// Guards against less urgent work being starved by urgent work: beyond its limit it is placed
// while its share is below a quarter, and only then.
func TestLessUrgentWorkHasAMinimumShare(t *testing.T) {
	d, _ := newTestDispatcher(4)
	now := 10 * time.Second
	tokens := map[time.Duration]int{}
	for range 400 {
		now += 10 * time.Millisecond
		for _, target := range []time.Duration{400 * time.Millisecond, 3 * time.Second} {
			setQueues(d, 250)
			if a, _ := d.Place(now, admissionRequest(target, 600)); a != nil {
				tokens[target] += 600
				d.RecordOutcome(now, a, Completed)
			}
		}
	}
	share := float64(tokens[3*time.Second]) / float64(tokens[3*time.Second]+tokens[400*time.Millisecond])
	assert.Assert(t, share > 0.22 && share < 0.3, "share of less urgent work: %.2f", share)
}

// Guards against admission control that is not configured, and against an instance that has
// just started and knows no backlog: both place as before.
func TestNoLimitWithoutAdmissionOrBacklog(t *testing.T) {
	d, _ := newTestDispatcher(2)
	setQueues(d, 5000)
	r := admissionRequest(400*time.Millisecond, 300)
	r.UrgentTarget = 0
	mustPlace(t, d, time.Second, r)

	started, _ := newTestDispatcher(2)
	mustPlace(t, started, time.Second, admissionRequest(400*time.Millisecond, 300))
	mustPlace(t, started, time.Second, admissionRequest(3*time.Second, 20_000))
}

// Guards against the reason Saturated, after which a request waits for queues, where no endpoint
// can run it at all.
func TestFullEndpointsAreNotSaturated(t *testing.T) {
	d, _ := newTestDispatcher(2)
	for _, row := range d.endpoints {
		row.attempts = models.Slots
	}
	setQueues(d, 5000)
	_, reason := d.Place(time.Second, admissionRequest(400*time.Millisecond, 300))
	assert.Equal(t, reason, NoCapacity)
}

// Guards against one endpoint in a long queue deciding for a service with a free one.
func TestOneShortQueueSuffices(t *testing.T) {
	d, _ := newTestDispatcher(3)
	setQueues(d, 5000)
	d.endpoints["e1"].prefillTokens = 0
	a := mustPlace(t, d, time.Second, admissionRequest(400*time.Millisecond, 300))
	assert.Equal(t, a.Endpoint.ID, tables.EndpointID("e1"))
}

// BenchmarkPlaceWithAdmission measures a placement as BenchmarkPlace does, with a limit on
// queues: without one, where all queues are short or within the limit, where all but the
// last one are too long, and where all are.
func BenchmarkPlaceWithAdmission(b *testing.B) {
	for _, load := range []string{"no limit", "short queues", "no limit, 100 ms", "queues of 100 ms", "all but one saturated", "saturated"} {
		for _, n := range []int{140, 1100} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", load, n), func(b *testing.B) {
				d, _ := newTestDispatcher(n)
				keys := make([][]parts.Key, n)
				for p := range 200 {
					for i := range 3 {
						keys[(p+i)%n] = append(keys[(p+i)%n], parts.ID(100+p).KeyAt(1))
					}
				}
				for i, row := range d.services["models"] {
					d.RecordCacheEvents(time.Second, row.ID, append(keys[i], parts.ID(1).KeyAt(1)), nil, true)
					if load == "saturated" || load == "all but one saturated" && i < n-1 {
						row.prefillTokens = 1000 * row.prefillRate
					}
					if strings.HasSuffix(load, "100 ms") {
						row.prefillTokens = 100 * row.prefillRate
					}
				}
				times := make([]time.Duration, 0, b.N)
				b.ReportAllocs()
				for i := range b.N {
					r := newTestRequest(uint64(100 + i%200))
					r.Route = &routes.Route{TargetLatency: 400 * time.Millisecond}
					if !strings.HasPrefix(load, "no limit") {
						r.UrgentTarget = r.Route.TargetLatency
					}
					now := 2*time.Second + time.Duration(i)*time.Millisecond
					began := time.Now()
					a, _ := d.Place(now, r)
					times = append(times, time.Since(began))
					if a != nil {
						d.RecordOutcome(now, a, Completed)
					}
					_, _ = d.TakeCacheUpdates(), d.TakeLoadReports(now)
				}
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}
