package cacheview

import "github.com/carawaystile/carawaystile/tables"

// Matches says how much of one prompt each endpoint is expected to hold. It is
// reused from prompt to prompt.
type Matches struct {
	// Endpoints lists the endpoints that are believed to hold any block.
	Endpoints []tables.EndpointIndex
	blocks    []float32
	round     []uint32
	trusts    []trust
	now       uint32
}

// ExpectedBlocks is the expected number of outermost blocks held by the endpoint.
func (m *Matches) ExpectedBlocks(index tables.EndpointIndex) float64 {
	if int(index) >= len(m.round) || m.round[index] != m.now {
		return 0
	}
	return float64(m.blocks[index])
}

func (m *Matches) begin(endpoints int) {
	for len(m.round) < endpoints {
		m.round = append(m.round, 0)
		m.blocks = append(m.blocks, 0)
		m.trusts = append(m.trusts, trust{})
	}
	m.Endpoints = m.Endpoints[:0]
	m.now++
	if m.now == 0 {
		clear(m.round)
		m.now = 1
	}
}

// Match fills m for the blocks of a prompt, outermost first. An engine cannot
// hold a block without those before it, so a row for a deep block vouches for
// the whole prefix; the expectation is the best of depth times confidence.
func (v *Index) Match(now tables.Instant, blocks []tables.BlockHash, m *Matches) {
	m.begin(len(v.current))
	stamp := stampOf(now)
	for depth := len(blocks); depth > 0; depth-- {
		b, tag := v.bucketOf(blocks[depth-1])
		for i := range b {
			e := &b[i]
			if e.tag != tag || e.home == noHome {
				continue
			}
			if e.home == wideHome {
				v.matchWide(now, stamp, &v.wide[e.stamp], depth, m)
				continue
			}
			v.matchRow(now, stamp, e.home, e.stamp, depth, m)
		}
	}
}

func (v *Index) matchWide(now tables.Instant, stamp uint16, s *wideSet, depth int, m *Matches) {
	for i := range s.rows {
		if r := &s.rows[i]; r.home != noHome {
			v.matchRow(now, stamp, r.home, r.stamp, depth, m)
		}
	}
}

func (v *Index) matchRow(now tables.Instant, stamp uint16, id homeID, made uint16, depth int, m *Matches) {
	h := &v.homes[id]
	if !h.live {
		return
	}
	at := h.endpoint
	if m.round[at] != m.now {
		m.round[at] = m.now
		m.blocks[at] = 0
		m.trusts[at] = h.trust(now)
		m.Endpoints = append(m.Endpoints, at)
	}
	if float32(depth) <= m.blocks[at] {
		return
	}
	age := ageDuration(ageOf(stamp, made))
	if expected := float32(float64(depth) * m.trusts[at].confidence(age)); expected > m.blocks[at] {
		m.blocks[at] = expected
	}
}
