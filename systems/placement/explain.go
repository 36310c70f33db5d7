package placement

import "github.com/carawaystile/carawaystile/tables"

// CostTerm is the weighted cost that one scorer contributes for a candidate.
type CostTerm struct {
	// Name is the name of the scorer.
	Name string `json:"name"`
	// CostSeconds is the weighted score in seconds.
	CostSeconds float64 `json:"seconds"`
}

// CandidateReport explains the evaluation of one candidate to operators.
type CandidateReport struct {
	Endpoint tables.EndpointID `json:"endpoint"`
	// RejectedBy is the name of the filter that rejected the candidate, or empty.
	RejectedBy string `json:"dropped,omitempty"`
	// CachedTokens is the part of the prompt, in tokens, that the endpoint is
	// expected to have cached.
	CachedTokens int `json:"cached_tokens"`
	// CostSeconds is the sum of CostTerms. Both are empty for a rejected
	// candidate.
	CostSeconds float64    `json:"seconds"`
	CostTerms   []CostTerm `json:"parts,omitempty"`
}

// MaxReports is the maximum number of candidates that Explain reports: the
// accepted ones of the lowest cost first, then rejected ones.
const MaxReports = 8

// Explain appends reports on candidates that Pick has evaluated to dst, reusing
// the memory of dst.
func (p *Picker) Explain(dst []CandidateReport, q *Query, candidates []Candidate) []CandidateReport {
	var best [MaxReports]*Candidate
	n := 0
	for i := range candidates {
		n = insertRanked(&best, n, &candidates[i])
	}
	for _, c := range best[:n] {
		dst = appendReport(dst)
		p.describe(&dst[len(dst)-1], q, c)
	}
	return dst
}

// insertRanked inserts a candidate into the ranked array of the n best and
// returns the new number of entries.
func insertRanked(best *[MaxReports]*Candidate, n int, c *Candidate) int {
	at := n
	for at > 0 && ranksBefore(c, best[at-1]) {
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

// ranksBefore reports whether a is reported before b: accepted candidates
// precede rejected ones, and are ordered by cost.
func ranksBefore(a, b *Candidate) bool {
	if (a.rejectedBy == 0) != (b.rejectedBy == 0) {
		return a.rejectedBy == 0
	}
	return a.rejectedBy == 0 && a.Cost < b.Cost
}

// appendReport lengthens dst by one report, keeping the memory of its cost
// terms.
func appendReport(dst []CandidateReport) []CandidateReport {
	if len(dst) < cap(dst) {
		return dst[:len(dst)+1]
	}
	return append(dst, CandidateReport{})
}

// describe fills a report. It runs the filters and scorers again, because Pick
// skips most of them.
func (p *Picker) describe(r *CandidateReport, q *Query, c *Candidate) {
	*r = CandidateReport{Endpoint: c.Row.Endpoint.ID, CachedTokens: int(c.CachedTokens), CostTerms: r.CostTerms[:0]}
	if c.rejectedBy = p.firstRejection(q, c); c.rejectedBy != 0 {
		r.RejectedBy = p.Filters[c.rejectedBy-1].Name()
		return
	}
	for i := range p.Scorers {
		s := &p.Scorers[i]
		seconds := s.Weights[q.Request.Profile.Prefer] * s.Scorer.Score(q, c)
		r.CostSeconds += seconds
		r.CostTerms = append(r.CostTerms, CostTerm{Name: s.Scorer.Name(), CostSeconds: seconds})
	}
}
