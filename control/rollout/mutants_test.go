package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mutantDraw draws a run of nine engines with one kind of trouble, none or, for "all", all of them.
func mutantDraw(seed uint64, only string) troubledDraw {
	d := drawTroubled(seed, true, func(kind string, _ bool) bool { return kind == only || only == "all" })
	d.engines = 9
	return d
}

// dropTwo has no order reach two of the engines.
func dropTwo(s *simulation) { s.dropsOrders = map[int]bool{0: true, 1: true} }

// Guards against a search that passes whatever the planner does.
func TestSearchFailsIfTwoEnginesGetNoOrder(t *testing.T) {
	for _, kind := range append(sortedKinds(), "none", "all") {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				lag, _ := mutantDraw(seed, kind).run(seed, dropTwo)
				assert.Check(t, lag > maxVersionLag, "seed %d: %v", seed, lag)
			}
		})
	}
}

// Guards against a bound that is held while a link is cut.
func TestVersionLagStopsWhileALinkIsCut(t *testing.T) {
	const cut, rest = 30 * time.Second, 5 * time.Second
	s := newSimulation(1, 9, simTrouble{})
	dropTwo(s)
	for s.now < boundBegin {
		s.step()
	}
	s.named = append(s.named, simVersion{version: 2, ackedAt: s.now})
	s.processes[8].cutUntil = s.now + cut
	for end := s.now + cut + rest; s.now < end; {
		s.step()
	}
	lag, version := s.versionLag()
	assert.Equal(t, version, uint64(2))
	assert.Assert(t, lag <= rest+simStep, "%v", lag)
}

// Guards against engines in trouble of their own, but a cut link, that are excused.
func TestVersionLagCountsTroubledEngines(t *testing.T) {
	s := newSimulation(1, 9, simTrouble{})
	dropTwo(s)
	s.named = append(s.named, simVersion{version: 2, ackedAt: s.now})
	for end := s.now + maxVersionLag + time.Second; s.now < end; s.step() {
		for _, p := range s.processes[:2] {
			p.sheddingUntil, p.hangingUntil, p.lateUntil = end, end, end
		}
	}
	lag, _ := s.versionLag()
	assert.Assert(t, lag > maxVersionLag, "%v", lag)
	s.processes[0].draining = true
	lag, _ = s.versionLag()
	assert.Equal(t, lag, time.Duration(0))
}
