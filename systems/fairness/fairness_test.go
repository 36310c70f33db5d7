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

// The seed is fixed, so that a change is judged the same way every time.
func init() { _ = flag.Set("rapid.seed", "1") }

// naive is start-time fair queueing written down as it is defined: each request
// has a start tag, and the waiting one with the least is served.
type naive struct {
	weights []float64
	finish  []float64
	waiting []int
	start   []float64
	virtual float64
}

func (n *naive) add(f int) {
	n.waiting[f]++
	if n.waiting[f] == 1 {
		n.start[f] = max(n.finish[f], n.virtual)
	}
}

func (n *naive) next() int {
	best := -1
	for f := range n.weights {
		if n.waiting[f] > 0 && (best < 0 || n.start[f] < n.start[best]) {
			best = f
		}
	}
	return best
}

func (n *naive) serve(f int, cost float64) {
	n.virtual = max(n.virtual, n.start[f])
	n.finish[f] = n.start[f] + cost/n.weights[f]
	n.start[f] = n.finish[f]
	n.waiting[f]--
}

func TestSchedulerIsStartTimeFairQueueing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const flows = 5
		s := &fairness.Scheduler{}
		n := &naive{
			weights: make([]float64, flows), finish: make([]float64, flows),
			waiting: make([]int, flows), start: make([]float64, flows),
		}
		for f := range flows {
			n.weights[f] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			s.SetWeight(fairness.Flow(f), n.weights[f])
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrives") {
				f := rapid.IntRange(0, flows-1).Draw(t, "flow")
				n.add(f)
				s.Enqueue(fairness.Flow(f))
				continue
			}
			want := n.next()
			got, ok := s.Next(func(fairness.Flow) bool { return false })
			assert.Equal(t, ok, want >= 0)
			if !ok {
				continue
			}
			assert.Equal(t, int(got), want)
			cost := float64(rapid.IntRange(1, 1000).Draw(t, "cost"))
			s.Charge(got, cost)
			s.Dequeue(got)
			n.serve(want, cost)
		}
	})
}

// A large organisation sends a burst of a thousand requests at once. A small
// one that sends one request afterwards must not wait behind the burst.
func TestBurstOfOneDoesNotDelayAnother(t *testing.T) {
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
	assert.Assert(t, first == 1 || second == 1, "%d %d", first, second)
}

func TestLimiterHoldsTheRateOverAllInstances(t *testing.T) {
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
	assert.Assert(t, admitted >= 30*seconds-instances && admitted <= 30*seconds+burst+instances, "%d", admitted)
}

func TestLimiterBoundsConcurrency(t *testing.T) {
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
