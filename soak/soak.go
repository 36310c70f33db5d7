// Package soak runs a whole forwarding deployment as separate processes on one
// machine, with stand-ins for everything around it, and does harm to it from
// outside: signals, lost disks, proxies that delay, reset, cut and silence
// connections, endpoints and operators that misbehave. Callers and operators go
// on all the while. What they and the endpoints see is held against what the
// system promises.
//
// The plan of a run follows from its seed. What happens at a moment does not:
// processes run in real time. So a run that shows a fault is kept as its seed
// and its logs.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

// Options set a run up.
type Options struct {
	// Daemon is the binary of an instance.
	Daemon string
	// Folder takes settings, state and logs.
	Folder string
	Seed   uint64
	// For is how long faults come.
	For time.Duration
	// Controls and Entries are how many instances there are.
	Controls, Entries int
	// Faults are the kinds to draw from; nil means all.
	Faults []string
	// Plan is played instead of one that is drawn from Seed, For and Faults, unless it is nil. Its
	// events are in the order of their times.
	Plan []Event
	// InForce checks how long changes take to be in force. That depends on the
	// machine too, so it is for runs by hand.
	InForce bool
	// LimitUse gives one organisation a rate limit below what its callers ask for.
	LimitUse bool
	// Capacity enables the capacity decisions of instances, has endpoints run out of slots, and
	// adds the faults that concern these decisions if Faults is nil.
	Capacity bool
	// PowerLoss ends the run with a loss of power on all machines, at which control instances lose
	// their disks.
	PowerLoss bool
	// Progress is told of each fault; nil for nobody.
	Progress func(string)
}

// Outcome is what a run showed.
type Outcome struct {
	Breaches []Breach
	// Requests by what became of them.
	Served, Refused, Failed, Broken int
	// Endings counts all requests by how they ended for their callers.
	Endings Endings
	// Silent and Endless are how many requests ran at an endpoint that paused the response or sent one
	// without end.
	Silent, Endless int
	// Faults is how many struck, Exits how often a process ended by itself.
	Faults, Exits int
	// Continued is how many runs were continued at another endpoint.
	Continued int
	// Resumptions is how many streams callers took up again, and Resumed how many of them went on.
	Resumptions, Resumed int
	// Acked is how many configurations were acknowledged.
	Acked int
}

func (o *Outcome) String() string {
	return fmt.Sprintf("%d served, %d refused, %d failed, %d broken off, %d continued, %d of %d resumed; %d faults, %d configurations acknowledged, %d own exits, %d breaches",
		o.Served, o.Refused, o.Failed, o.Broken, o.Continued, o.Resumed, o.Resumptions, o.Faults, o.Acked, o.Exits, len(o.Breaches))
}

// world is a run.
type world struct {
	d         *deployment
	load      *load
	operators *operators
	// disks is held while a disk is lost, replacing while an endpoint leaves.
	disks, replacing sync.Mutex
	// missing is held while a control instance misses changes: two at once would take
	// the quorum, which is another fault.
	missing sync.Mutex
}

const (
	// settleWithin bounds the wait until a deployment serves, at the start and
	// after the last fault. It is long, since machines under test are busy.
	settleWithin = time.Minute
	settleLook   = 100 * time.Millisecond
)

// Run runs a deployment through a plan. An error means that the run itself
// could not be made.
func Run(o Options) (*Outcome, error) {
	// State of an earlier run in the folder would belong to another deployment.
	if err := os.RemoveAll(o.Folder); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, err
	}
	if o.Faults == nil {
		o.Faults = FaultNames()
		if o.Capacity {
			o.Faults = append(o.Faults, capacityFaults()...)
		}
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	d, err := newDeployment(o)
	if err != nil {
		return nil, err
	}
	defer d.close()
	d.ledger.timed, d.ledger.limited = o.InForce, o.LimitUse
	d.ledger.capacity = o.Capacity
	w := &world{d: d, operators: newOperators(d)}
	for _, i := range d.instances() {
		if err := d.start(i); err != nil {
			return nil, err
		}
	}
	w.operators.configure(0)
	if !w.settled() {
		d.ledger.breach("a deployment starts", "", "it does not serve %v after its first configuration", settleWithin)
		return w.outcome(0), nil
	}
	w.load = startLoad(d)
	w.operators.readBack()
	stop := make(chan struct{})
	go d.places.revive(stop, func(err error) { d.ledger.breach("the soak works", "", "endpoint: %v", err) })
	stalls := watchStalls(stop)
	if o.Plan == nil {
		o.Plan = Plan(o.Seed, o.For, o.Faults)
	}
	if o.Capacity || strikesMemory(o.Plan) {
		go w.watchMemory(stop)
	}
	struck := w.follow(o.Plan)
	w.recover()
	if o.PowerLoss {
		w.losePower()
		w.recover()
	}
	w.load.end()
	if o.Capacity {
		w.checkNothingIsLeft()
	}
	w.operators.end()
	close(stop)
	d.ledger.stalled = <-stalls
	o.Progress(fmt.Sprintf("the machine stalled for at most %v", d.ledger.stalled))
	d.ledger.judge()
	return w.outcome(struck), nil
}

// follow lets the faults of a plan strike, each at its time, and waits until the
// last is over.
func (w *world) follow(plan []Event) int {
	began := time.Now()
	var open sync.WaitGroup
	for _, event := range plan {
		time.Sleep(event.At - time.Since(began))
		n := slices.IndexFunc(faultKinds, func(k faultKind) bool { return k.name == event.Fault })
		if n < 0 {
			w.d.ledger.breach("the soak works", "", "no fault is called %q", event.Fault)
			continue
		}
		kind := faultKinds[n]
		w.d.options.Progress(fmt.Sprintf("%6.1f s  %s", time.Since(began).Seconds(), kind.name))
		open.Go(func() {
			n, over := w.d.ledger.disrupt(kind)
			defer over()
			kind.do(&strike{world: w, disruption: n, rng: rand.New(rand.NewPCG(event.Seed, 5)), long: event.For})
		})
	}
	open.Wait()
	return len(plan)
}

// settled waits until every entry serves the newest configuration that was
// acknowledged.
func (w *world) settled() bool {
	return until(func() bool {
		for _, i := range w.d.entries {
			if !ready(i) {
				return false
			}
		}
		return true
	})
}

// until waits until something holds, and says whether it did in time.
func until(holds func() bool) bool {
	deadline := time.Now().Add(settleWithin)
	for !holds() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(settleLook)
	}
	return true
}

// recover checks that the deployment is whole again once nothing is wrong.
func (w *world) recover() {
	l := w.d.ledger
	for _, i := range w.d.instances() {
		i.Resume()
		if err := w.d.start(i); err != nil {
			l.breach("the soak works", "", "%s does not start: %v", i.Name, err)
		}
	}
	if !w.settled() {
		l.breach("service comes back", "", "not all entry instances are ready %v after the last fault", settleWithin)
	}
	w.operators.configure(0)
	acked := l.newestAcked()
	if !until(func() bool { return w.operators.read() >= acked }) {
		l.breach("what is acknowledged stays", "", "configuration %d is not read back", acked)
	}
	from := time.Now()
	if !until(func() bool { return l.servedSince(from, w.d.entries, acked) }) {
		l.breach("service comes back", "", "not every entry instance serves every kind of request under configuration %d", acked)
	}
	if !until(func() bool { return w.weightsInPlace() }) {
		l.breach("new weights reach all", "", "wanted %d, endpoints have %v", l.newestWeights(), w.d.fleet.ServingWeights())
	}
	for _, i := range w.d.instances() {
		if exits, last := i.Exits(); exits > 0 {
			l.breach("processes do not end by themselves", "", "%s ended %d times, last with %s", i.Name, exits, last)
		}
	}
}

// weightsInPlace says whether all endpoints have the newest weights.
func (w *world) weightsInPlace() bool {
	w.d.ledger.mu.Lock()
	least, most := w.d.ledger.weightsAcked, w.d.ledger.weights
	w.d.ledger.mu.Unlock()
	for _, version := range w.d.fleet.ServingWeights() {
		if version < least || version > most {
			return false
		}
	}
	return true
}

// servedSince says whether each entry has answered each kind of request well
// since a moment, and handled one under a configuration at least as new.
func (l *ledger) servedSince(from time.Time, entries []*instance, number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	type served struct {
		entry *instance
		kind  *kind
	}
	seen, newest := map[served]bool{}, map[*instance]bool{}
	for _, r := range l.requests {
		if r.sent.Before(from) || !r.result.Complete {
			continue
		}
		seen[served{r.entry, r.kind}] = true
		for _, run := range r.runs {
			if numberOf(run.Organisation) >= number {
				newest[r.entry] = true
			}
		}
	}
	return len(seen) == len(entries)*len(kinds) && len(newest) == len(entries)
}

// outcome counts what the run showed.
func (w *world) outcome(faults int) *Outcome {
	l := w.d.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &Outcome{Breaches: l.breaches, Faults: faults}
	for _, r := range l.requests {
		o.Endings[r.ending()]++
		if r.ranWith(platformtest.Silences) {
			o.Silent++
		}
		if r.ranWith(platformtest.Endless) {
			o.Endless++
		}
		o.Continued += len(r.runs) - len(r.begunRuns())
		if r.Resumes != "" {
			o.Resumptions++
			if r.result.Events > 0 {
				o.Resumed++
			}
		}
		switch {
		case r.cancelled:
		case r.result.Complete:
			o.Served++
		case r.result.NotExecuted():
			o.Refused++
		case r.result.Err != nil:
			o.Broken++
		default:
			o.Failed++
		}
	}
	for _, d := range l.documents {
		if !d.acked.IsZero() {
			o.Acked++
		}
	}
	for _, i := range w.d.instances() {
		exits, _ := i.Exits()
		o.Exits += exits
	}
	return o
}

// Report writes breaches, one a line, and where the logs are.
func (o *Outcome) Report(folder string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  requests: %s; responses paused for %d and without end for %d\n", o.Endings, o.Silent, o.Endless)
	for _, breach := range o.Breaches {
		fmt.Fprintf(&b, "  %s\n", breach)
	}
	if len(o.Breaches) > 0 {
		fmt.Fprintf(&b, "  logs: %s\n", folder)
	}
	return b.String()
}
