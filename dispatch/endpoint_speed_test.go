package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// slowdownOf returns a load answer with only a slowdown.
func slowdownOf(percent int) dialect.EndpointLoad {
	return dialect.EndpointLoad{Slots: 8, SlowdownPercent: percent}
}

// Guards against a wrong value that excludes an endpoint, and against an old value that still
// counts.
func TestEffectOfASlowdownIsBoundedAndExpires(t *testing.T) {
	d, _ := newTestDispatcher(1)
	a := mustPlace(t, d, time.Second, newTestRequest(7))
	row := a.row
	steady, steadyTime := row.prefillRate, row.serviceTime
	d.RecordEndpointLoad(time.Second, a, slowdownOf(10_000))
	assert.Equal(t, row.currentPrefillRate(time.Second), steady/maxSlowdownEffect)
	assert.Equal(t, row.currentServiceTime(time.Second), steadyTime*maxSlowdownEffect)
	aged := row.currentPrefillRate(time.Second + slowdownDecay)
	assert.Assert(t, aged > steady/maxSlowdownEffect && aged < steady)
	assert.Equal(t, d.CountSlowed(time.Second+slowdownTTL-1), 1)
	assert.Equal(t, d.CountSlowed(time.Second+slowdownTTL), 0)
	assert.Equal(t, row.currentPrefillRate(time.Second+slowdownTTL), steady)
	for _, invalid := range []int{0, -1, 10_001} {
		d.RecordEndpointLoad(2*time.Second, a, slowdownOf(invalid))
		assert.Equal(t, row.slowdown.at, time.Second, "%d", invalid)
	}
}

// Guards against a constant wrong value, outside the bounds of its effect, that changes the steady
// averages and so remains once it has expired. The service also runs at its usual speed.
func TestConstantWrongSlowdownLeavesTheSteadySpeed(t *testing.T) {
	generation := newTestRequest(0)
	generation.SharedParts, generation.Deadline = nil, time.Hour
	plain := &Request{Service: generation.Service, Route: &routes.Route{}, Deadline: time.Hour}
	for _, percent := range []int{10_000, 401, 24, 1, 400, 100} {
		d, _ := newTestDispatcher(1)
		row := d.endpoints["e0"]
		steady, steadyTime := row.prefillRate, row.serviceTime
		// With 400 the answers take 4 times as long, so the samples are those of the usual speed.
		scale := 1.0
		if percent == 400 {
			scale = 4
		}
		now := time.Second
		for range 100 {
			for _, r := range []*Request{generation, plain} {
				a := mustPlace(t, d, now, r)
				took := steadyTime * scale
				if a.isGeneration {
					assert.Assert(t, a.prefillTokens >= minSampleTokens, "the attempt must give a sample")
					took = baseFirstEventTime + a.prefillTokens/steady*scale
				}
				now += time.Duration(took * float64(time.Millisecond))
				d.RecordEndpointLoad(now, a, slowdownOf(percent))
				d.RecordResponseStart(now, a)
				d.RecordOutcome(now, a, Completed)
			}
		}
		now += slowdownTTL
		for name, ratio := range map[string]float64{
			"rate": row.currentPrefillRate(now) / steady, "time": row.currentServiceTime(now) / steadyTime, "average": row.averages.prefillRate() / steady,
		} {
			assert.Assert(t, ratio > 0.99 && ratio < 1.01, "%d: %s %v", percent, name, ratio)
		}
	}
}

// Guards against a long prompt that is rejected as too late because of a slowdown that ends long
// before its prefill does, and against expected times that change without a slowdown.
func TestSlowdownAppliesToAPrefillOnlyWhileItCounts(t *testing.T) {
	d, _ := newTestDispatcher(1)
	row := d.endpoints["e0"]
	row.prefillRate = 29.7 // a rate with which products and quotients are rounded
	for _, tokens := range []float64{0, 1, 333, 150_000} {
		assert.Equal(t, row.prefillTime(time.Second, tokens), tokens/row.prefillRate)
	}
	for _, percent := range []int{250, 50} {
		d.recordSlowdown(time.Second, row, percent)
		current := row.currentPrefillRate(time.Second)
		assert.Equal(t, row.prefillTime(time.Second, 300*current), 300*current/current)
		assert.Equal(t, row.prefillTime(time.Second, 600*current+1000*row.prefillRate), 1600.0)
	}
	long := newTestRequest(0)
	long.Service = &routes.Service{Name: "models", Slots: 8, KVCapacityTokens: 400_000}
	long.SharedParts, long.PromptTokens, long.Deadline = nil, 150_000, 11*time.Second
	d.recordSlowdown(time.Second, row, 250)
	a := mustPlace(t, d, time.Second, long)
	assert.Assert(t, a.ExpectedLatency > 5*time.Second && a.ExpectedLatency < 6*time.Second, "%v", a.ExpectedLatency)
}

// Guards against new work at an endpoint that has just said that it is slowed down, and against
// endpoints that are left out once the slowdown has ended.
func TestSlowedEndpointIsAvoidedWhileTheValueCounts(t *testing.T) {
	plain := &Request{Service: &routes.Service{Name: "models"}, Route: &routes.Route{}, Deadline: time.Hour}
	generation := newTestRequest(7)
	generation.SharedParts, generation.Route.TargetLatency = nil, 600*time.Millisecond
	for name, r := range map[string]*Request{"plain": plain, "generation": generation} {
		d, _ := newTestDispatcher(3) // e0 and e2 are in the instance's zone
		count := func(now tables.Instant) map[tables.EndpointID]int {
			at := map[tables.EndpointID]int{}
			for range 40 {
				a := mustPlace(t, d, now, r)
				at[a.Endpoint.ID]++
				d.RecordOutcome(now, a, Cancelled)
			}
			return at
		}
		d.recordSlowdown(time.Second, d.endpoints["e0"], 400)
		assert.Equal(t, count(time.Second)["e0"], 0, name)
		later := count(time.Second + slowdownTTL)
		assert.Assert(t, later["e0"] > 8, "%s: %v", name, later)
	}
}

// Guards against a value that outlives its time because instances pass it to and fro, or that an
// older observation, a lost report or a report of an earlier version replaces.
func TestLaterObservationOfASlowdownWins(t *testing.T) {
	one, _ := newTestDispatcher(1)
	two, _ := newTestDispatcher(1)
	exchange := func(now tables.Instant, from, to *Dispatcher) {
		r := newTestRequest(0)
		r.SharedParts = nil
		from.RecordOutcome(now, mustPlace(t, from, now, r), Cancelled)
		for _, l := range from.TakeLoadReports(now) {
			to.ApplyLoadReport(now+20*time.Millisecond, "other", l)
		}
	}
	assert.Assert(t, !two.reportsSlowdown("models"))
	one.recordSlowdown(time.Second, one.endpoints["e0"], 250)
	now := time.Second + 100*time.Millisecond
	exchange(now, one, two)
	known := two.endpoints["e0"].slowdown
	assert.Equal(t, known.percent, 250)
	assert.Equal(t, known.at, time.Second+20*time.Millisecond)
	assert.Assert(t, two.reportsSlowdown("models") && !two.reportsSlowdown("other"))
	for range 6 {
		now += 40 * time.Millisecond
		exchange(now, two, one)
		exchange(now, one, two)
	}
	assert.Assert(t, two.endpoints["e0"].slowdown.isCurrent(time.Second+400*time.Millisecond))
	assert.Assert(t, !two.endpoints["e0"].slowdown.isCurrent(time.Second+slowdownTTL+20*time.Millisecond))

	two.ApplyLoadReport(now, "late", LoadReport{Endpoint: "e0", SlowdownPercent: 100, SlowdownAge: 500 * time.Millisecond})
	two.ApplyLoadReport(now, "earlier version", LoadReport{Endpoint: "e0", Running: 1})
	assert.Equal(t, two.endpoints["e0"].slowdown.percent, 250)
	two.ApplyLoadReport(now, "later", LoadReport{Endpoint: "e0", SlowdownPercent: 100, SlowdownAge: 10 * time.Millisecond})
	assert.Equal(t, two.endpoints["e0"].slowdown.percent, 100)
}

// Guards against a slowdown that is not reported because nothing else changes at the endpoint, and
// against one that the scheduler and the instance which it has placed for both report.
func TestSlowdownIsReportedByTheInstanceThatPlaced(t *testing.T) {
	scheduler, _ := newTestDispatcher(1)
	sender, _ := newTestDispatcher(1)
	placed := mustPlace(t, scheduler, time.Second, newTestRequest(0))
	accepted := sender.AcceptDecision(time.Second, newTestRequest(0), placed.Decision(time.Second))
	scheduler.TakeLoadReports(time.Second)
	sender.TakeLoadReports(time.Second)
	now := time.Second + 10*time.Millisecond
	scheduler.RecordSlowdown(now, placed, 10_001)
	assert.Equal(t, len(scheduler.TakeLoadReports(now)), 0, "an unusable value is no change")
	scheduler.RecordSlowdown(now, placed, 250)
	sender.RecordEndpointLoad(now, accepted, slowdownOf(250))
	reports := scheduler.TakeLoadReports(now)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].SlowdownPercent, 250)
	assert.Equal(t, len(sender.TakeLoadReports(now)), 0)
}
