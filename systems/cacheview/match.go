package cacheview

import "github.com/carawaystile/carawaystile/tables"

// Matches is the result of a lookup: the cache hit that is expected of each
// endpoint for one prompt. It is reused between lookups to save memory.
type Matches struct {
	// Endpoints lists the endpoints with at least one entry for the prompt.
	Endpoints []tables.EndpointIndex
	// expected and models are indexed by endpoint. An element is valid for this
	// lookup if the element of epochs equals epoch; so nothing must be cleared
	// between lookups.
	expected []float32
	epochs   []uint32
	models   []confidenceModel
	epoch    uint32
}

// ExpectedBlocks returns the expected length, in blocks, of the prompt's prefix
// that the endpoint has cached.
func (m *Matches) ExpectedBlocks(index tables.EndpointIndex) float64 {
	if int(index) >= len(m.epochs) || m.epochs[index] != m.epoch {
		return 0
	}
	return float64(m.expected[index])
}

// reset prepares m for the next lookup. It invalidates the previous results by
// a new epoch.
func (m *Matches) reset(endpoints int) {
	for len(m.epochs) < endpoints {
		m.epochs = append(m.epochs, 0)
		m.expected = append(m.expected, 0)
		m.models = append(m.models, confidenceModel{})
	}
	m.Endpoints = m.Endpoints[:0]
	m.epoch++
	if m.epoch == 0 {
		clear(m.epochs)
		m.epoch = 1
	}
}

// Match looks up the blocks of a prompt, outermost first, and fills m. An engine
// cannot cache a block without those before it, so an entry for a deep block
// implies the whole prefix. The expected number of blocks is the maximum over
// the entries of depth times confidence.
func (x *Index) Match(now tables.Instant, blocks []tables.BlockHash, m *Matches) {
	m.reset(len(x.currentIDs))
	timestamp := timestampOf(now)
	for depth := len(blocks); depth > 0; depth-- {
		b, tag := x.bucketOf(blocks[depth-1])
		for i := range b {
			e := &b[i]
			if e.tag != tag || e.generation == noGeneration {
				continue
			}
			if e.generation == denseMarker {
				x.matchDense(now, timestamp, &x.denseSets[e.timestamp], depth, m)
				continue
			}
			x.matchEntry(now, timestamp, e.generation, e.timestamp, depth, m)
		}
	}
}

// matchDense evaluates all holders in a dense set.
func (x *Index) matchDense(now tables.Instant, timestamp uint16, s *denseSet, depth int, m *Matches) {
	for i := range s.entries {
		if r := &s.entries[i]; r.generation != noGeneration {
			x.matchEntry(now, timestamp, r.generation, r.timestamp, depth, m)
		}
	}
}

// matchEntry raises the expectation for the endpoint of an entry if the entry
// implies a longer prefix.
func (x *Index) matchEntry(now tables.Instant, timestamp uint16, id generationID, recordedAt uint16, depth int, m *Matches) {
	g := &x.generations[id]
	if !g.live {
		return
	}
	at := g.endpoint
	if m.epochs[at] != m.epoch {
		m.epochs[at] = m.epoch
		m.expected[at] = 0
		m.models[at] = g.confidenceModel(now)
		m.Endpoints = append(m.Endpoints, at)
	}
	if float32(depth) <= m.expected[at] {
		return
	}
	age := ageDuration(ageOf(timestamp, recordedAt))
	if expected := float32(float64(depth) * m.models[at].forAge(age)); expected > m.expected[at] {
		m.expected[at] = expected
	}
}
