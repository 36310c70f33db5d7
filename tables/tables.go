// Package tables holds the state that the routing decisions read and write, in
// the data-oriented style of an entity-component system: plain rows without
// I/O, clocks or goroutines. The packages below systems implement the decisions
// as functions over these rows. The daemon's I/O layers translate between the
// rows and the network.
package tables

import (
	"net/netip"
	"time"
)

// Instant is a reading of one process's monotonic clock: the time since an
// origin that the process chose at its start. Instants of two processes are not
// comparable.
type Instant = time.Duration

// Each identifier has its own type, so that the compiler rejects one where
// another is expected.
type (
	// InstanceID names one instance of the system, as in its settings.
	InstanceID string
	// Zone names an availability zone.
	Zone string
	// OrganisationID names the customer on whose behalf a request runs.
	OrganisationID string
	// ProfileName names a profile of the configuration.
	ProfileName string
	// ModelName names a model. AdapterName names an adapter on top of a model;
	// an empty name means the base model.
	ModelName   string
	AdapterName string
	// ServiceName names a group of plain services that answer the same calls.
	ServiceName string
	// EndpointID names an endpoint: a model engine or a plain service.
	EndpointID string
	// BootID identifies one run of an endpoint's process. An engine that
	// restarts at the same address has a new boot ID and an empty cache.
	BootID string
	// WeightsVersion identifies the weights that a model is served with.
	WeightsVersion string
	// RequestID identifies a caller's request. AttemptID identifies one attempt
	// to run it. Both are unique over all instances.
	RequestID string
	AttemptID string
	// Fingerprint identifies equal work: a hash over organisation and body.
	Fingerprint uint64
	// BlockHash identifies a block of a prompt together with all blocks before
	// it and the cache scope (see package prefix).
	BlockHash uint64
	// Revision numbers accepted configurations and never decreases.
	Revision uint64
	// FencingToken is a monotonic fencing token. Of two orders, the one with
	// the lower token is stale and must be refused.
	FencingToken uint64
)

// Outcome says whether the work of a request that failed without an answer has
// run.
type Outcome string

// The outcomes that a caller can receive.
const (
	// OutcomeNotRun means that no endpoint started the work and none will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan means that the work completed, but its answer is lost.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that an endpoint received the work and may have run
	// it.
	OutcomeUnknown Outcome = "unknown"
)

// Priority is the scheduling priority of a request; a lower value is more
// urgent.
type Priority uint8

// The priorities of a profile.
const (
	Urgent Priority = iota
	Normal
	Background
	// PriorityCount is the number of priorities.
	PriorityCount = 3
)

// Preference says whether placement optimises a profile for latency or for
// cache reuse.
type Preference uint8

// The preferences of a profile.
const (
	// PreferBalanced gives time to first token and cache reuse equal weight.
	PreferBalanced Preference = iota
	// PreferFirstToken favours a short time to first token.
	PreferFirstToken
	// PreferReuse favours endpoints that hold the prompt's prefix in their
	// cache over endpoints with a shorter queue.
	PreferReuse
)

// EndpointKind distinguishes model engines from plain services.
type EndpointKind uint8

// The kinds of endpoint.
const (
	// Engine is a model engine.
	Engine EndpointKind = iota
	// PlainService answers calls that are not model requests.
	PlainService
)

// Configuration is one accepted revision of the declarations that operators
// keep in version control. It is immutable once accepted.
type Configuration struct {
	Revision      Revision
	Profiles      []Profile
	Organisations []Organisation
	Models        []Model
	Endpoints     []Endpoint
	// WeightLoads limits the concurrent weight loads over the whole fleet, to
	// protect the store that the weights are read from. At least 1.
	WeightLoads int
}

// Profile is a traffic class: it says how requests of one kind are scheduled,
// retried and timed out.
type Profile struct {
	Name ProfileName
	Kind EndpointKind
	// Model and Adapter apply to profiles of kind Engine, Service to profiles
	// of kind PlainService.
	Model   ModelName
	Adapter AdapterName
	Service ServiceName
	// MaxWait is how long a request may be deferred before it starts; zero
	// means that the request is not deferrable.
	MaxWait time.Duration
	// Timeout limits the whole request, from its arrival to the last byte of
	// the answer.
	Timeout time.Duration
	// Idempotent work may run more than once. Other work needs an idempotency
	// key and runs at most once.
	Idempotent bool
	Priority   Priority
	Prefer     Preference
	// Hedge allows a second, parallel attempt if the first one is slow. It
	// requires Idempotent.
	Hedge bool
}

// Organisation is a customer with its credentials and limits.
type Organisation struct {
	ID OrganisationID
	// TokenHashes are the SHA-256 hashes, in hex, of the accepted bearer
	// tokens. Two tokens at a time allow rotation.
	TokenHashes []string
	// Share is the organisation's weight in weighted fair queueing within a
	// priority; at least 1.
	Share int
	// RequestsPerSecond and Concurrent limit the organisation over all
	// instances; zero means no limit.
	RequestsPerSecond float64
	Concurrent        int
	// Profiles lists the profiles that the organisation may use; empty means
	// all.
	Profiles []ProfileName
}

// Model is a model with the weights version that its endpoints are to serve.
type Model struct {
	Name     ModelName
	Weights  WeightsVersion
	Adapters []AdapterName
}

// Endpoint is the declaration of one endpoint.
type Endpoint struct {
	ID      EndpointID
	Kind    EndpointKind
	Zone    Zone
	Address netip.AddrPort
	// Life is the endpoint's generation: it grows by one each time an operator
	// lets the endpoint join again. Leaving drains this generation and every
	// earlier one.
	Life    uint64
	Leaving bool
	// Models lists the models that an engine may serve. Service names the calls
	// that a plain service answers.
	Models  []ModelName
	Service ServiceName
	// ChecksFence says whether the endpoint refuses orders with a stale fencing
	// token.
	ChecksFence bool
	// Slots is the number of requests that the endpoint runs at once.
	// CacheBlocks is the capacity of its prefix cache in blocks. Both are
	// initial values until the endpoint reports its own.
	Slots       int
	CacheBlocks int
	// PrefillRate and DecodeRate are declared speeds in tokens per second. They
	// apply until measurements replace them; zero means unknown.
	PrefillRate float64
	DecodeRate  float64
}

// Request holds the attributes of a caller's request that placement needs. The
// prompt itself stays with the entry, which reads it from the caller.
type Request struct {
	ID           RequestID
	Organisation OrganisationID
	Profile      ProfileName
	Fingerprint  Fingerprint
	// Blocks are the chained hashes of the prompt's full blocks, from the start
	// of the prompt.
	Blocks []BlockHash
	// PromptTokens and MaxTokens estimate the prefill work and the decode work.
	PromptTokens int
	MaxTokens    int
	Arrived      Instant
	// Deadline is when the caller's timeout expires.
	Deadline Instant
	// DeliveredTokens counts the tokens that the caller already has. It is
	// above zero only while a broken stream is resumed. The resumed attempt
	// must then run on Weights.
	DeliveredTokens int
	Weights         WeightsVersion
}
