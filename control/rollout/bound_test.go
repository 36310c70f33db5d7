package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// boundDraw is a run that the bound is held against.
type boundDraw struct {
	platform simPlatform
	engines  int
	versions int
	// spacing is the time between two versions; lateFor is how long orders are late, from shortly before the first.
	spacing, lateFor time.Duration
}

// drawBound draws a run in which orders that are late are carried out before the bound ends.
func drawBound(seed uint64, checksFence bool) boundDraw {
	random := rand.New(rand.NewPCG(seed, 94))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	d := boundDraw{engines: 4 + random.IntN(37), versions: 1 + random.IntN(12), spacing: between(300*time.Millisecond, 8*time.Second)}
	lateMin := between(500*time.Millisecond, 3*time.Second)
	d.platform = simPlatform{
		lateShare: 0.2 + 0.77*random.Float64(), lateMin: lateMin, lateMax: between(4*time.Second, 12*time.Second),
		loadTime: between(300*time.Millisecond, 600*time.Millisecond), loadSpread: 200 * time.Millisecond, checksFence: checksFence, slowsLoads: true,
	}
	d.lateFor = between(1500*time.Millisecond, d.spacing*time.Duration(d.versions)+simCalm)
	return d
}

// run plays the draw and returns the worst lag of a version.
func (d boundDraw) run(seed uint64) (time.Duration, *simulation) {
	s := newSimulationOn(d.platform, seed, d.engines, simTrouble{})
	begin := 2 * time.Second
	for s.now < begin {
		s.step()
	}
	for _, p := range s.processes {
		p.lateUntil = s.now + d.lateFor
	}
	var worst time.Duration
	for end := begin + d.spacing*time.Duration(d.versions) + 14*time.Second; s.now < end; s.step() {
		if due := 1 + int((s.now-begin)/d.spacing); due >= len(s.named) && len(s.named) <= d.versions {
			s.named = append(s.named, simVersion{version: uint64(len(s.named) + 1), ackedAt: s.now})
		}
		lag, _ := s.versionLag()
		worst = max(worst, lag)
	}
	return worst, s
}

// overdueSeeds are draws of which a version was once in place after maxVersionLag.
var overdueSeeds = []uint64{66, 72, 113, 125, 132}

// Guards against versions that two engines or more still lack when the platform's bound ends, since orders are late.
func TestVersionsAreInPlaceWithinTheBoundBesideLateOrders(t *testing.T) {
	for name, checksFence := range map[string]bool{"fenced": true, "unfenced": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lags []time.Duration
			var orders, loads, updates int
			var crowded time.Duration
			seeds := slices.Clone(overdueSeeds)
			for i := range uint64(*searchSeeds) {
				seeds = append(seeds, *searchFirst+i)
			}
			for _, seed := range seeds {
				d := drawBound(seed, checksFence)
				lag, s := d.run(seed)
				lags = append(lags, lag)
				orders, loads, updates, crowded = orders+s.orders, loads+s.loads, updates+d.engines*d.versions, crowded+s.crowded
				assert.Check(t, lag <= maxVersionLag, "seed %d: %v, %d orders, %+v", seed, lag, s.orders, d)
			}
			slices.Sort(lags)
			t.Logf("lags of %d draws: median %v, 99 of 100 below %v, worst %v; %.2f orders and %.2f loads an update, more loads than allowed for %v a draw",
				len(lags), lags[len(lags)/2], lags[len(lags)*99/100], lags[len(lags)-1],
				float64(orders)/float64(updates), float64(loads)/float64(updates), crowded/time.Duration(len(lags)))
		})
	}
}
