package tables

import "time"

// EndpointIndex is the dense number of an endpoint within one Endpoints table.
// It never changes or passes to another endpoint while the table lives.
type EndpointIndex int32

// NoEndpoint is the index of no endpoint.
const NoEndpoint EndpointIndex = -1

// Load is what is known of the work at an endpoint. The reported part is old
// by the reporting lag; the own part is exact.
type Load struct {
	// HasReport is set once a load report of the current boot has been seen.
	HasReport bool
	// ReportedAt is when the last report arrived.
	ReportedAt Instant
	// Remote is what other instances have at the endpoint.
	Remote RemoteLoad
	// ReportedAttempts and ReportedTokens are the attempts and the prefill work of
	// the last report.
	ReportedAttempts      int
	ReportedPrefillTokens int
	// BusyFraction is the part of recent load reports in which there was prefill work,
	// 0 to 1.
	BusyFraction float64
	// LocalAttempts counts attempts of this instance that have not ended.
	LocalAttempts int
	// LocalPrefillTokens is prefill work of own attempts that have no first token yet,
	// by priority.
	LocalPrefillTokens [PriorityCount]int
	// LocalPrefilling counts own attempts that have no first token yet.
	LocalPrefilling int
}

// TotalAttempts is the estimate of attempts at the endpoint, queued ones included.
func (l *Load) TotalAttempts() int { return int(l.Remote.Attempts+0.5) + l.LocalAttempts }

// PrefillTokensAhead is the prefill work, in tokens, that an endpoint does before that of a
// new request: all of the same or a more urgent priority. The part of others'
// work that is so is not reported; mix is the part that each priority has in
// this instance's own work, and is taken to hold for others too.
func (l *Load) PrefillTokensAhead(p Priority, mix *[PriorityCount]float64) float64 {
	ahead := 0.0
	part := 0.0
	for i := range int(p) + 1 {
		ahead += float64(l.LocalPrefillTokens[i])
		part += mix[i]
	}
	return ahead + part*l.Remote.Tokens
}

// PrefillBacklog is all prefill work at the endpoint in tokens.
func (l *Load) PrefillBacklog() int {
	sum := int(l.Remote.Tokens)
	for _, tokens := range l.LocalPrefillTokens {
		sum += tokens
	}
	return sum
}

// Throughput holds what was learned of an endpoint's speed.
type Throughput struct {
	// PrefillRate is in prompt tokens per second over the whole endpoint, Decode
	// in tokens per second for one attempt.
	PrefillRate float64
	DecodeRate  float64
	// MeanServiceTime is the mean time from dispatch to the end of an attempt.
	MeanServiceTime time.Duration
	// PrefillSamples counts the measurements behind Prefill.
	PrefillSamples int
}

// HealthState says how far an endpoint is trusted.
type HealthState uint8

// The states of trust in an endpoint.
const (
	// Healthy endpoints receive work without limit.
	Healthy HealthState = iota
	// Probation endpoints receive a few attempts at a time.
	Probation
	// Ejected endpoints receive nothing until their time is over.
	Ejected
)

// Health is what traffic has shown of an endpoint.
type Health struct {
	State HealthState
	// EjectedUntil is when an ejected endpoint may be tried again.
	EjectedUntil Instant
	// ConsecutiveFailures counts failures in a row; Ejections counts ejections without
	// full recovery between them and lengthens the next one.
	ConsecutiveFailures int
	Ejections           int
	// ProbationSuccesses counts successes on probation.
	ProbationSuccesses int
}

// EndpointRow is everything the decisions know of one endpoint.
type EndpointRow struct {
	Index    EndpointIndex
	Endpoint Endpoint
	// Declared is set while the configuration in force names the endpoint.
	Declared bool
	// Withdrawn is set once a source said that the endpoint leaves, for GoneLife
	// and every earlier life.
	Withdrawn     bool
	WithdrawnLife uint64
	// Boot is the life of the endpoint's process last seen, empty if none.
	Boot BootID
	// FormerBoots holds boots that ended, newest last, so that late messages of an
	// earlier process are told from those of a new one.
	FormerBoots []BootID
	// Weights is what the endpoint said it serves. A model that is missing is
	// not known, unless WeightsKnown is set.
	Weights      map[ModelName]WeightsVersion
	WeightsKnown bool
	Load         Load
	// LastProgress is when the endpoint last showed that it gets work done.
	LastProgress Instant
	Throughput   Throughput
	Health       Health
	// CacheBlocks is the capacity of its cache in pieces, 0 if not known.
	CacheBlocks int
}

// Draining says whether the endpoint must receive no new work, because any
// source said so for its present life or a later one.
func (e *EndpointRow) Draining() bool {
	return !e.Declared || e.Endpoint.Leaving || (e.Withdrawn && e.WithdrawnLife >= e.Endpoint.Life)
}

// Slots is how many attempts the endpoint runs at once, at least 1.
func (e *EndpointRow) Slots() int { return max(1, e.Endpoint.Slots) }

// Serves says whether the endpoint is declared for the model and not known to
// serve other weights than the wanted ones.
func (e *EndpointRow) Serves(model ModelName, wanted WeightsVersion) bool {
	if !e.declares(model) {
		return false
	}
	if !e.WeightsKnown {
		return true
	}
	return e.Weights[model] == wanted
}

func (e *EndpointRow) declares(model ModelName) bool {
	for _, m := range e.Endpoint.Models {
		if m == model {
			return true
		}
	}
	return false
}

// maxFormerBoots bounds EndpointRow.Former; older ones are forgotten.
const maxFormerBoots = 8

// BootChange says what a message's boot identity means for an endpoint.
type BootChange uint8

// The meanings of a boot identity.
const (
	// BootSame is the boot already known.
	BootSame BootChange = iota
	// BootNew is a boot not seen before; everything known of the earlier one
	// has been reset.
	BootNew
	// BootStale is an earlier boot: the message must be ignored.
	BootStale
)

// ObserveBoot compares a message's boot identity with the known one. An engine
// that restarts keeps its address but loses its cache, and messages of its
// former life may still arrive; those must not be taken for news of the new.
func (e *EndpointRow) ObserveBoot(boot BootID) BootChange {
	if boot == "" || boot == e.Boot {
		return BootSame
	}
	for _, former := range e.FormerBoots {
		if former == boot {
			return BootStale
		}
	}
	e.EndBoot()
	e.Boot = boot
	return BootNew
}

// EndBoot forgets what was known of the present boot, because it has ended.
func (e *EndpointRow) EndBoot() {
	if e.Boot != "" {
		e.FormerBoots = append(e.FormerBoots, e.Boot)
		if len(e.FormerBoots) > maxFormerBoots {
			e.FormerBoots = append(e.FormerBoots[:0], e.FormerBoots[1:]...)
		}
	}
	e.Boot = ""
	e.Weights = nil
	e.WeightsKnown = false
	e.Load.HasReport = false
	e.Load.Remote = RemoteLoad{}
}

// Endpoints is the table of endpoints, addressed by dense index.
type Endpoints struct {
	rows  []EndpointRow
	index map[EndpointID]EndpointIndex
}

// NewEndpoints returns an empty table.
func NewEndpoints() *Endpoints {
	return &Endpoints{index: make(map[EndpointID]EndpointIndex)}
}

// Len is the number of rows, those no longer declared included.
func (t *Endpoints) Len() int { return len(t.rows) }

// Row returns the row at index. The pointer is valid until the next Configure.
func (t *Endpoints) Row(index EndpointIndex) *EndpointRow { return &t.rows[index] }

// Find returns the index of an endpoint, or NoEndpoint.
func (t *Endpoints) Find(id EndpointID) EndpointIndex {
	if index, ok := t.index[id]; ok {
		return index
	}
	return NoEndpoint
}

// Configure takes over the declarations of a configuration. Rows of endpoints
// that are no longer declared stay, so that their attempts can end.
func (t *Endpoints) Configure(c *Configuration) {
	for i := range t.rows {
		t.rows[i].Declared = false
	}
	for i := range c.Endpoints {
		t.declare(&c.Endpoints[i])
	}
}

func (t *Endpoints) declare(e *Endpoint) {
	index, ok := t.index[e.ID]
	if !ok {
		index = EndpointIndex(len(t.rows))
		t.index[e.ID] = index
		t.rows = append(t.rows, EndpointRow{Index: index})
	}
	row := &t.rows[index]
	row.Endpoint = *e
	row.Declared = true
	if row.CacheBlocks == 0 {
		row.CacheBlocks = e.CacheBlocks
	}
	if row.Throughput.PrefillSamples == 0 {
		row.Throughput.PrefillRate = e.PrefillRate
		row.Throughput.DecodeRate = e.DecodeRate
	}
}
