package fairness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wait predicted from the whole queue for an organisation that is served before
// the long queue of another one, and from the queue alone for one that has had its share.
func TestAheadCountsWhatIsServedBefore(t *testing.T) {
	var s Scheduler
	queued := []float64{1000, 30, 0}
	for f := range queued {
		s.SetWeight(Flow(f), 1)
	}
	s.Enqueue(0)
	s.Enqueue(1)
	s.Charge(0, 10)
	cost := func(f Flow) float64 { return queued[f] }
	assert.Equal(t, s.Ahead(0, cost, cost), 1030.0)
	assert.Equal(t, s.Ahead(1, cost, cost), 30.0+20)
	assert.Equal(t, s.Ahead(2, cost, cost), 0.0)
	s.Charge(2, 100)
	arriving := func(f Flow) float64 { return queued[f] + 40 }
	assert.Equal(t, s.Ahead(2, cost, cost), 90.0+30)
	assert.Equal(t, s.Ahead(2, cost, arriving), 90.0+70)
}
