package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// minCalm is the shortest calm stretch that counts towards maxVersionLag.
const minCalm = 2 * time.Second

// calmStretch is a time without a disrupted link.
type calmStretch struct{ from, to tables.Instant }

// calmClock is the clock of the platform's bounds. It stands still for all engines while any link is disrupted.
type calmClock struct {
	stretches []calmStretch
	calm      bool
}

// observe records whether the time since the last call was calm.
func (c *calmClock) observe(now tables.Instant, calm bool) {
	if calm && !c.calm {
		c.stretches = append(c.stretches, calmStretch{from: now - simStep})
	}
	c.calm = calm
	if calm {
		c.stretches[len(c.stretches)-1].to = now
	}
}

// since returns the calm time since an instant, without stretches shorter than minCalm.
func (c *calmClock) since(at tables.Instant) time.Duration {
	var sum time.Duration
	for _, stretch := range c.stretches {
		if stretch.to-stretch.from >= minCalm {
			sum += max(0, stretch.to-max(stretch.from, at))
		}
	}
	return sum
}

func (s *simulation) isCut(p *simProcess) bool { return !p.gone() && s.now < p.cutUntil }

// running returns the processes that serve requests and do not drain.
func (s *simulation) running() []*simProcess {
	return slices.DeleteFunc(s.live(), func(p *simProcess) bool { return p.draining })
}

// versionLag returns the longest calm time for which more than one engine and over a tenth of them have served an
// older version than one that has been acknowledged, counted for each version and from the start of each engine,
// and that version. Engines that drain do not count.
func (s *simulation) versionLag() (time.Duration, uint64) {
	engines := s.running()
	worst, of := s.modelLag(engines, s.named, func(p *simProcess) uint64 { return p.version })
	if lag, version := s.modelLag(engines, s.namedSecond, func(p *simProcess) uint64 { return p.second }); lag > worst {
		return lag, version
	}
	return worst, of
}

// modelLag returns the lag of the versions of one model.
func (s *simulation) modelLag(engines []*simProcess, named []simVersion, served func(*simProcess) uint64) (worst time.Duration, of uint64) {
	allowed := max(1, len(engines)/10)
	var lags []time.Duration
	for _, named := range named {
		lags = lags[:0]
		for _, p := range engines {
			if served(p) < named.version {
				lags = append(lags, s.calm.since(max(named.ackedAt, p.bornAt)))
			}
		}
		if len(lags) <= allowed {
			continue
		}
		slices.SortFunc(lags, func(a, b time.Duration) int { return cmp.Compare(b, a) })
		if lags[allowed] > worst {
			worst, of = lags[allowed], named.version
		}
	}
	return worst, of
}
