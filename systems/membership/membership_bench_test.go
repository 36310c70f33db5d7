package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSteadyState runs a whole group for one virtual second and reports the
// traffic and computing time of one instance in steady state.
func BenchmarkSteadyState(b *testing.B) {
	for _, n := range []int{9, 100, 340} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			sim := newSimulation(b, n)
			sim.runUntil(5*time.Minute, "discover each other", sim.allAlive)
			sim.run(5 * time.Second)
			sim.bytesSent, sim.datagramsSent = 0, 0
			b.ResetTimer()
			for b.Loop() {
				sim.run(time.Second)
			}
			all := float64(b.N) * float64(n)
			b.ReportMetric(float64(sim.bytesSent)/all, "bytes/s/instance")
			b.ReportMetric(float64(sim.datagramsSent)/all, "datagrams/s/instance")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/all, "cpu_us/s/instance")
		})
	}
}

// BenchmarkFailureDetection reports how long it takes until all instances see a
// stopped one as dead.
func BenchmarkFailureDetection(b *testing.B) {
	for _, n := range []int{9, 30, 100} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			var total time.Duration
			for i := range b.N {
				sim := newSimulation(b, n)
				sim.runUntil(5*time.Minute, "discover each other", sim.allAlive)
				sim.run(time.Duration(i%10) * tickInterval)
				sim.nodes[n-1].down = true
				total += sim.runUntil(5*time.Minute, "detect the stopped instance", func() bool { return sim.allSee(n-1, Dead) })
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "virtual_s/death")
		})
	}
}
