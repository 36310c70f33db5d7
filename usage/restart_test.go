package usage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowDiscovery is the fraction of a group that an instance knows some time after all have
// started, as observed in a group of 65 that is restarted.
func slowDiscovery(age time.Duration) float64 {
	switch {
	case age < time.Second:
		return 0.05 + 0.13*age.Seconds()
	case age < 6*time.Second:
		return 0.3 + 0.7*(age.Seconds()-1)/5
	}
	return 1
}

// restartDemands are the demands of an organisation, as multiples of its limit: before the
// restart, from the restart on, and from two seconds after it.
var restartDemands = []struct{ before, after, later float64 }{
	{0.6, 0.6, 5}, {0.6, 1.5, 1.5}, {3, 3, 3}, {0, 6, 6}, {6, 0.3, 6},
}

// Guards against the use of owners that instances pick before they know each other, after a
// restart of many of them, being forgotten when the real owner takes over.
func TestLimitHoldsWhileRestartedInstancesDiscoverEachOther(t *testing.T) {
	for name, restarts := range map[string]func(i int) bool{
		"all": func(int) bool { return true }, "half": func(i int) bool { return i%2 == 0 }, "one zone": func(i int) bool { return i%3 == 0 },
	} {
		for _, demand := range restartDemands {
			t.Run(fmt.Sprint(name, demand), func(t *testing.T) {
				forEachSize(t, func(t *testing.T, n int) {
					s := newSimulation(n, limitsOf(Tolerance{Overage: maxOverage}.Relax(limit)))
					s.runUntil(warmUp)
					restartAt, end := warmUp+8*time.Second, warmUp+24*time.Second
					s.generateLoad(org, max(demand.before, 0.01)*limit.Rate, 6000, restartAt, "a", "b", "c")
					s.runUntil(restartAt)
					s.knownFraction = slowDiscovery
					for i, m := range s.members {
						if restarts(i) {
							s.boot(m)
						}
					}
					s.generateLoad(org, demand.after*limit.Rate, 6000, restartAt+2*time.Second, "a", "b", "c")
					s.runUntil(restartAt + 2*time.Second)
					s.generateLoad(org, demand.later*limit.Rate, 6000, end, "a", "b", "c")
					s.runUntil(end + time.Second)
					share := float64(s.peakUse(org, window)) / float64(maxUse(limit))
					after := float64(s.totalUse(org, restartAt)-s.totalUse(org, restartAt+4*time.Second)) / (limit.Rate * 4)
					t.Logf("highest window %.3f of what is allowed; %.2f of the rate in the 4 s after the restart", share, after)
					assert.Assert(t, share <= 1, "%.3f", share)
				})
			})
		}
	}
}
