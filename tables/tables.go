// Package tables holds the rows that every decision of carawaystile is made
// over: plain values without I/O, clocks or goroutines. Systems read and write
// these rows; shells translate between them and the network.
package tables

import (
	"net/netip"
	"time"
)

// Instant is a reading of one process's monotonic clock, as time passed since
// an origin that the process chose at start. Instants of two processes cannot
// be compared.
type Instant = time.Duration

// The identities below are distinct types so that one cannot be passed where
// another is expected.
type (
	// InstanceID names one instance of the system, as in its settings.
	InstanceID string
	// Zone names an availability zone.
	Zone string
	// OrganisationID names the customer on whose behalf a request runs.
	OrganisationID string
	// ProfileName names a profile in the configuration.
	ProfileName string
	// ModelName names a model, and AdapterName an adapter on top of it; the
	// empty adapter means the model alone.
	ModelName   string
	AdapterName string
	// ServiceName names a group of plain services that answer the same calls.
	ServiceName string
	// EndpointID names a back end: a model engine or a plain service.
	EndpointID string
	// BootID identifies one life of an endpoint's process. An engine that
	// restarts under the same address comes back with a new one and an empty
	// cache.
	BootID string
	// WeightsVersion identifies the weights a model is served with.
	WeightsVersion string
	// RequestID and AttemptID identify a caller's request and one try at
	// running it. Both are unique over all instances.
	RequestID string
	AttemptID string
	// Fingerprint identifies equal work: organisation and body hashed.
	Fingerprint uint64
	// BlockHash identifies one piece of a prompt together with all pieces
	// before it and the cache scope (see package prefix).
	BlockHash uint64
	// Revision numbers accepted configurations; it only ever grows.
	Revision uint64
	// FencingToken is a fencing number: of two orders the one with the lower number
	// is the older and must be refused.
	FencingToken uint64
)

// Outcome says whether the work of a request that got no answer has run.
type Outcome string

// The outcomes a caller can be told.
const (
	// OutcomeNotRun means that no endpoint began the work, and none will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRan means that the work was completed, although its answer is lost.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the work was handed to an endpoint and may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Priority orders requests of different profiles; a lower value is more urgent.
type Priority uint8

// The priorities a profile can have.
const (
	Urgent Priority = iota
	Normal
	Background
	// PriorityCount is the number of priorities.
	PriorityCount = 3
)

// Preference says what a profile wants placement to favour.
type Preference uint8

// The preferences a profile can state.
const (
	// PreferBalanced weighs first token and reuse equally.
	PreferBalanced Preference = iota
	// PreferFirstToken favours a short time to first token.
	PreferFirstToken
	// PreferReuse favours reusing cached prefixes over a short wait.
	PreferReuse
)

// EndpointKind tells model engines from plain services.
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
	// WeightLoads bounds the weight loads that may run at once over the whole
	// fleet, for the sake of the weight store. At least 1.
	WeightLoads int
}

// Profile says how one kind of traffic is treated.
type Profile struct {
	Name ProfileName
	Kind EndpointKind
	// Model and Adapter apply to Engine profiles, Service to PlainService ones.
	Model   ModelName
	Adapter AdapterName
	Service ServiceName
	// MaxWait is how long a request may be held back before it starts; zero
	// means that it cannot wait.
	MaxWait time.Duration
	// Timeout bounds the whole request from arrival to its last byte.
	Timeout time.Duration
	// Idempotent work may be run more than once; other work needs an
	// idempotency key and runs at most once.
	Idempotent bool
	Priority   Priority
	Prefer     Preference
	// Hedge allows a second attempt beside a slow first one; idempotent only.
	Hedge bool
}

// Organisation is a customer with its credentials and limits.
type Organisation struct {
	ID OrganisationID
	// TokenHashes are hex SHA-256 hashes of accepted bearer tokens; two allow
	// rotation.
	TokenHashes []string
	// Share is the organisation's weight against others in a class; at least 1.
	Share int
	// RequestsPerSecond and Concurrent limit the organisation over all
	// instances; zero means no limit.
	RequestsPerSecond float64
	Concurrent        int
	// Profiles lists what the organisation may use; empty means all.
	Profiles []ProfileName
}

// Model is a model with the weights version now wanted for it.
type Model struct {
	Name     ModelName
	Weights  WeightsVersion
	Adapters []AdapterName
}

// Endpoint is the declaration of one back end.
type Endpoint struct {
	ID      EndpointID
	Kind    EndpointKind
	Zone    Zone
	Address netip.AddrPort
	// Life grows by one each time an operator lets the endpoint join again.
	// Leaving holds for this life and every earlier one.
	Life    uint64
	Leaving bool
	// Models lists what an engine may serve; Service is what a plain service
	// answers.
	Models  []ModelName
	Service ServiceName
	// ChecksFence says whether the endpoint refuses orders with an old fencing
	// number.
	ChecksFence bool
	// Slots is how many requests it runs at once; CacheBlocks how many pieces
	// of prompt its cache can hold. Both are first guesses until it reports.
	Slots       int
	CacheBlocks int
	// PrefillRate and DecodeRate are declared speeds in tokens per second,
	// used until the real speed is learned; zero means not known.
	PrefillRate float64
	DecodeRate  float64
}

// Request is what placement knows of a caller's request. The prompt itself
// stays in the entry shell.
type Request struct {
	ID           RequestID
	Organisation OrganisationID
	Profile      ProfileName
	Fingerprint  Fingerprint
	// Blocks are the hashes of the prompt's full pieces, outermost first.
	Blocks []BlockHash
	// PromptTokens and MaxTokens are estimates of work before and after the
	// first token.
	PromptTokens int
	MaxTokens    int
	Arrived      Instant
	// Deadline is when the caller's timeout passes.
	Deadline Instant
	// DeliveredTokens counts tokens already passed to the caller. It is above zero
	// only while a stream is being resumed, and then Weights must match.
	DeliveredTokens int
	Weights         WeightsVersion
}
