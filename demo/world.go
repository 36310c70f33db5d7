package demo

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/internal/partition"
	"github.com/carawaystile/carawaystile/tables"
)

// world is everything that a run consists of.
type world struct {
	options       Options
	network       *partition.Network
	fleet         *fleet
	configuration *tables.Configuration
	folder        string
	balancer      *balancer
	caller        *caller
	stop          context.CancelFunc
	background    sync.WaitGroup

	done    atomic.Int64
	mu      sync.Mutex
	results []result
	// notes are promises that broke outside of requests.
	notes []string
	// chosenCrashes counts the crashes that no request caused.
	chosenCrashes atomic.Int64
}

func newWorld(ctx context.Context, o Options) (*world, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &world{options: o, network: partition.New(), caller: newCaller(), stop: cancel, balancer: &balancer{}}
	if err := w.start(ctx); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) start(ctx context.Context) (err error) {
	if w.fleet, err = newFleet(w.options, w.network); err != nil {
		return err
	}
	if w.configuration, err = w.fleet.configuration(); err != nil {
		return err
	}
	if w.folder, err = os.MkdirTemp("", "carawaystile-demo-"); err != nil {
		return err
	}
	w.balancer.instances, err = newInstances(w.folder, w.network, zones)
	if err != nil {
		return err
	}
	for _, i := range w.balancer.instances {
		if err := i.start(w); err != nil {
			return err
		}
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range w.balancer.instances {
		if err := i.configured(ready); err != nil {
			return err
		}
	}
	w.background.Go(func() { w.balancer.watch(ctx) })
	w.background.Go(func() { w.progress(ctx) })
	return nil
}

func (w *world) close() {
	w.stop()
	w.network.Heal()
	w.background.Wait()
	// Together: instances that lost their quorum wait a while before they give
	// up what they still ask of it.
	var closing sync.WaitGroup
	for _, i := range w.balancer.instances {
		closing.Go(i.close)
	}
	closing.Wait()
	if w.fleet != nil {
		w.fleet.close()
	}
	w.caller.client.CloseIdleConnections()
	if w.folder != "" {
		_ = os.RemoveAll(w.folder)
	}
}

// progress prints a line now and then.
func (w *world) progress(ctx context.Context) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t := w.fleet.records.Totals()
			fmt.Fprintf(w.options.Progress, "%d of %d requests ended, %d attempts, %d tokens, %d engine crashes\n",
				w.done.Load(), w.options.Requests, t.Attempts, t.EmittedTokens, t.Crashes)
		case <-ctx.Done():
			return
		}
	}
}

// send sends all items when they are due and returns what came back. Callers
// do not wait for each other.
func (w *world) send(ctx context.Context, items []item) []result {
	var callers sync.WaitGroup
	began := time.Now()
	script := newFaultScript(w, len(items))
	for n := range items {
		script.at(n)
		timer := time.NewTimer(time.Until(began.Add(items[n].due)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			callers.Wait()
			return w.results
		}
		callers.Go(func() { w.call(ctx, &items[n]) })
	}
	callers.Wait()
	script.end()
	return w.results
}

// call is what one caller does.
func (w *world) call(ctx context.Context, i *item) {
	defer w.done.Add(1)
	first := w.balancer.pick()
	w.keep(w.caller.send(ctx, i, first.address))
	switch {
	case i.poisoned:
		w.resendPoisoned(ctx, i)
	case i.resend:
		w.resend(ctx, i)
	}
}

// resend is a caller that lost its answer, or thinks so, and sends the same
// work through two other instances at once.
func (w *world) resend(ctx context.Context, i *item) {
	var both sync.WaitGroup
	for range 2 {
		other := w.balancer.pick()
		both.Go(func() {
			r := w.caller.send(ctx, i, other.address)
			r.resent = true
			w.keep(r)
		})
	}
	both.Wait()
}

// resendPoisoned sends the request that crashes engines through every
// instance.
func (w *world) resendPoisoned(ctx context.Context, i *item) {
	for range 2 * len(zones) {
		r := w.caller.send(ctx, i, w.balancer.pick().address)
		r.resent = true
		w.keep(r)
	}
}

func (w *world) note(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, text)
}

func (w *world) keep(r result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, r)
}

// settle waits until no engine runs anything and reports whether that came.
func (w *world) settle(ctx context.Context) bool {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		busy := 0
		for _, e := range w.fleet.engines {
			busy += e.Busy()
		}
		if busy == 0 {
			return true
		}
		time.Sleep(balancerPeriod)
	}
	return false
}
