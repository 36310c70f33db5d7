package store

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/replog"
)

// BenchmarkGroup commits entries of 200 bytes in a group of three replicas with
// real syncs on one disk, for a number of clients that each wait for their
// entry before they propose the next one. With batching, the proposals that
// arrive during a sync share the next one (group commit); without, each is
// written alone.
func BenchmarkGroup(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		for _, batched := range []bool{false, true} {
			b.Run(fmt.Sprintf("callers=%d,batched=%v", callers, batched), func(b *testing.B) {
				benchmarkGroup(b, callers, batched)
			})
		}
	}
}

func benchmarkGroup(b *testing.B, callers int, batched bool) {
	g := newLiveGroup(b, batched)
	defer g.stop()
	leader := g.replicas[0]
	latencies := make([][]time.Duration, callers)
	var wg sync.WaitGroup
	b.ResetTimer()
	for c := range callers {
		wg.Go(func() {
			for i := c; i < b.N; i += callers {
				start := time.Now()
				done := make(chan struct{})
				leader.proposals <- proposal{data: make([]byte, 200), done: done}
				<-done
				latencies[c] = append(latencies[c], time.Since(start))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "entries/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}

// proposal is data to commit; done is closed once it is committed.
type proposal struct {
	data []byte
	done chan struct{}
}

// liveReplica runs a node in a goroutine and passes its messages directly to
// the other replicas.
type liveReplica struct {
	b         *testing.B
	node      *replog.Node
	log       *Log
	inbox     chan replog.Message
	proposals chan proposal
	waiting   map[replog.Position]chan struct{}
	batched   bool
	group     *liveGroup
}

// liveGroup is a group of replicas that run in goroutines.
type liveGroup struct {
	replicas []*liveReplica
	quit     chan struct{}
	wg       sync.WaitGroup
}

// newLiveGroup starts three replicas, the first of which is the leader.
func newLiveGroup(b *testing.B, batched bool) *liveGroup {
	g := &liveGroup{quit: make(chan struct{})}
	members := replog.Members{{Replica: 1}, {Replica: 2}, {Replica: 3}}
	for _, m := range members {
		g.replicas = append(g.replicas, newLiveReplica(b, g, m.Replica, members, batched))
	}
	first := g.replicas[0].node
	for first.Status().Role == replog.Follower {
		first.Tick()
	}
	for _, r := range g.replicas {
		g.wg.Go(r.run)
	}
	ready := make(chan struct{})
	g.replicas[0].proposals <- proposal{done: ready}
	<-ready
	return g
}

func newLiveReplica(b *testing.B, g *liveGroup, id replog.ReplicaID, ms replog.Members, batched bool) *liveReplica {
	f, err := OpenDataDir(b.TempDir())
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, f.Close()) })
	assert.NilError(b, f.CreateLog(Identity{Replica: id}, replog.BootstrapGroupState(ms, 1, nil)))
	log, err := f.OpenLog(Identity{})
	assert.NilError(b, err)
	saved, err := log.Load()
	assert.NilError(b, err)
	n, err := replog.NewNode(replog.Config{ID: id}, saved)
	assert.NilError(b, err)
	return &liveReplica{
		b: b, node: n, log: log, batched: batched, group: g,
		inbox: make(chan replog.Message, 10_000), proposals: make(chan proposal, 1_000),
		waiting: map[replog.Position]chan struct{}{},
	}
}

func (g *liveGroup) stop() {
	close(g.quit)
	g.wg.Wait()
}

func (r *liveReplica) run() {
	for running := true; running; running = r.receive() {
		for r.node.HasReady() {
			rd := r.node.Ready()
			for _, m := range rd.Messages {
				r.group.replicas[m.To-1].inbox <- m
			}
			if err := r.log.Save(rd); err != nil {
				r.b.Error(err)
				return
			}
			r.node.Advance(rd)
			r.apply(rd.Committed)
		}
	}
}

// receive waits for input and takes everything that is available, but at most
// one proposal if not batched. Proposals wait until this replica is the leader.
func (r *liveReplica) receive() bool {
	proposals := r.proposals
	if r.node.Status().Role != replog.Leader {
		proposals = nil
	}
	select {
	case <-r.group.quit:
		return false
	case m := <-r.inbox:
		r.step(m)
	case p := <-proposals:
		r.propose(p)
		if !r.batched {
			return true
		}
	}
	for {
		select {
		case m := <-r.inbox:
			r.step(m)
			continue
		default:
		}
		if !r.batched {
			return true
		}
		select {
		case p := <-proposals:
			r.propose(p)
		default:
			return true
		}
	}
}

func (r *liveReplica) step(m replog.Message) {
	if err := r.node.Step(m); err != nil {
		r.b.Error(err)
	}
}

func (r *liveReplica) propose(p proposal) {
	at, err := r.node.Propose(p.data)
	if err != nil {
		r.b.Error(err)
		return
	}
	r.waiting[at] = p.done
}

func (r *liveReplica) apply(es []replog.Entry) {
	for _, e := range es {
		at := replog.Position{Term: e.Term, Index: e.Index}
		if done, ok := r.waiting[at]; ok {
			close(done)
			delete(r.waiting, at)
		}
	}
}
