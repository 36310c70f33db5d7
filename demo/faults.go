package demo

import (
	"time"
)

// faultScript does what the chosen fault asks for at given points of the load.
type faultScript struct {
	world  *world
	points map[int]func()
	ending func()
	done   chan struct{}
}

func newFaultScript(w *world, items int) *faultScript {
	s := &faultScript{world: w, points: make(map[int]func()), ending: func() {}}
	switch w.options.Fault {
	case FaultCrash:
		s.points[items/4] = func() { s.crash(0) }
		s.points[items*3/4] = func() { s.crash(4) }
	case FaultPartition:
		s.points[items/3] = func() { w.network.Isolate(zones[len(zones)-1]) }
		s.points[items*2/3] = w.network.Heal
		s.ending = w.network.Heal
	case FaultOverload:
		s.points[items/4] = s.slowDown
	case FaultRestart:
		s.done = make(chan struct{})
		s.points[items/4] = func() { go s.restartAll() }
		s.ending = func() { <-s.done }
	}
	return s
}

func (s *faultScript) at(item int) {
	if do, ok := s.points[item]; ok {
		do()
	}
}

func (s *faultScript) end() { s.ending() }

// slowDown makes every engine slow, so that together with the faster sending
// the work arrives several times faster than it can be done.
func (s *faultScript) slowDown() {
	for _, e := range s.world.fleet.engines {
		e.Slow(overloadSlowdown)
	}
}

// crash takes an engine down and brings it back later.
func (s *faultScript) crash(engine int) {
	w := s.world
	w.chosenCrashes.Add(1)
	e := w.fleet.engines[engine]
	e.Crash()
	w.background.Go(func() {
		time.Sleep(downtime / speedup)
		_ = e.Restart()
	})
}

// restartAll drains and restarts every instance, one after another.
func (s *faultScript) restartAll() {
	defer close(s.done)
	for _, i := range s.world.balancer.instances {
		if err := i.drain(); err != nil {
			s.world.note("a drain did not end: " + err.Error())
		}
		if err := i.start(s.world); err != nil {
			s.world.note("an instance did not come back: " + err.Error())
			return
		}
		s.waitReady(i)
	}
}

// waitReady waits until the balancer sends callers to an instance again, as an
// operator does before restarting the next one.
func (s *faultScript) waitReady(i *instance) {
	deadline := time.Now().Add(startTimeout)
	for !i.ready.Load() {
		if time.Now().After(deadline) {
			s.world.note("an instance did not become ready after its restart")
			return
		}
		time.Sleep(balancerPeriod)
	}
}
