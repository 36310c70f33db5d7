package tables

import "time"

// EndpointIndex is the dense index of an endpoint in one Endpoints table. An
// index is stable and is never reused while the table exists.
type EndpointIndex int32

// NoEndpoint is the index that stands for no endpoint.
const NoEndpoint EndpointIndex = -1

// Load is the estimated work at an endpoint: remote work, which other instances
// sent and which load reports show with a delay, and local work, which this
// instance sent and knows exactly.
type Load struct {
	// HasReport is set once a load report of the current boot has arrived.
	HasReport bool
	// ReportedAt is when the last report arrived.
	ReportedAt Instant
	// Remote estimates the work that other instances have at the endpoint.
	Remote RemoteLoad
	// ReportedAttempts and ReportedPrefillTokens are the attempts and the
	// queued prefill work of the last report, whoever sent them.
	ReportedAttempts      int
	ReportedPrefillTokens int
	// BusyFraction is an exponentially weighted average, from 0 to 1, of the
	// fraction of recent load reports that showed queued prefill work.
	BusyFraction float64
	// LocalAttempts counts the attempts of this instance that have not ended.
	LocalAttempts int
	// LocalPrefillTokens is, by priority, the prefill work of this instance's
	// attempts that have no first token yet.
	LocalPrefillTokens [PriorityCount]int
	// LocalPrefilling counts this instance's attempts that have no first token
	// yet.
	LocalPrefilling int
}

// TotalAttempts estimates the attempts at the endpoint, including queued ones.
func (l *Load) TotalAttempts() int { return int(l.Remote.Attempts+0.5) + l.LocalAttempts }

// PrefillTokensAhead estimates the prefill work, in tokens, that the endpoint
// does before a new request of priority p: all work of the same or a more
// urgent priority. Load reports don't split remote work by priority. mix is the
// fraction of each priority in this instance's own work, and the estimate
// assumes the same fractions for remote work.
func (l *Load) PrefillTokensAhead(p Priority, mix *[PriorityCount]float64) float64 {
	tokens := 0.0
	remoteFraction := 0.0
	for i := range int(p) + 1 {
		tokens += float64(l.LocalPrefillTokens[i])
		remoteFraction += mix[i]
	}
	return tokens + remoteFraction*l.Remote.Tokens
}

// PrefillBacklog is all prefill work at the endpoint in tokens.
func (l *Load) PrefillBacklog() int {
	sum := int(l.Remote.Tokens)
	for _, tokens := range l.LocalPrefillTokens {
		sum += tokens
	}
	return sum
}

// Throughput holds moving averages of an endpoint's measured speed.
type Throughput struct {
	// PrefillRate is in prompt tokens per second over the whole endpoint,
	// DecodeRate in tokens per second of one attempt.
	PrefillRate float64
	DecodeRate  float64
	// MeanServiceTime is the mean time from dispatch to the end of an attempt.
	MeanServiceTime time.Duration
	// PrefillSamples counts the measurements behind PrefillRate.
	PrefillSamples int
}

// HealthState is the state of an endpoint in outlier ejection, a per-endpoint
// circuit breaker.
type HealthState uint8

// The states of outlier ejection.
const (
	// Healthy endpoints receive work without limit; the circuit is closed.
	Healthy HealthState = iota
	// Probation endpoints receive a few attempts at a time; the circuit is half
	// open.
	Probation
	// Ejected endpoints receive no work until EjectedUntil; the circuit is
	// open.
	Ejected
)

// Health is an endpoint's outlier-ejection state, derived from the results of
// its attempts.
type Health struct {
	State HealthState
	// EjectedUntil is when an ejected endpoint goes on probation.
	EjectedUntil Instant
	// ConsecutiveFailures counts failures since the last success. Ejections
	// counts ejections since the last full recovery; each one lengthens the
	// next.
	ConsecutiveFailures int
	Ejections           int
	// ProbationSuccesses counts the successes since probation began.
	ProbationSuccesses int
}

// EndpointRow is the state that routing keeps of one endpoint.
type EndpointRow struct {
	Index    EndpointIndex
	Endpoint Endpoint
	// Declared is set while the configuration in force lists the endpoint.
	Declared bool
	// Withdrawn is set once a source other than the configuration has said that
	// the endpoint leaves. It applies to generation WithdrawnLife and to every
	// earlier one.
	Withdrawn     bool
	WithdrawnLife uint64
	// Boot is the last known boot of the endpoint's process, empty if none is
	// known.
	Boot BootID
	// FormerBoots holds ended boots, newest last, so that late messages of an
	// earlier process can be told from those of a new one.
	FormerBoots []BootID
	// Weights are the versions that the endpoint reports to serve. A model that
	// is missing from the map is not served if WeightsKnown is set, and unknown
	// otherwise.
	Weights      map[ModelName]WeightsVersion
	WeightsKnown bool
	Load         Load
	// LastProgress is when the endpoint last showed that it completes work.
	LastProgress Instant
	Throughput   Throughput
	Health       Health
	// CacheBlocks is the capacity of the endpoint's prefix cache in blocks, 0
	// if unknown.
	CacheBlocks int
}

// Draining reports whether the endpoint must receive no new work, because any
// source withdrew its current generation or a later one.
func (e *EndpointRow) Draining() bool {
	return !e.Declared || e.Endpoint.Leaving || (e.Withdrawn && e.WithdrawnLife >= e.Endpoint.Life)
}

// Slots is the number of attempts that the endpoint runs at once, at least 1.
func (e *EndpointRow) Slots() int { return max(1, e.Endpoint.Slots) }

// Serves reports whether the endpoint is declared for the model and is not
// known to serve other weights than the wanted ones.
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

// maxFormerBoots limits EndpointRow.FormerBoots; the oldest boots are dropped.
const maxFormerBoots = 8

// BootChange is the result of comparing a message's boot ID with an endpoint's
// known boots.
type BootChange uint8

// The results of comparing a boot ID.
const (
	// BootSame is the current boot.
	BootSame BootChange = iota
	// BootNew is a boot that was not known before. The state of the previous
	// boot has been reset.
	BootNew
	// BootStale is an ended boot; the message must be ignored.
	BootStale
)

// ObserveBoot compares a message's boot ID with the known boots and starts a
// new boot if the ID is unknown. An engine that restarts keeps its address but
// loses its cache, and messages of the previous process may still arrive; they
// must not count for the new one.
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

// EndBoot resets the state of the current boot, because its process has ended.
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

// Len returns the number of rows, including those of endpoints that are no
// longer declared.
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

// Configure applies the endpoint declarations of a configuration. Rows of
// endpoints that are no longer declared stay, so that their attempts can end.
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
