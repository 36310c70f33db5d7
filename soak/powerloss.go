package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// powerLossFault is the name of the disruption with which a run ends.
const powerLossFault = "all lose their power, and disks are lost"

const (
	// The power goes at an acknowledgement, or from earliestLoss to latestLoss after a change was sent.
	earliestLoss = 5 * time.Millisecond
	latestLoss   = 400 * time.Millisecond
	// startSpan is the time within which all machines start again.
	startSpan = 300 * time.Millisecond
	// recoverWithin bounds the time from then until all is served again, in runs that judge times.
	recoverWithin = 12 * time.Second
)

// losePower kills all processes at one moment, while a configuration and weights are being
// acknowledged. As many control instances as the deployment tolerates lose their disks, and
// the others' last writes are torn. All start again in any order, entry instances with nothing.
func (w *world) losePower() {
	w.disks.Lock() // disks that were lost before have been replaced then
	defer w.disks.Unlock()
	n, over := w.d.ledger.disrupt(faultKind{name: powerLossFault})
	defer over()
	s := &strike{world: w, disruption: n, rng: rand.New(rand.NewPCG(w.d.options.Seed, 6))}
	changes, acked := s.sendChanges()
	s.awaitLoss(acked)
	before := w.d.ledger.newestAcked()
	s.strikes(func(d *disruption) { d.killed = w.d.entries })
	var ends sync.WaitGroup
	for _, i := range w.d.instances() {
		ends.Go(i.Kill)
	}
	ends.Wait()
	s.harmDisks((len(w.d.controls) - 1) / 2)
	all := w.d.instances()
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, i := range all {
		time.Sleep(time.Duration(s.rng.Int64N(int64(startSpan) / int64(len(all)))))
		s.up(i)
	}
	started := time.Now()
	changes.Wait()
	w.checkRecovery(before, started)
}

// checkRecovery checks that what was acknowledged is read back, and that all instances serve under it.
func (w *world) checkRecovery(acked uint64, started time.Time) {
	l := w.d.ledger
	if !until(func() bool { return w.operators.read() >= acked }) {
		l.breach("what is acknowledged stays", "", "configuration %d is not read back after the loss of power", acked)
	}
	if !until(func() bool { return l.servedSince(started, w.d.entries, acked) }) {
		l.breach("service comes back", "", "not every entry instance serves under configuration %d after the loss of power", acked)
	}
	took := time.Since(started)
	w.d.options.Progress(fmt.Sprintf("        every entry instance has served every kind of request %v after the start", took))
	if l.timed && took > recoverWithin {
		l.breach("service comes back", "", "only %v after the power came back", took)
	}
}

// sendChanges sends a configuration and weights. It returns a group that waits until both are
// acknowledged, and a channel that gets a value at each acknowledgement.
func (s *strike) sendChanges() (*sync.WaitGroup, <-chan struct{}) {
	var changes sync.WaitGroup
	acked := make(chan struct{}, 2)
	for _, send := range []func(){func() { s.operators.configure(0) }, s.operators.nameWeights} {
		changes.Go(func() {
			send()
			acked <- struct{}{}
		})
	}
	return &changes, acked
}

// awaitLoss waits until the power goes.
func (s *strike) awaitLoss(acked <-chan struct{}) {
	if s.rng.IntN(2) == 0 {
		s.d.options.Progress("        the power goes at an acknowledgement")
		<-acked
		return
	}
	after := earliestLoss + time.Duration(s.rng.Int64N(int64(latestLoss-earliestLoss)))
	s.d.options.Progress(fmt.Sprintf("        the power goes %v after a change was sent", after))
	time.Sleep(after)
}

// harmDisks takes the disks of some control instances, and tears the last writes of the others.
func (s *strike) harmDisks(lost int) {
	for n, at := range s.rng.Perm(len(s.d.controls)) {
		i := s.d.controls[at]
		harm := func() error { return i.Tear(s.unfinished()) }
		if n < lost {
			harm = i.Wipe
		}
		if err := harm(); err != nil {
			s.d.ledger.breach("the soak works", "", "disk of %s: %v", i.Name, err)
		}
	}
}
