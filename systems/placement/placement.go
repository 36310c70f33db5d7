// Package placement chooses the endpoint for an attempt: filters drop the
// endpoints that must not be chosen, scorers give each remaining one a cost in
// seconds, and the cheapest is picked. Each filter and scorer is a package of
// its own below this one. Nothing is allocated per candidate.
package placement

import (
	"math"

	"github.com/carawaystile/carawaystile/tables"
)

// Query is what a choice is made for.
type Query struct {
	Now     tables.Instant
	Request *tables.RequestRow
	// Weights is the version that must serve the request; empty for services.
	Weights tables.WeightsVersion
	// Zone is where this instance stands.
	Zone tables.Zone
	// TieBreakSeed is the seed of the choice between equals. It differs between
	// instances, so that they do not all take the first of the list.
	TieBreakSeed uint64
	// TrafficShare is this instance's part of all traffic, above 0 and at most 1.
	TrafficShare float64
	// PriorityMix is the part of each priority in the prefill work of this instance.
	PriorityMix [tables.PriorityCount]float64
	// WaitWeight is how much a second of waiting counts: 1 for work that cannot
	// wait, less for work that can.
	WaitWeight float64
	// MeanTurnoverSeconds is the mean of the candidates' turnovers, in seconds.
	MeanTurnoverSeconds float64
	// Promoted is set for held work that has waited so long that it no longer
	// yields.
	Promoted bool
	// LastChance is set for a request that has waited almost as long as it may.
	LastChance bool
	// IgnoreOwnership is set when no endpoint can be had among those that fall to this
	// instance for requests suspected of crashing endpoints.
	IgnoreOwnership bool
	// Hedge is set for a second attempt beside a slow one.
	Hedge bool
}

// Candidate is an endpoint under consideration.
type Candidate struct {
	Row *tables.EndpointRow
	// CachedTokens is how much of the prompt the endpoint is expected to hold.
	CachedTokens float64
	// KnownTokens is the part of CachedTokens that something was heard of.
	KnownTokens float64
	// HomeTokens is how much of the prompt belongs to this endpoint by hashing,
	// whether it is held there yet or not.
	HomeTokens float64
	// TurnoverSeconds is the time in which the endpoint's cache is filled once over, in
	// seconds.
	TurnoverSeconds float64
	// Cost is the cost, or as much of it as was needed to see that another is
	// better; dropped is the position, plus 1, of the filter that dropped the
	// candidate.
	Cost    float64
	dropped int
}

// UncachedTokens is the part of the prompt to be computed.
func (c *Candidate) UncachedTokens(q *Query) float64 {
	return max(0, float64(q.Request.Request.PromptTokens)-c.CachedTokens)
}

// DefaultPrefillRate is assumed of endpoints whose speed is neither declared
// nor learned, in tokens per second.
const DefaultPrefillRate = 8000

// PrefillRate is the endpoint's prefill speed in tokens per second.
func (c *Candidate) PrefillRate() float64 {
	if c.Row.Throughput.PrefillRate > 0 {
		return c.Row.Throughput.PrefillRate
	}
	return DefaultPrefillRate
}

// Filter drops candidates.
type Filter interface {
	// Name is the reason given for a dropped candidate.
	Name() string
	// Keep says whether the candidate may be chosen.
	Keep(q *Query, c *Candidate) bool
}

// Scorer gives a part of a candidate's cost.
type Scorer interface {
	Name() string
	// Score is the cost in seconds; lower is better.
	Score(q *Query, c *Candidate) float64
}

// WeightedScorer is a scorer with its weight for each preference.
type WeightedScorer struct {
	Scorer  Scorer
	Weights [PreferenceCount]float64
}

// PreferenceCount is the number of values of tables.Preference.
const PreferenceCount = 3

// Choice is the outcome for one query.
type Choice struct {
	Endpoint tables.EndpointIndex
	Candidate
}

// Picker runs the filters and scorers. The scorers that tell candidates apart
// most should come first.
type Picker struct {
	Filters []Filter
	Scorers []WeightedScorer
}

// Pick returns the cheapest candidate, or tables.NoEndpoint in the choice when
// the filters dropped all of them. Candidates whose costs are within a small
// band of the cheapest are told apart by the query's spread.
//
// Most candidates of a large fleet hold nothing of the prompt and cannot win
// once one that does has been looked at. So those that hold something come
// first, costs are summed up only until they exceed the best, and filters are
// asked only about a candidate that would be the best.
func (p *Picker) Pick(q *Query, candidates []Candidate) Choice {
	best := Choice{Endpoint: tables.NoEndpoint}
	for i := range candidates {
		if candidates[i].CachedTokens > 0 {
			p.consider(q, &candidates[i], &best)
		}
	}
	for i := range candidates {
		if candidates[i].CachedTokens <= 0 {
			p.consider(q, &candidates[i], &best)
		}
	}
	return best
}

func (p *Picker) consider(q *Query, c *Candidate, best *Choice) {
	limit := math.Inf(1)
	if best.Endpoint != tables.NoEndpoint {
		limit = best.Cost
	}
	c.dropped = 0
	c.Cost = p.cost(q, c, limit)
	if c.Cost >= limit {
		return
	}
	c.dropped = p.drop(q, c)
	if c.dropped == 0 {
		*best = Choice{Endpoint: c.Row.Index, Candidate: *c}
	}
}

// drop is the position, plus 1, of the first filter that drops the candidate.
func (p *Picker) drop(q *Query, c *Candidate) int {
	for i, f := range p.Filters {
		if !f.Keep(q, c) {
			return i + 1
		}
	}
	return 0
}

// cost is the weighted sum of all scorers and the spread, or any number that is
// at least limit when the sum is. Scores are never negative.
func (p *Picker) cost(q *Query, c *Candidate, limit float64) float64 {
	prefer := q.Request.Profile.Prefer
	sum := spread(q, c)
	for i := range p.Scorers {
		s := &p.Scorers[i]
		if weight := s.Weights[prefer]; weight != 0 {
			sum += weight * s.Scorer.Score(q, c)
		}
		if sum >= limit {
			return sum
		}
	}
	return sum
}

// spreadBand is the most, in seconds, by which equals are told apart.
const spreadBand = 0.004

// spread is a small cost that differs between instances and requests. Without
// it all instances would send their next request to the same endpoint whenever
// one lagging report shows it as the least loaded.
func spread(q *Query, c *Candidate) float64 {
	h := Mix64(q.TieBreakSeed ^ uint64(c.Row.Index)*0x9e3779b97f4a7c15)
	return spreadBand * float64(h>>40) / (1 << 24)
}

// Mix64 scatters the bits of x.
func Mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
