package usage

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// demandShares is an alternative algorithm for comparison: each instance has a token bucket
// for its own share of the limit, and all instances exchange their demand periodically.
type demandShares struct {
	limit  Limit
	random *rand.Rand
	now    tables.Instant
	// instances is indexed by the number of the instance.
	instances  []instanceShare
	admissions []admission
	refused    int
	messages   int
}

// instanceShare is the token bucket of one instance.
type instanceShare struct {
	tokenBucket
	demand averagedRate
	// totalDemand is the demand of all instances in the last exchange.
	totalDemand float64
}

const exchangeInterval = 250 * time.Millisecond

func newDemandShares(instances int, limit Limit) *demandShares {
	s := &demandShares{limit: limit, random: rand.New(rand.NewPCG(1, 2)), instances: make([]instanceShare, instances)}
	for i := range s.instances {
		s.instances[i].level = limit.Burst / float64(instances)
	}
	return s
}

// exchange tells every instance the demand of all.
func (s *demandShares) exchange() {
	total := 0.0
	for i := range s.instances {
		total += s.instances[i].demand.value(s.now)
	}
	for i := range s.instances {
		s.instances[i].totalDemand = total
		s.messages += len(s.instances) - 1
	}
}

// request decides about a request at instance i.
func (s *demandShares) request(i int, cost int64) {
	one := &s.instances[i]
	own := one.demand.value(s.now)
	share := limitShare(own, max(one.totalDemand, own), s.limit.Rate, len(s.instances))
	one.refill(s.now, Limit{Rate: s.limit.Rate, Burst: s.limit.Burst * share}, share)
	one.demand.add(s.now, float64(cost))
	if one.level < 0 {
		s.refused++
		return
	}
	one.level -= float64(cost)
	s.admissions = append(s.admissions, admission{at: s.now, cost: cost})
}

// simulate generates load at a multiple of the limit for 20 s, at all instances or, if
// uneven is set, at one instance of ten only.
func (s *demandShares) simulate(demand float64, uneven bool) (usable, peak, refused float64) {
	targets := len(s.instances)
	if uneven {
		targets = max(1, targets/10)
	}
	const cost = 6000
	next, requests := tables.Instant(0), 0
	for s.now < 20*time.Second {
		s.now += time.Duration(s.random.ExpFloat64() * cost / (demand * s.limit.Rate) * float64(time.Second))
		if s.now >= next {
			s.exchange()
			next = s.now + exchangeInterval
		}
		requests++
		s.request(s.random.IntN(targets), 1+s.random.Int64N(2*cost))
	}
	total := &simulation{admissions: map[Subject][]admission{org: s.admissions}}
	usable = float64(total.totalUse(org, 2*time.Second)) / (min(1, demand) * s.limit.Rate * 18)
	peak = float64(total.peakUse(org, window)) / (s.limit.Rate*window.Seconds() + s.limit.Burst)
	return usable, peak, float64(s.refused) / float64(requests)
}

// Shows why the limiter keeps shared buckets instead of dividing the limit by demand: at
// half of the limit, demand shares refuse requests because a single request costs more than
// an instance's share holds.
func TestDemandSharesRefuseBelowLimit(t *testing.T) {
	for _, n := range instanceCounts {
		for _, demand := range []float64{0.5, 1.2, 2} {
			for _, uneven := range []bool{false, true} {
				s := newDemandShares(n, limit)
				usable, highest, refused := s.simulate(demand, uneven)
				t.Logf("%d instances, demand %.1f, uneven %v: usable %.3f, highest window %.3f, refused %.3f, %d messages",
					n, demand, uneven, usable, highest, refused, s.messages)
				assert.Assert(t, refused > 0)
			}
		}
	}
}
