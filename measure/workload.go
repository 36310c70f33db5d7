package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	modelName      tables.ModelName      = "base"
	weightsVersion tables.WeightsVersion = "w1"
)

// class is one kind of traffic of a site.
type class struct {
	profile tables.Profile
	// part is its part of all requests.
	part float64
	// long says that prompts hold the whole book of their subject, document
	// that they end in the document being worked on.
	long, document bool
	tail, answer   span
}

// span is a range of whole numbers.
type span struct{ low, high int }

func (s span) draw(r *rand.Rand) int { return s.low + r.IntN(s.high-s.low+1) }

// site is one user: its sizes and its traffic.
type site struct {
	name string
	// capacity is the rate of requests per second taken as full load.
	capacity      float64
	endpoints     []tables.Endpoint
	organisations []float64
	classes       []class
	// Blocks of each level of nesting: shared by the organisation, by one
	// subject, the rest of its book, and one document.
	house, subject, book, document int
	subjects                       int
	// documentUses is how many requests in a row work on one document.
	documentUses int
}

func engines(n int, zones int) []tables.Endpoint {
	kinds := []struct {
		prefill, decode float64
		slots, blocks   int
	}{{16000, 70, 48, 260}, {9000, 50, 32, 180}, {4500, 30, 20, 120}}
	var list []tables.Endpoint
	for i := range n {
		k := kinds[(i/zones)%len(kinds)]
		list = append(list, tables.Endpoint{
			ID: tables.EndpointID(fmt.Sprintf("e%02d", i)), Zone: tables.Zone(fmt.Sprintf("z%d", i%zones)),
			Life: 1, Models: []tables.ModelName{modelName}, Slots: k.slots, CacheBlocks: k.blocks,
			PrefillRate: k.prefill, DecodeRate: k.decode,
		})
	}
	return list
}

var organisationParts = []float64{0.34, 0.24, 0.16, 0.08, 0.06, 0.05, 0.04, 0.03}

func ashanti() site {
	return site{
		name: "ashanti", capacity: 30, endpoints: engines(9, 3), organisations: organisationParts,
		house: 2, subject: 3, book: 10, document: 1, subjects: 12, documentUses: 8,
		classes: []class{
			{part: 0.88, document: true, tail: span{100, 1200}, answer: span{40, 160},
				profile: tables.Profile{Name: "draft", Model: modelName, Idempotent: true, Priority: tables.Urgent,
					Prefer: tables.PreferFirstToken, Timeout: 30 * time.Second}},
			{part: 0.12, long: true, tail: span{1000, 6000}, answer: span{150, 400},
				profile: tables.Profile{Name: "check", Model: modelName, Idempotent: true, Priority: tables.Background,
					Prefer: tables.PreferReuse, MaxWait: 2 * time.Minute, Timeout: 5 * time.Minute}},
		},
	}
}

func tawe() site {
	return site{
		name: "tawe", capacity: 36, endpoints: engines(18, 3), organisations: organisationParts,
		house: 3, subject: 8, book: 10, document: 1, subjects: 24, documentUses: 4,
		classes: []class{
			{part: 0.5, document: true, tail: span{200, 1500}, answer: span{40, 200},
				profile: tables.Profile{Name: "enquiry", Model: modelName, Idempotent: true, Priority: tables.Urgent,
					Prefer: tables.PreferReuse, Timeout: time.Minute}},
			{part: 0.3, long: true, tail: span{200, 1500}, answer: span{5, 20},
				profile: tables.Profile{Name: "ruling", Model: modelName, Idempotent: true, Priority: tables.Background,
					Prefer: tables.PreferReuse, MaxWait: 2 * time.Minute, Timeout: 5 * time.Minute}},
			{part: 0.2, long: true, document: true, tail: span{500, 3000}, answer: span{200, 500},
				profile: tables.Profile{Name: "summary", Model: modelName, Idempotent: true, Priority: tables.Background,
					Prefer: tables.PreferReuse, MaxWait: 2 * time.Minute, Timeout: 5 * time.Minute}},
		},
	}
}

func (s *site) configuration() *tables.Configuration {
	c := &tables.Configuration{
		Revision: 1, Endpoints: s.endpoints, WeightLoads: 2,
		Models: []tables.Model{{Name: modelName, Weights: weightsVersion}},
	}
	for _, k := range s.classes {
		c.Profiles = append(c.Profiles, k.profile)
	}
	for i := range s.organisations {
		c.Organisations = append(c.Organisations, tables.Organisation{ID: organisationID(i), Share: 1})
	}
	return c
}

func organisationID(i int) tables.OrganisationID {
	return tables.OrganisationID(fmt.Sprintf("o%d", i))
}

// traffic draws the requests of a site.
type traffic struct {
	site     *site
	random   *rand.Rand
	rate     float64
	duration time.Duration
	// shift is how often the popularity of subjects is dealt anew; 0 is never.
	shift time.Duration
	// burst multiplies the first organisation's rate in the middle third.
	burst float64

	weights   []float64
	order     [][]int
	documents map[[2]int]*document
	next      int
}

type document struct{ id, left int }

// draw returns all requests in order of arrival.
func (t *traffic) draw() []*tables.Request {
	t.documents = make(map[[2]int]*document)
	t.deal()
	var all []*tables.Request
	shiftAt := t.shift
	now := time.Duration(0)
	for {
		now += time.Duration(t.random.ExpFloat64() / t.rateAt(now) * float64(time.Second))
		if now >= t.duration {
			return all
		}
		if t.shift > 0 && now >= shiftAt {
			t.deal()
			shiftAt += t.shift
		}
		all = append(all, t.request(now))
	}
}

func (t *traffic) bursting(now time.Duration) bool {
	return t.burst > 1 && now >= warmUp+(t.duration-warmUp)/3 && now < warmUp+2*(t.duration-warmUp)/3
}

func (t *traffic) rateAt(now time.Duration) float64 {
	if t.bursting(now) {
		return t.rate * (1 + t.site.organisations[0]*(t.burst-1))
	}
	return t.rate
}

// deal gives the subjects of each organisation a new order of popularity.
func (t *traffic) deal() {
	t.weights = make([]float64, t.site.subjects)
	for i := range t.weights {
		t.weights[i] = 1 / math.Pow(float64(i+1), 1.1)
	}
	t.order = t.order[:0]
	for range t.site.organisations {
		t.order = append(t.order, t.random.Perm(t.site.subjects))
	}
}

func pick(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (t *traffic) organisation(now time.Duration) int {
	if !t.bursting(now) {
		return pick(t.random, t.site.organisations)
	}
	weights := append([]float64(nil), t.site.organisations...)
	weights[0] *= t.burst
	return pick(t.random, weights)
}

func (t *traffic) request(now time.Duration) *tables.Request {
	parts := make([]float64, len(t.site.classes))
	for i := range parts {
		parts[i] = t.site.classes[i].part
	}
	k := &t.site.classes[pick(t.random, parts)]
	org := t.organisation(now)
	subject := t.order[org][pick(t.random, t.weights)]
	t.next++
	r := &tables.Request{
		ID:           tables.RequestID(fmt.Sprintf("r%06d", t.next)),
		Organisation: organisationID(org), Profile: k.profile.Name,
		Fingerprint: tables.Fingerprint(t.next),
		MaxTokens:   k.answer.draw(t.random), Arrived: now, Deadline: now + k.profile.Timeout,
	}
	r.Blocks = t.blocks(k, org, subject)
	r.PromptTokens = len(r.Blocks)*prefix.BlockTokens + k.tail.draw(t.random)
	return r
}

// blocks names the pieces of a prompt level by level.
func (t *traffic) blocks(k *class, org, subject int) []tables.BlockHash {
	hash := prefix.Scope{Organisation: organisationID(org), Model: modelName, Weights: weightsVersion}.RootHash()
	var list []tables.BlockHash
	extend := func(level string, id, n int) {
		for i := range n {
			hash = prefix.ChainHash(hash, fmt.Sprintf("%s %d %d", level, id, i))
			list = append(list, hash)
		}
	}
	extend("house", 0, t.site.house)
	extend("subject", subject, t.site.subject)
	if k.long {
		extend("book", subject, t.site.book)
	}
	if k.document {
		extend("document", t.documentOf(org, subject), t.site.document)
	}
	return list
}

func (t *traffic) documentOf(org, subject int) int {
	key := [2]int{org, subject}
	d := t.documents[key]
	if d == nil || d.left == 0 {
		t.next++
		d = &document{id: t.next, left: 1 + t.random.IntN(2*t.site.documentUses)}
		t.documents[key] = d
	}
	d.left--
	return d.id
}
