package rollout

import (
	"flag"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

var searchEngines = flag.Int("rollout.engines", 0, "number of engines of each draw with troubles, 0 for 4 to 40")

const (
	// boundBegin is when the first version is named and the troubles begin.
	boundBegin = 2 * time.Second
	// minSimEngines is the number of engines below which none is released.
	minSimEngines = 4
	// maxLoadOfTwo is the longest base time of a load if engines serve two models: all engines load twice within
	// the bound, a fifth of them at once.
	maxLoadOfTwo = 400 * time.Millisecond
	// maxLateShareOfTwo is the highest share of late orders then: each engine must get two orders.
	maxLateShareOfTwo = 0.9
)

// boundTroubles are the troubles of a run beside late orders.
type boundTroubles struct {
	// shed, hang, cut and crash are per engine and second.
	shed, hang, cut, crash float64
	// join, leave, handover and stale are per second.
	join, leave, handover, stale float64
	// sameID and outlives are as in simTrouble.
	sameID      float64
	outlives    bool
	models      int
	troubledFor time.Duration
}

// troubledDraw is a run with troubles that the bound is held against.
type troubledDraw struct {
	boundDraw
	boundTroubles
}

// troubleKinds are the kinds of trouble that a draw combines; the functions take one of them away.
var troubleKinds = map[string]func(*troubledDraw){
	"late orders":         func(d *troubledDraw) { d.lateFor = 0 },
	"pushbacks":           func(d *troubledDraw) { d.shed = 0 },
	"hangs":               func(d *troubledDraw) { d.hang = 0 },
	"partitions":          func(d *troubledDraw) { d.cut = 0 },
	"crashes":             func(d *troubledDraw) { d.crash = 0 },
	"joins":               func(d *troubledDraw) { d.join = 0 },
	"releases":            func(d *troubledDraw) { d.leave = 0 },
	"holders that change": func(d *troubledDraw) { d.handover = 0 },
	"stale lists":         func(d *troubledDraw) { d.stale = 0 },
	"two models":          func(d *troubledDraw) { d.models = 1 },
}

// sortedKinds returns the names of troubleKinds.
func sortedKinds() []string { return slices.Sorted(maps.Keys(troubleKinds)) }

// drawTroubled draws a run with the kinds of trouble that are wanted. Orders that are late are carried out before the
// bound ends.
func drawTroubled(seed uint64, checksFence bool, wanted func(kind string, drawn bool) bool) troubledDraw {
	random := rand.New(rand.NewPCG(seed, 95))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	rate := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	var d troubledDraw
	d.engines, d.versions, d.spacing = minSimEngines+random.IntN(37), 1+random.IntN(12), between(300*time.Millisecond, 8*time.Second)
	d.platform = simPlatform{
		lateShare: rate(0.2, 0.97), lateMin: between(500*time.Millisecond, 3*time.Second), lateMax: between(4*time.Second, maxVersionLag),
		loadTime: between(300*time.Millisecond, 800*time.Millisecond), loadSpread: 200 * time.Millisecond, checksFence: checksFence, slowsLoads: true,
		hangShare: rate(0.2, 0.6), answeredShare: rate(0.4, 0.8),
	}
	d.boundTroubles = boundTroubles{
		shed: rate(0.005, 0.05), hang: rate(0.005, 0.05), cut: rate(0.001, 0.005), crash: rate(0.003, 0.02),
		join: rate(0.02, 0.3), leave: rate(0.02, 0.2), handover: rate(0.02, 0.1), stale: rate(0.02, 0.2),
		sameID: random.Float64(), outlives: random.IntN(2) == 0, models: 2,
	}
	named := d.spacing * time.Duration(d.versions)
	d.lateFor, d.troubledFor = between(1500*time.Millisecond, named+simCalm), between(1500*time.Millisecond, named+maxVersionLag)
	for _, kind := range sortedKinds() {
		if drawn := random.IntN(2) == 0; !wanted(kind, drawn) {
			troubleKinds[kind](&d)
		}
	}
	if d.models == 2 {
		d.platform.loadTime, d.platform.lateShare = min(d.platform.loadTime, maxLoadOfTwo), min(d.platform.lateShare, maxLateShareOfTwo)
	}
	if *searchEngines > 0 {
		d.engines = *searchEngines
	}
	return d
}

// anyKinds takes the kinds that the seed draws.
func anyKinds(_ string, drawn bool) bool { return drawn }

// run plays the draw and returns the worst lag of a version. It ends once the bound has passed in calm since the last
// version and the last trouble.
func (d troubledDraw) run(seed uint64, prepare func(*simulation)) (time.Duration, *simulation) {
	s := newSimulationOn(d.platform, seed, d.engines, simTrouble{sameID: d.sameID, lateOutlivesProcess: d.outlives})
	if d.models == 2 {
		s.namedSecond = []simVersion{{version: 1}}
		for _, p := range s.processes {
			p.second = 1
		}
	}
	prepare(s)
	var worst time.Duration
	ends := boundBegin + max(d.troubledFor, d.spacing*time.Duration(d.versions))
	for s.now < ends || s.calm.since(ends) <= maxVersionLag+time.Second {
		if s.now >= boundBegin {
			d.name(s)
			d.disturb(s)
		}
		s.step()
		lag, _ := s.versionLag()
		worst = max(worst, lag)
	}
	return worst, s
}

// name names the versions that are due, of the models in turn.
func (d troubledDraw) name(s *simulation) {
	count := len(s.named) + max(0, len(s.namedSecond)-1)
	if due := 1 + int((s.now-boundBegin)/d.spacing); due < count || count > d.versions {
		return
	}
	named := &s.named
	if d.models == 2 && count%2 == 0 {
		named = &s.namedSecond
	}
	*named = append(*named, simVersion{version: uint64(len(*named) + 1), ackedAt: s.now})
}

// disturb begins the troubles of a step.
func (d troubledDraw) disturb(s *simulation) {
	for _, p := range s.processes {
		p.lateUntil = boundBegin + d.lateFor
	}
	if s.now >= boundBegin+d.troubledFor {
		return
	}
	running := s.running()
	chance := func(perSecond float64) bool {
		return perSecond > 0 && s.random.Float64() < perSecond*simStep.Seconds()
	}
	until := func(low, high int) tables.Instant {
		return s.now + time.Duration(low+s.random.IntN(high-low))*time.Millisecond
	}
	each := func(perEngine float64, begin func(*simProcess)) {
		if chance(perEngine * float64(len(running))) {
			begin(running[s.random.IntN(len(running))])
		}
	}
	each(d.shed, func(p *simProcess) { p.sheddingUntil = until(500, 5000) })
	each(d.hang, func(p *simProcess) { p.hangingUntil = until(500, 6000) })
	each(d.cut, func(p *simProcess) { p.cutUntil = until(500, 4000) })
	each(d.crash, s.crash)
	if chance(d.join) && len(running) < 2*d.engines {
		s.join()
	}
	if chance(d.leave) && len(running) > minSimEngines {
		s.release(running[s.random.IntN(len(running))], until(3000, 8000))
	}
	if chance(d.handover) {
		s.newHolder()
	}
	if chance(d.stale) {
		s.staleUntil = until(1000, 3000)
	}
}

// Guards against versions that two engines or more still lack when the platform's bound ends, whatever else is in trouble.
func TestVersionsAreInPlaceWithinTheBound(t *testing.T) {
	for name, checksFence := range map[string]bool{"fenced": true, "unfenced": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lags []time.Duration
			for seed := *searchFirst; seed < *searchFirst+uint64(*searchSeeds); seed++ {
				d := drawTroubled(seed, checksFence, anyKinds)
				lag, s := d.run(seed, func(*simulation) {})
				lags = append(lags, lag)
				assert.Check(t, lag <= maxVersionLag, "seed %d: %v, %d orders, %+v", seed, lag, s.orders, d)
			}
			slices.Sort(lags)
			t.Logf("lags of %d draws: median %v, worst %v", len(lags), lags[len(lags)/2], lags[max(0, len(lags)-5):])
		})
	}
}

// drawHardlyAnswered draws a run of nine engines that leave 19 of 20 orders unanswered, with the given other kinds of
// trouble.
func drawHardlyAnswered(seed uint64, checksFence bool, others ...string) troubledDraw {
	d := drawTroubled(seed, checksFence, func(kind string, _ bool) bool {
		return kind == "late orders" || slices.Contains(others, kind)
	})
	d.engines, d.platform.lateShare, d.lateFor = 9, 0.95, d.spacing*time.Duration(d.versions)+simCalm
	d.platform.loadTime = min(d.platform.loadTime, 600*time.Millisecond)
	return d
}

// Guards against versions that are late on draws of which one was once in place after maxVersionLag.
func TestVersionsAreInPlaceWithinTheBoundOnLateDraws(t *testing.T) {
	for name, draw := range map[string]struct {
		seed uint64
		troubledDraw
	}{
		"fenced_127":             {127, drawTroubled(127, true, anyKinds)},
		"unfenced_339":           {339, drawTroubled(339, false, anyKinds)},
		"fenced_holders_4003":    {4003, drawHardlyAnswered(4003, true, "holders that change")},
		"unfenced_holders_4162":  {4162, drawHardlyAnswered(4162, false, "holders that change")},
		"unfenced_shedding_4003": {4003, drawHardlyAnswered(4003, false, "pushbacks")},
		"unfenced_hangs_4162":    {4162, drawHardlyAnswered(4162, false, "hangs")},
		"unfenced_crashes_4028":  {4028, drawHardlyAnswered(4028, false, "pushbacks", "holders that change", "crashes")},
	} {
		t.Run(name, func(t *testing.T) {
			lag, s := draw.run(draw.seed, func(*simulation) {})
			assert.Assert(t, lag <= maxVersionLag, "%v, %d orders", lag, s.orders)
		})
	}
}
