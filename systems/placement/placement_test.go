package placement_test

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// The fixed seed makes property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

// fixedResults gives each endpoint a fixed filter result and fixed scores.
type fixedResults struct {
	keep   []bool
	scores [2][]float64
}

type filter struct{ *fixedResults }

func (filter) Name() string { return "table" }

func (f filter) Keep(_ *placement.Query, c *placement.Candidate) bool { return f.keep[c.Row.Index] }

type scorer struct {
	*fixedResults
	n int
}

func (scorer) Name() string { return "table" }

func (s scorer) Score(_ *placement.Query, c *placement.Candidate) float64 {
	return s.scores[s.n][c.Row.Index]
}

// Pick skips filters and scorers for most candidates. It must still return the
// same endpoint as an exhaustive search.
func TestPickMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "endpoints")
		results := &fixedResults{}
		rows := make([]tables.EndpointRow, n)
		var candidates []placement.Candidate
		best, least := tables.NoEndpoint, 0.0
		for i := range n {
			rows[i].Index = tables.EndpointIndex(i)
			keep := rapid.Bool().Draw(t, "keep")
			a := float64(rapid.IntRange(0, 50).Draw(t, "a"))
			b := float64(rapid.IntRange(0, 50).Draw(t, "b")) + float64(i)/64
			results.keep = append(results.keep, keep)
			results.scores[0] = append(results.scores[0], a)
			results.scores[1] = append(results.scores[1], b)
			candidates = append(candidates, placement.Candidate{Row: &rows[i], CachedTokens: float64(rapid.IntRange(0, 2).Draw(t, "cached"))})
			if sum := 2*a + b; keep && (best == tables.NoEndpoint || sum < least) {
				best, least = rows[i].Index, sum
			}
		}
		p := placement.Picker{
			Filters: []placement.Filter{filter{results}},
			Scorers: []placement.WeightedScorer{
				{Scorer: scorer{results, 0}, Weights: [placement.PreferenceCount]float64{2, 2, 2}},
				{Scorer: scorer{results, 1}, Weights: [placement.PreferenceCount]float64{1, 1, 1}},
			},
		}
		q := &placement.Query{Request: &tables.RequestRow{Request: &tables.Request{}, Profile: &tables.Profile{}}}
		assert.Equal(t, p.Pick(q, candidates).Endpoint, best)
		reports := p.Explain(nil, q, candidates)
		assert.Equal(t, len(reports), min(n, placement.MaxReports))
		if best != tables.NoEndpoint {
			assert.Equal(t, reports[0].Endpoint, rows[best].Endpoint.ID)
		}
	})
}
