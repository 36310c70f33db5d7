package replog

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkNewLeader stops the leader of a group of three, five or eight
// replicas and reports the ticks until the next leader has committed an entry
// of its own term, with the default of 10 election ticks and messages without
// latency.
func BenchmarkNewLeader(b *testing.B) {
	for _, c := range []struct {
		name string
		size int
	}{{"replicas=3", 3}, {"replicas=5", 5}, {"replicas=8", 8}} {
		b.Run(c.name, func(b *testing.B) {
			var ticks []int
			for range b.N {
				ticks = append(ticks, ticksToNewLeader(b, uint64(len(ticks)), c.size))
			}
			slices.Sort(ticks)
			b.ReportMetric(float64(ticks[len(ticks)/2]), "p50-ticks")
			b.ReportMetric(float64(ticks[len(ticks)*99/100]), "p99-ticks")
			b.ReportMetric(float64(ticks[len(ticks)-1]), "max-ticks")
		})
	}
}

// ticksToNewLeader returns the ticks from the loss of the leader to the first
// commit of its successor.
func ticksToNewLeader(b *testing.B, seed uint64, size int) int {
	var ids []ReplicaID
	for i := range size {
		ids = append(ids, ReplicaID(i+1))
	}
	g := newGroup(b, seed, ids...)
	old := g.elect()
	g.tick(1)
	old.running = false
	for n := 1; ; n++ {
		g.tick(1)
		if id := g.leader(); id != None && g.replicas[id].node.hasCommittedInTerm() {
			return n
		}
		assert.Assert(b, n < 1000)
	}
}

// BenchmarkPropose commits entries of 200 bytes in a group of three replicas
// without disks. It measures the processor time per entry on all three
// replicas.
func BenchmarkPropose(b *testing.B) {
	for _, c := range []struct {
		name  string
		batch int
	}{{"batch=1", 1}, {"batch=64", 64}} {
		b.Run(c.name, func(b *testing.B) {
			g := newGroupOf(b, defaultConfig, 1, 1, 2, 3)
			l := g.elect()
			data := make([]byte, 200)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				_, err := l.node.Propose(data)
				assert.NilError(b, err)
				if i%c.batch == 0 {
					g.deliver()
				}
				if i%10_000 == 0 {
					g.compactAll()
				}
			}
		})
	}
}

func defaultConfig(id ReplicaID, seed uint64) Config { return Config{ID: id, Seed: seed} }

// compactAll compacts all replicas, so that a long benchmark doesn't measure
// the growth of the log.
func (g *group) compactAll() {
	g.deliver()
	for _, id := range g.order {
		r := g.replicas[id]
		r.applied = nil
		if s, err := r.node.Compact(r.node.log.applied, nil); err == nil {
			assert.NilError(g.t, r.store.Compact(s))
		}
	}
}
