package placement

import "github.com/carawaystile/carawaystile/tables"

// CostTerm is one scorer's weighted share of a candidate's cost.
type CostTerm struct {
	Name        string  `json:"name"`
	CostSeconds float64 `json:"seconds"`
}

// CandidateReport describes one candidate for people.
type CandidateReport struct {
	Endpoint tables.EndpointID `json:"endpoint"`
	// RejectedBy names the filter that dropped the candidate, if one did.
	RejectedBy   string     `json:"dropped,omitempty"`
	CachedTokens int        `json:"cached_tokens"`
	CostSeconds  float64    `json:"seconds"`
	CostTerms    []CostTerm `json:"parts,omitempty"`
}

// MaxReports is how many candidates Explain describes: those of the lowest
// cost, and then dropped ones.
const MaxReports = 8

// Explain appends reports on candidates that Pick has been over to dst, whose
// memory is reused.
func (p *Picker) Explain(dst []CandidateReport, q *Query, candidates []Candidate) []CandidateReport {
	var best [MaxReports]*Candidate
	n := 0
	for i := range candidates {
		n = enter(&best, n, &candidates[i])
	}
	for _, c := range best[:n] {
		dst = grow(dst)
		p.describe(&dst[len(dst)-1], q, c)
	}
	return dst
}

// enter puts a candidate into its place among the n best.
func enter(best *[MaxReports]*Candidate, n int, c *Candidate) int {
	at := n
	for at > 0 && better(c, best[at-1]) {
		at--
	}
	if at == MaxReports {
		return n
	}
	n = min(n+1, MaxReports)
	copy(best[at+1:n], best[at:n-1])
	best[at] = c
	return n
}

func better(a, b *Candidate) bool {
	if (a.dropped == 0) != (b.dropped == 0) {
		return a.dropped == 0
	}
	return a.dropped == 0 && a.Cost < b.Cost
}

// grow lengthens dst by one report, keeping the memory of its parts.
func grow(dst []CandidateReport) []CandidateReport {
	if len(dst) < cap(dst) {
		return dst[:len(dst)+1]
	}
	return append(dst, CandidateReport{})
}

func (p *Picker) describe(r *CandidateReport, q *Query, c *Candidate) {
	*r = CandidateReport{Endpoint: c.Row.Endpoint.ID, CachedTokens: int(c.CachedTokens), CostTerms: r.CostTerms[:0]}
	if c.dropped = p.drop(q, c); c.dropped != 0 {
		r.RejectedBy = p.Filters[c.dropped-1].Name()
		return
	}
	for i := range p.Scorers {
		s := &p.Scorers[i]
		seconds := s.Weights[q.Request.Profile.Prefer] * s.Scorer.Score(q, c)
		r.CostSeconds += seconds
		r.CostTerms = append(r.CostTerms, CostTerm{Name: s.Scorer.Name(), CostSeconds: seconds})
	}
}
