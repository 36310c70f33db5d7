package forward

import (
	"fmt"
	"time"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/shares"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	simulatedZones          = 3
	simulatedReportInterval = 50 * time.Millisecond
	// simulatedMaxRate is far more than the simulated engines can start, in tokens a second.
	simulatedMaxRate = 1e6
)

// simulatedScheduler is an instance that places requests, or a zone's scheduler.
type simulatedScheduler struct {
	name   tables.InstanceID
	zone   tables.Zone
	totals shares.Totals
	// failure says how it fails from failsAt on.
	failure simulatedFailure
}

// simulatedFailure is a way in which a scheduler fails.
type simulatedFailure int

const (
	schedulerRuns simulatedFailure = iota
	// killed schedulers are left out at once, frozen ones after a question to each instance has
	// timed out, and those cut off answer but exchange no reports.
	schedulerKilled
	schedulerFrozen
	schedulerCutOff
)

// simulatedShares exchanges what instances have started in a simulation, as node does: through
// schedulers, or, with up to membership.FullMeshLimit instances, directly.
type simulatedShares struct {
	// zones holds the schedulers of each zone; empty without schedulers.
	zones      [simulatedZones][]*simulatedScheduler
	members    []*simulatedScheduler
	charges    []shares.Charges
	reportedAt tables.Instant
}

func newSimulatedShares(instances int) *simulatedShares {
	s := &simulatedShares{charges: make([]shares.Charges, instances)}
	for i := range instances {
		s.members = append(s.members, &simulatedScheduler{name: tables.InstanceID(fmt.Sprintf("i%d", i)), zone: tables.Zone(fmt.Sprint(i % simulatedZones))})
	}
	if instances <= membership.FullMeshLimit {
		return s
	}
	for i := range simulatedZones {
		for n := range max(2, (instances/simulatedZones+15)/16) {
			s.zones[i] = append(s.zones[i], s.members[i+simulatedZones*n])
		}
	}
	return s
}

func waiterKey(w *waiter) shares.Key {
	return shares.Key{Service: "models", Organisation: w.organisation, Class: w.class()}
}

// placer returns who places a request; false if it does not answer.
func (s *simulatedShares) placer(r *simulatedRequest) (*simulatedScheduler, bool) {
	zone := s.zones[r.instance.index%simulatedZones]
	if len(zone) == 0 {
		return s.members[r.instance.index], true
	}
	p := zone[int(r.waiter.arrivedAt/simulatedStep)%len(zone)]
	if p.failure == schedulerKilled || p.failure == schedulerFrozen {
		return s.members[r.instance.index], false
	}
	return p, true
}

// ask passes on the totals of a question, and returns what handles the answer.
func (s *simulatedShares) ask(sim *simulation, r *simulatedRequest) (yields bool, answered func(placed bool)) {
	if s == nil {
		return false, func(bool) {}
	}
	i, key := r.instance.index, waiterKey(&r.waiter)
	self := s.members[i].name
	p, isScheduler := s.placer(r)
	if isScheduler {
		p.totals.RecordInstance(sim.now, key, self, s.charges[i].Own(key))
	}
	need := shares.Request{Model: "m", Tokens: int(r.waiter.cost())}
	return p.totals.Yields(sim.now, key, need), func(placed bool) {
		if placed {
			p.totals.Placed(sim.now, key, uint64(r.waiter.cost()))
		} else {
			p.totals.Refused(sim.now, key, need, false)
		}
		charge := s.charges[i].Answered(sim.now, key, p.totals.Others(key, s.charges[i].Own(key)), simulatedMaxRate)
		r.instance.queue.chargeOthers(&r.waiter, charge)
	}
}

// started counts what an instance has started.
func (s *simulatedShares) started(sim *simulation, r *simulatedRequest) {
	if s != nil {
		s.charges[r.instance.index].Started(sim.now, waiterKey(&r.waiter), uint64(r.waiter.cost()))
	}
}

// step sends the reports.
func (s *simulatedShares) step(sim *simulation) {
	if s == nil || sim.now-s.reportedAt < simulatedReportInterval {
		return
	}
	s.reportedAt = sim.now
	if len(s.zones[0]) == 0 {
		for _, from := range s.members {
			reportPlaced(sim.now, from, s.members)
		}
		return
	}
	for z, schedulers := range s.zones {
		for _, from := range schedulers {
			if from.failure == schedulerRuns {
				reportPlaced(sim.now, from, schedulers)
				s.reportZone(sim.now, z, from)
			}
		}
	}
}

// reportPlaced reports what a placer has placed to others.
func reportPlaced(now tables.Instant, from *simulatedScheduler, receivers []*simulatedScheduler) {
	for _, cost := range from.totals.TakePlaced(64) {
		for _, to := range receivers {
			if to != from && to.failure == schedulerRuns {
				to.totals.RecordPlaced(now, cost.Key, from.name, cost.Total)
			}
		}
	}
}

// reportZone reports the totals of a scheduler's zone to the schedulers of the other zones.
func (s *simulatedShares) reportZone(now tables.Instant, zone int, from *simulatedScheduler) {
	for _, cost := range from.totals.TakeZone(64) {
		for z, schedulers := range s.zones {
			for _, to := range schedulers {
				if z != zone && to.failure == schedulerRuns {
					to.totals.RecordZone(now, cost.Key, from.zone, from.name, cost.Total)
				}
			}
		}
	}
}
