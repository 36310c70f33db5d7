package scenario

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/standin"
)

const (
	openStreams = 24
	longAnswer  = 100_000
	callers     = 6
)

func startedWorld(b *testing.B) *world {
	b.Helper()
	w, err := newWorld(b.TempDir())
	b.Cleanup(w.close)
	assert.NilError(b, err)
	for _, i := range w.instances {
		assert.NilError(b, i.begin())
	}
	for _, i := range w.instances {
		assert.NilError(b, i.configured())
	}
	return w
}

func (w *world) address(n int) string {
	return w.instances["entry-"+string(zones[n%len(zones)])].options.Process.Listen.Callers.String()
}

func (w *world) open(name string, address string, tokens int) *request {
	r := newRequest(name, "prompt of "+name, tokens)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	w.requests[name] = r
	go r.run(ctx, address, true, false)
	return r
}

func (r *request) so(b *testing.B) int {
	b.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pieces
}

// running gives the streams that each engine runs.
func (w *world) running() map[string][]*request {
	by := map[uint64]*request{}
	for _, r := range w.requests {
		by[standin.PromptWork(r.prompt)] = r
	}
	on := map[string][]*request{}
	for _, a := range w.records.Attempts() {
		if r := by[a.Work]; r != nil && a.End == standin.EndRunning {
			on[string(a.Endpoint)] = append(on[string(a.Endpoint)], r)
		}
	}
	return on
}

// reopen ends the open streams and opens others, so that no stream meets more
// than one crash.
func (w *world) reopen(b *testing.B, round int) {
	b.Helper()
	for _, r := range w.requests {
		r.cancel()
		<-r.done
	}
	clear(w.requests)
	for n := range openStreams {
		w.open(fmt.Sprint("stream-", round, "-", n), w.address(n), longAnswer)
	}
	for _, r := range w.requests {
		assert.NilError(b, r.await(50))
	}
}

// BenchmarkEngineCrash crashes one engine after the other under open streams,
// one token every 20 ms each, and measures how long their callers wait for the
// next token.
func BenchmarkEngineCrash(b *testing.B) {
	w := startedWorld(b)
	for _, e := range w.engines {
		e.Slow(slowdown)
	}
	before := w.records.Totals()
	var gaps []time.Duration
	var mu sync.Mutex
	cut, hit := 0, 0
	names := []string{}
	for name := range w.engines {
		names = append(names, name)
	}
	slices.Sort(names)
	for n := range b.N {
		w.reopen(b, n)
		name := names[n%len(names)]
		streams := w.running()[name]
		hit += len(streams)
		var waiting sync.WaitGroup
		w.engines[name].Crash()
		crashed := time.Now()
		for _, r := range streams {
			have := r.so(b)
			waiting.Go(func() {
				err := r.await(have + 1)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					b.Log(err)
					cut++
					return
				}
				gaps = append(gaps, time.Since(crashed))
			})
		}
		waiting.Wait()
		assert.NilError(b, w.engines[name].Restart())
		// The engine is on probation for a while after its return.
		time.Sleep(time.Second)
	}
	after := w.records.Totals()
	slices.Sort(gaps)
	if len(gaps) > 0 {
		b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
		b.ReportMetric(float64(gaps[len(gaps)*95/100].Milliseconds()), "p95-ms")
		b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-ms")
		b.ReportMetric(float64(after.ResumedTokens-before.ResumedTokens)/float64(len(gaps)), "resumed-tokens/stream")
	}
	b.ReportMetric(float64(hit)/float64(b.N), "streams/crash")
	b.ReportMetric(float64(cut)/float64(b.N), "cut/crash")
}

// BenchmarkRestart restarts one of three instances gracefully, again and again,
// under load from callers that a balancer sends to ready instances.
func BenchmarkRestart(b *testing.B) {
	w := startedWorld(b)
	var ready [3]atomic.Bool
	stop, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { w.watch(stop, &ready) })
	for !ready[0].Load() || !ready[1].Load() || !ready[2].Load() {
		time.Sleep(time.Millisecond)
	}
	var sent, lost atomic.Int64
	for c := range callers {
		all.Go(func() {
			for n := 0; stop.Err() == nil; n++ {
				at := (c + n) % 3
				if !ready[at].Load() {
					continue
				}
				r := newRequest("x", fmt.Sprint("prompt ", c, n), 20)
				r.run(context.Background(), w.address(at), n%2 == 0, false)
				sent.Add(1)
				if got := r.describe(); got != "whole" {
					lost.Add(1)
					b.Logf("lost: %s", got)
				}
			}
		})
	}
	var first []time.Duration
	for n := range b.N {
		i := w.instances["entry-"+string(zones[n%3])]
		i.drain()
		<-i.drained
		assert.NilError(b, i.drainErr)
		began := time.Now()
		assert.NilError(b, i.begin())
		for {
			r := newRequest("first", fmt.Sprint("first ", n), 1)
			r.run(context.Background(), w.address(n), false, false)
			if r.describe() == "whole" {
				break
			}
		}
		first = append(first, time.Since(began))
		for !ready[n%3].Load() {
			time.Sleep(time.Millisecond)
		}
	}
	cancel()
	all.Wait()
	slices.Sort(first)
	b.ReportMetric(float64(lost.Load()), "lost")
	b.ReportMetric(float64(sent.Load()), "sent")
	b.ReportMetric(float64(first[len(first)/2].Milliseconds()), "first-p50-ms")
	b.ReportMetric(float64(first[len(first)-1].Milliseconds()), "first-max-ms")
}

// watch asks the instances whether they are ready, as a balancer does.
func (w *world) watch(ctx context.Context, ready *[3]atomic.Bool) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for n := range zones {
			resp, err := client.Get("http://" + w.address(n) + "/readyz")
			ok := err == nil && resp.StatusCode < 300
			if err == nil {
				_ = resp.Body.Close()
			}
			ready[n].Store(ok)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// BenchmarkOverload sends twice as many requests as the engines can run and
// counts the attempts that the engines saw for each request.
func BenchmarkOverload(b *testing.B) {
	const (
		tokens   = 20
		seconds  = 10
		capacity = enginesPerZone * 3 * standin.DefaultSlots * int(time.Second) / (tokens * slowdown * int(stepTime))
		rate     = 2 * capacity
	)
	w := startedWorld(b)
	for _, e := range w.engines {
		e.Slow(slowdown)
	}
	for range b.N {
		before := w.records.Totals()
		var all sync.WaitGroup
		var whole, notRun, other atomic.Int64
		tick := time.NewTicker(time.Second / time.Duration(rate))
		for n := range rate * seconds {
			<-tick.C
			all.Go(func() {
				r := newRequest("x", fmt.Sprint("overload ", n), tokens)
				r.run(context.Background(), w.address(n), true, false)
				switch {
				case r.describe() == "whole":
					whole.Add(1)
				case r.failure != nil && r.failure.Outcome == "not_run":
					notRun.Add(1)
				default:
					other.Add(1)
				}
			})
		}
		all.Wait()
		tick.Stop()
		after := w.records.Totals()
		sent := float64(rate * seconds)
		b.ReportMetric(float64(after.Attempts+after.Declined-before.Attempts-before.Declined)/float64(whole.Load()+other.Load()), "attempts/dispatched")
		b.ReportMetric(float64(whole.Load())/sent, "whole")
		b.ReportMetric(float64(notRun.Load())/sent, "not-run")
		b.ReportMetric(float64(other.Load())/sent, "other")
	}
}
