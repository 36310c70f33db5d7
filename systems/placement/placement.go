// Package placement selects the endpoint for an attempt in two phases. Filters
// reject endpoints that must not be chosen, scorers give each remaining one a
// cost in seconds, and the endpoint with the lowest total cost is picked. Each
// filter and scorer is a package below this one. Placement allocates no memory
// per candidate.
package placement

import (
	"math"

	"github.com/carawaystile/carawaystile/tables"
)

// Query describes the attempt to be placed.
type Query struct {
	// Now is the time of the decision.
	Now tables.Instant
	// Request is the request that the attempt runs.
	Request *tables.RequestRow
	// Weights is the version that must serve the request; empty for plain
	// services.
	Weights tables.WeightsVersion
	// Zone is the availability zone of this instance.
	Zone tables.Zone
	// TieBreakSeed is the seed of the choice between candidates of nearly equal
	// cost. It differs between instances, so that they do not all pick the first
	// endpoint of the list.
	TieBreakSeed uint64
	// TrafficShare is this instance's fraction of all traffic, above 0 and at
	// most 1.
	TrafficShare float64
	// PriorityMix is the fraction of each priority in this instance's prefill
	// work.
	PriorityMix [tables.PriorityCount]float64
	// WaitWeight is the weight of a second of waiting: 1 for work that cannot
	// wait, less for work that can.
	WaitWeight float64
	// MeanTurnoverSeconds is the mean of the candidates' turnover times.
	MeanTurnoverSeconds float64
	// Promoted is set for deferrable work that has waited so long that it no
	// longer yields to other work.
	Promoted bool
	// LastChance is set for a request that may go to any idle endpoint, because
	// it would otherwise exceed its maximum wait.
	LastChance bool
	// IgnoreOwnership lifts the rule that a request suspected of crashing
	// endpoints runs only on the endpoints that this instance owns for such
	// requests. It is set when none of those is available.
	IgnoreOwnership bool
	// Hedge is set for a second attempt that runs in parallel with a slow one.
	Hedge bool
}

// Candidate is an endpoint that is evaluated for a query.
type Candidate struct {
	// Row is the state of the endpoint.
	Row *tables.EndpointRow
	// CachedTokens is the part of the prompt, in tokens, that the endpoint is
	// expected to have cached.
	CachedTokens float64
	// KnownTokens is the part of CachedTokens that is based on cache events or
	// earlier placements.
	KnownTokens float64
	// HomeTokens is the part of the prompt whose prefix hashes to this endpoint,
	// whether it is cached there or not.
	HomeTokens float64
	// TurnoverSeconds is the time in which new blocks fill the endpoint's cache
	// once.
	TurnoverSeconds float64
	// Cost is the total cost in seconds, or a lower bound that sufficed to see
	// that another candidate is better. rejectedBy is the index, plus 1, of the
	// filter that rejected the candidate.
	Cost       float64
	rejectedBy int
}

// UncachedTokens returns the number of prompt tokens that the endpoint is
// expected to compute.
func (c *Candidate) UncachedTokens(q *Query) float64 {
	return max(0, float64(q.Request.Request.PromptTokens)-c.CachedTokens)
}

// DefaultPrefillRate is the prefill rate, in tokens per second, of endpoints
// whose rate is neither declared nor measured.
const DefaultPrefillRate = 8000

// PrefillRate returns the endpoint's prefill rate in tokens per second.
func (c *Candidate) PrefillRate() float64 {
	if c.Row.Throughput.PrefillRate > 0 {
		return c.Row.Throughput.PrefillRate
	}
	return DefaultPrefillRate
}

// Filter rejects candidates that must not be chosen.
type Filter interface {
	// Name is the reason reported for a rejected candidate.
	Name() string
	// Keep reports whether the candidate may be chosen.
	Keep(q *Query, c *Candidate) bool
}

// Scorer computes one term of a candidate's cost.
type Scorer interface {
	// Name is the name of the cost term in reports.
	Name() string
	// Score returns a cost in seconds, which is never negative. Lower is better.
	Score(q *Query, c *Candidate) float64
}

// WeightedScorer is a scorer with its weight for each preference.
type WeightedScorer struct {
	Scorer Scorer
	// Weights are the factors of the score, by tables.Preference.
	Weights [PreferenceCount]float64
}

// PreferenceCount is the number of values of tables.Preference.
const PreferenceCount = 3

// Choice is the result of a placement query.
type Choice struct {
	// Endpoint is the chosen endpoint, or tables.NoEndpoint.
	Endpoint tables.EndpointIndex
	// Candidate is the evaluation of the chosen endpoint; empty if there is none.
	Candidate
}

// Picker selects endpoints by filters and scorers. Scorers whose scores differ
// most between candidates should come first, so that Pick can stop early.
type Picker struct {
	// Filters run in this order; the first one that rejects a candidate is
	// reported.
	Filters []Filter
	// Scorers run in this order until the cost exceeds that of the best
	// candidate.
	Scorers []WeightedScorer
}

// Pick returns the accepted candidate of the lowest cost, or a Choice with
// tables.NoEndpoint if the filters reject all candidates. The tie-break seed
// decides between candidates whose costs differ by less than maxTieBreakCost.
//
// In a large fleet, most candidates have none of the prompt cached and cannot
// win once a candidate with a cache hit has been evaluated. Pick therefore
// evaluates candidates with cache hits first, stops adding up a cost when it
// reaches the lowest one so far, and runs the filters only for a candidate that
// would be the best.
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

// consider evaluates a candidate and makes it the best one if it is cheaper and
// passes the filters.
func (p *Picker) consider(q *Query, c *Candidate, best *Choice) {
	limit := math.Inf(1)
	if best.Endpoint != tables.NoEndpoint {
		limit = best.Cost
	}
	c.rejectedBy = 0
	c.Cost = p.cost(q, c, limit)
	if c.Cost >= limit {
		return
	}
	c.rejectedBy = p.firstRejection(q, c)
	if c.rejectedBy == 0 {
		*best = Choice{Endpoint: c.Row.Index, Candidate: *c}
	}
}

// firstRejection returns the index, plus 1, of the first filter that rejects
// the candidate, or 0.
func (p *Picker) firstRejection(q *Query, c *Candidate) int {
	for i, f := range p.Filters {
		if !f.Keep(q, c) {
			return i + 1
		}
	}
	return 0
}

// cost returns the weighted sum of all scores and the tie-break cost. If the sum
// reaches limit, cost may return any number from limit up to the sum, because
// scores are never negative.
func (p *Picker) cost(q *Query, c *Candidate, limit float64) float64 {
	prefer := q.Request.Profile.Prefer
	sum := tieBreakCost(q, c)
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

// maxTieBreakCost is the upper bound of the tie-break cost in seconds.
const maxTieBreakCost = 0.004

// tieBreakCost returns a small pseudorandom cost that differs between instances
// and requests. Without it, all instances would send their next request to the
// same endpoint while a delayed load report shows it as the least loaded.
func tieBreakCost(q *Query, c *Candidate) float64 {
	h := Mix64(q.TieBreakSeed ^ uint64(c.Row.Index)*0x9e3779b97f4a7c15)
	return maxTieBreakCost * float64(h>>40) / (1 << 24)
}

// Mix64 is the 64-bit finalizer of the SplitMix64 generator. It makes every bit
// of the result depend on every bit of x.
func Mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
