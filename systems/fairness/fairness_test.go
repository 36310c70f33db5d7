package fairness_test

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/systems/fairness"
	"github.com/carawaystile/carawaystile/tables"
)

// The fixed seed makes property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

// referenceScheduler implements start-time fair queueing by its definition: each
// request has a start tag, and the queued request with the lowest one is served.
type referenceScheduler struct {
	weights     []float64
	finishTag   []float64
	queued      []int
	startTag    []float64
	virtualTime float64
}

func (ref *referenceScheduler) add(f int) {
	ref.queued[f]++
	if ref.queued[f] == 1 {
		ref.startTag[f] = max(ref.finishTag[f], ref.virtualTime)
	}
}

func (ref *referenceScheduler) next() int {
	best := -1
	for f := range ref.weights {
		if ref.queued[f] > 0 && (best < 0 || ref.startTag[f] < ref.startTag[best]) {
			best = f
		}
	}
	return best
}

func (ref *referenceScheduler) serve(f int, cost float64) {
	ref.virtualTime = max(ref.virtualTime, ref.startTag[f])
	ref.finishTag[f] = ref.startTag[f] + cost/ref.weights[f]
	ref.startTag[f] = ref.finishTag[f]
	ref.queued[f]--
}

// The scheduler must serve flows in the same order as the reference.
func TestSchedulerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const flows = 5
		s := &fairness.Scheduler{}
		ref := &referenceScheduler{
			weights: make([]float64, flows), finishTag: make([]float64, flows),
			queued: make([]int, flows), startTag: make([]float64, flows),
		}
		for f := range flows {
			ref.weights[f] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			s.SetWeight(fairness.Flow(f), ref.weights[f])
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrives") {
				f := rapid.IntRange(0, flows-1).Draw(t, "flow")
				ref.add(f)
				s.Enqueue(fairness.Flow(f))
				continue
			}
			want := ref.next()
			got, ok := s.Next(func(fairness.Flow) bool { return false })
			assert.Equal(t, ok, want >= 0)
			if !ok {
				continue
			}
			assert.Equal(t, int(got), want)
			cost := float64(rapid.IntRange(1, 1000).Draw(t, "cost"))
			s.Charge(got, cost)
			s.Dequeue(got)
			ref.serve(want, cost)
		}
	})
}

// One organisation sends a burst of a thousand requests. Another one that sends
// a single request afterwards must not wait behind the burst.
func TestBurstDoesNotDelayOtherFlows(t *testing.T) {
	s := &fairness.Scheduler{}
	s.SetWeight(0, 1)
	s.SetWeight(1, 1)
	for range 1000 {
		s.Enqueue(0)
	}
	serve := func() fairness.Flow {
		f, ok := s.Next(func(fairness.Flow) bool { return false })
		assert.Assert(t, ok)
		s.Charge(f, 10)
		s.Dequeue(f)
		return f
	}
	for range 50 {
		serve()
	}
	s.Enqueue(1)
	first, second := serve(), serve()
	assert.Assert(t, first == 1 || second == 1, "flows %d and %d were served, want flow 1 among them", first, second)
}

// Instances that each enforce their share of a rate limit must together admit
// the limit, except for the initial burst and rounding.
func TestLimiterEnforcesRateAcrossInstances(t *testing.T) {
	const instances = 6
	limiters := make([]fairness.Limiter, instances)
	for i := range limiters {
		limiters[i].Configure(30, 0)
	}
	admitted := 0
	const seconds = 20
	for step := range seconds * 1000 {
		now := time.Duration(step) * time.Millisecond
		if limiters[step%instances].Admit(now, 1.0/instances) == 0 {
			admitted++
		}
	}
	burst := 30 * 2
	assert.Assert(t, admitted >= 30*seconds-instances && admitted <= 30*seconds+burst+instances, "admitted %d requests", admitted)
}

// An instance must enforce its share of a concurrency limit, rounded up.
func TestLimiterEnforcesConcurrency(t *testing.T) {
	var l fairness.Limiter
	l.Configure(0, 10)
	running := 0
	for !l.AtConcurrencyLimit(0.25) {
		l.Acquire()
		running++
	}
	assert.Equal(t, running, 3)
	l.Release()
	assert.Assert(t, !l.AtConcurrencyLimit(0.25))
}

var _ fairness.Flow = tables.FlowIndex(0)
