// Package placement chooses the endpoint for an attempt: filters drop the
// endpoints that must not be chosen, scorers give each remaining one a cost in
// seconds, and the cheapest is picked. Each filter and scorer is a package of
// its own below this one. Nothing is allocated per candidate.
package placement

import (
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
	// Spread is the seed of the choice between equals. It differs between
	// instances, so that they do not all take the first of the list.
	Spread uint64
	// Share is this instance's part of all traffic, above 0 and at most 1.
	Share float64
	// Hedge is set for a second attempt beside a slow one.
	Hedge bool
}

// Candidate is an endpoint under consideration.
type Candidate struct {
	Row *tables.EndpointRow
	// CachedTokens is how much of the prompt the endpoint is expected to hold.
	CachedTokens float64
	// HomeTokens is how much of the prompt belongs to this endpoint by hashing,
	// whether it is held there yet or not.
	HomeTokens float64
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
	if c.Row.Speed.Prefill > 0 {
		return c.Row.Speed.Prefill
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

// Weighted is a scorer with its weight for each preference.
type Weighted struct {
	Scorer  Scorer
	Weights [Preferences]float64
}

// Preferences is the number of values of tables.Preference.
const Preferences = 3

// Choice is the outcome for one query.
type Choice struct {
	Endpoint tables.EndpointIndex
	// Score is the chosen endpoint's cost; Expected the time to first token
	// that is expected there, in seconds.
	Score        float64
	CachedTokens float64
}

// Picker runs the filters and scorers.
type Picker struct {
	Filters []Filter
	Scorers []Weighted
}

// Pick returns the cheapest candidate, or tables.NoEndpoint in the choice when
// the filters dropped all of them. Candidates whose costs are within a small
// band of the cheapest are told apart by the query's spread.
func (p *Picker) Pick(q *Query, candidates []Candidate) Choice {
	best := Choice{Endpoint: tables.NoEndpoint}
	for i := range candidates {
		c := &candidates[i]
		if p.dropped(q, c) != nil {
			continue
		}
		score := p.Cost(q, c) + spread(q, c)
		if best.Endpoint == tables.NoEndpoint || score < best.Score {
			best = Choice{Endpoint: c.Row.Index, Score: score, CachedTokens: c.CachedTokens}
		}
	}
	return best
}

func (p *Picker) dropped(q *Query, c *Candidate) Filter {
	for _, f := range p.Filters {
		if !f.Keep(q, c) {
			return f
		}
	}
	return nil
}

// Cost is the weighted sum of all scorers.
func (p *Picker) Cost(q *Query, c *Candidate) float64 {
	prefer := q.Request.Profile.Prefer
	var sum float64
	for i := range p.Scorers {
		s := &p.Scorers[i]
		if weight := s.Weights[prefer]; weight != 0 {
			sum += weight * s.Scorer.Score(q, c)
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
	h := Mix(q.Spread ^ uint64(c.Row.Index)*0x9e3779b97f4a7c15)
	return spreadBand * float64(h>>40) / (1 << 24)
}

// Mix scatters the bits of x.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Part is one scorer's weighted share of a candidate's cost.
type Part struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// Report describes one candidate for people.
type Report struct {
	Endpoint tables.EndpointID `json:"endpoint"`
	// Dropped names the filter that dropped the candidate, if one did.
	Dropped      string  `json:"dropped,omitempty"`
	CachedTokens int     `json:"cached_tokens"`
	Seconds      float64 `json:"seconds"`
	Parts        []Part  `json:"parts,omitempty"`
}

// Explain appends a report on each candidate to dst.
func (p *Picker) Explain(dst []Report, q *Query, candidates []Candidate) []Report {
	for i := range candidates {
		dst = append(dst, p.explain(q, &candidates[i]))
	}
	return dst
}

func (p *Picker) explain(q *Query, c *Candidate) Report {
	r := Report{Endpoint: c.Row.Endpoint.ID, CachedTokens: int(c.CachedTokens)}
	if f := p.dropped(q, c); f != nil {
		r.Dropped = f.Name()
		return r
	}
	for _, s := range p.Scorers {
		seconds := s.Weights[q.Request.Profile.Prefer] * s.Scorer.Score(q, c)
		r.Parts = append(r.Parts, Part{Name: s.Scorer.Name(), Seconds: seconds})
		r.Seconds += seconds
	}
	return r
}
