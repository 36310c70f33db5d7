package rollout

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

var (
	searchSeeds = flag.Int("rollout.seeds", 20, "seeds of each kind of trouble that the search plays")
	searchFirst = flag.Uint64("rollout.first", 1, "first seed of the search")
)

const (
	// maxVersionLag is the platform's bound: an endpoint has a version this long after it was acknowledged.
	maxVersionLag = 11 * time.Second
	// simTroubled and simCalm are the parts of a run with and without new troubles. Late orders come up to
	// 12 s after the first part.
	simTroubled = 30 * time.Second
	simCalm     = 30 * time.Second
)

// searchTroubles are the kinds of trouble that the search combines.
var searchTroubles = map[string]simTrouble{
	"none":                      {},
	"late orders":               {late: true},
	"silence":                   {silence: true},
	"crashes":                   {crash: true, sameID: 0.3},
	"late orders, crashes":      {late: true, crash: true, sameID: 0.5},
	"late orders that outlive":  {late: true, crash: true, sameID: 0.8, lateOutlivesProcess: true},
	"late orders, silence":      {late: true, silence: true},
	"pushbacks":                 {shed: true},
	"pushbacks, late orders":    {shed: true, late: true},
	"all":                       {late: true, crash: true, silence: true, shed: true, sameID: 0.3},
	"all, holders that change":  {late: true, crash: true, silence: true, shed: true, handover: true, sameID: 0.3},
	"all, orders that outlive":  {late: true, crash: true, silence: true, shed: true, handover: true, sameID: 0.8, lateOutlivesProcess: true},
	"odd entries":               {odd: true},
	"all, odd entries":          {late: true, crash: true, silence: true, shed: true, handover: true, odd: true, sameID: 0.8, lateOutlivesProcess: true},
	"crashes, silence, release": {crash: true, silence: true, handover: true, sameID: 0},
}

// behind returns the processes that have been free of trouble for maxVersionLag and still serve an older
// version than one that was acknowledged that long ago.
func (s *simulation) behind() []string {
	var ids []string
	for _, p := range s.live() {
		for _, named := range s.named {
			if p.version < named.version && s.now-max(named.ackedAt, p.bornAt, p.troubledAt) > maxVersionLag {
				ids = append(ids, fmt.Sprintf("%s has %d, not %d", p.id, p.version, named.version))
				break
			}
		}
	}
	return ids
}

// runSearch plays one seed and returns what was behind first, and when.
func runSearch(seed uint64, engines int, trouble simTrouble) (*simulation, []string, tables.Instant) {
	s := newSimulation(seed, engines, trouble)
	for s.now < simTroubled+simCalm {
		s.draw(simTroubled)
		s.step()
		if late := s.behind(); len(late) > 0 {
			return s, late, s.now
		}
	}
	return s, nil, 0
}

// Guards against endpoints without trouble of their own that keep replaced weights, whatever befalls the others.
func TestSoundEndpointsFollowTheTarget(t *testing.T) {
	for name, trouble := range searchTroubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := *searchFirst; seed < *searchFirst+uint64(*searchSeeds); seed++ {
				s, late, at := runSearch(seed, 9, trouble)
				assert.Check(t, len(late) == 0, "seed %d, at %v: %v", seed, at, late)
				assert.Check(t, s.controller.planner.Converged() || len(late) > 0, "seed %d: not converged", seed)
			}
		})
	}
}
