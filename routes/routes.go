// Package routes is the routing configuration of a forwarding deployment, which
// proxies requests unchanged. A Table maps host and path prefix to a route with its
// retry semantics and its traffic split over services, and API keys to
// organisations. The package holds plain values; package platform decodes them from
// the documents of operators.
package routes

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/tables"
)

// Kind is the execution semantics of a route: how often a request may run.
type Kind uint8

// Kinds of routes.
const (
	// AtMostOnce requests are never sent again once they may have run.
	AtMostOnce Kind = iota
	// Idempotent requests may be retried after any failure.
	Idempotent
	// Stream responses are sequences of events. A request runs at most once, unless
	// the route is resumable: then another endpoint may continue after the last event.
	Stream
)

// String returns the kind's name for logs.
func (k Kind) String() string { return [...]string{"once", "idempotent", "stream"}[k] }

// Route is the policy for requests to one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. A request goes to the route of its host
	// with the longest matching prefix.
	Prefix string
	Kind   Kind
	// Resumable is set if an interrupted stream may continue at another endpoint.
	Resumable bool
	// Timeout bounds the whole request from its arrival. TargetLatency is the latency
	// objective for the response, or for a stream's first event, and TargetEventGap
	// that for the longest pause between events.
	Timeout        time.Duration
	TargetLatency  time.Duration
	TargetEventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of endpoints that one request is sent to.
	MaxAttempts int
	// Public is set if the route accepts requests without an API key.
	Public bool
	// Inference is set if requests run model inference: they name a model and the
	// parts of their prompt.
	Inference bool
	// TrafficSplit distributes the requests over services by weight. It is not empty.
	TrafficSplit []WeightedService
}

// SafeToRetry reports whether a request that may have run may be sent again.
func (r *Route) SafeToRetry() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// WeightedService is a service with its relative share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts from all
	// instances together.
	MaxConnections int
	// Slots is the maximum number of requests that an inference engine runs
	// concurrently, and KVCapacityTokens the size in tokens of the KV cache, which
	// running requests and cached prompts share. Both are 0 for a plain service, which
	// runs no model. For an external KV cache store, KVCapacityTokens is its capacity.
	Slots            int
	KVCapacityTokens int
	// TransferTimePerToken is the declared time for which an engine's link is busy with
	// the transfer of one cached token from another endpoint of its zone; 0 if not declared.
	TransferTimePerToken time.Duration
	// EventStride is the number of output tokens in one event of an engine's stream, and
	// PrefillChunk the number of prompt tokens that an engine computes in one step; 0 if not
	// declared.
	EventStride  int
	PrefillChunk int
	// Backups is set if engines can back the memory of a running request up at another
	// engine. BackupTTL is how long a copy is kept after its last part.
	Backups   bool
	BackupTTL time.Duration
	// Models lists the models that the engines serve.
	Models []string
	// KVStoreAddress is the address of an external KV cache store, and KVStoreZone its
	// zone. A service with a valid address is such a store and receives no requests.
	KVStoreAddress netip.AddrPort
	KVStoreZone    tables.Zone
}

// Organisation is a customer with the API keys of its callers.
type Organisation struct {
	ID   tables.OrganisationID
	Keys []string
	// Priority overrides the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated is set if the organisation shares no cached prompt with any other.
	Isolated bool
	// UsageLimit is the organisation's rate limit over all instances together.
	UsageLimit RateLimit
}

// UsageUnit is the unit that a rate limit counts.
type UsageUnit uint8

// Units of rate limits.
const (
	// UsageInRequests counts each request as 1.
	UsageInRequests UsageUnit = iota
	// UsageInTokens counts a request's prompt tokens and its maximum number of output tokens.
	UsageInTokens
)

// RateLimit holds the parameters of a token bucket.
type RateLimit struct {
	// Rate is the refill rate in units per second, and Burst the usage in units that is
	// allowed at once beyond it. A Rate of 0 means no limit.
	Rate, Burst float64
	Unit        UsageUnit
	// DefaultTokens is the usage of a request that does not state its number of tokens.
	DefaultTokens int64
}

// Limited reports whether there is a limit.
func (l RateLimit) Limited() bool { return l.Rate > 0 }

// ClientLimits bounds the size and the duration of what a caller sends.
type ClientLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to read a request's header, and IdleTimeout the
	// time between two requests of one connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one revision of the routing configuration that operators declare.
type Configuration struct {
	Revision      uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// KeysRequired closes all routes that are not public to requests without the API key of an
	// organisation, also while no organisation is declared.
	KeysRequired bool
	Limits       ClientLimits
}

// Table is the routing table built from a configuration. It looks up the route and the
// organisation of a request. It is immutable once it is in use.
type Table struct {
	Configuration
	// CachePool identifies the cached prompts that organisations share under the configuration. The
	// control group assigns it.
	CachePool uint64
	byHost    map[string][]*Route
	byKey     map[string]*Organisation
	// sharing holds the organisations that share cached prompts.
	sharing  map[tables.OrganisationID]bool
	services map[string]*Service
	// urgentTargets holds the result of UrgentTarget by service.
	urgentTargets map[string]time.Duration
}

// NewTable validates a configuration and indexes it. Its error is a *ConfigurationError.
func NewTable(c Configuration) (*Table, error) {
	t := &Table{
		Configuration: c,
		byHost:        make(map[string][]*Route),
		byKey:         make(map[string]*Organisation),
		sharing:       make(map[tables.OrganisationID]bool, len(c.Organisations)),
		services:      make(map[string]*Service, len(c.Services)),
		urgentTargets: make(map[string]time.Duration),
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Routes {
		if err := t.addRoute(&t.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range t.Organisations {
		if err := t.addOrganisation(&t.Organisations[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

// addRoute validates a route and adds it to the index by host.
func (t *Table) addRoute(r *Route) error {
	if r.Timeout <= 0 {
		return &ConfigurationError{Reason: MissingTimeout, Name: r.Name}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &ConfigurationError{Reason: InvalidPrefix, Name: r.Name}
	}
	total := 0
	for _, split := range r.TrafficSplit {
		if t.services[split.Service] == nil {
			return &ConfigurationError{Reason: UnknownService, Name: r.Name}
		}
		if split.Weight < 0 {
			return &ConfigurationError{Reason: InvalidWeights, Name: r.Name}
		}
		total += split.Weight
		t.addTarget(split, r.TargetLatency)
	}
	if total == 0 {
		return &ConfigurationError{Reason: InvalidWeights, Name: r.Name}
	}
	host := strings.ToLower(r.Host)
	for _, other := range t.byHost[host] {
		if other.Prefix == r.Prefix {
			return &ConfigurationError{Reason: DuplicateRoute, Name: r.Name}
		}
	}
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

// addTarget merges a route's latency target into the shortest one of a service.
func (t *Table) addTarget(split WeightedService, target time.Duration) {
	shortest, known := t.urgentTargets[split.Service]
	if split.Weight > 0 && target > 0 && (!known || target < shortest) {
		t.urgentTargets[split.Service] = target
	}
}

// UrgentTarget returns the shortest latency target of the routes to a service; 0 if none has a
// target.
func (t *Table) UrgentTarget(service string) time.Duration { return t.urgentTargets[service] }

// addOrganisation adds an organisation to the indexes.
func (t *Table) addOrganisation(o *Organisation) error {
	for _, key := range o.Keys {
		if owner := t.byKey[key]; owner != nil && owner != o {
			return &ConfigurationError{Reason: DuplicateKey, Name: string(o.ID)}
		}
		t.byKey[key] = o
	}
	if !o.Isolated {
		t.sharing[o.ID] = true
	}
	return nil
}

// Match returns the route with the longest prefix that matches a host and a path,
// or nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that an API key belongs to, or nil. The empty key belongs
// to none, even if an organisation declares it.
func (t *Table) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// SharesCache reports whether an organisation of the configuration shares cached prompts with others.
func (t *Table) SharesCache(id tables.OrganisationID) bool { return t.sharing[id] }

// RequiresKey reports whether requests to routes that are not public need an API key.
// Without KeysRequired they do if any organisation is declared.
func (t *Table) RequiresKey() bool { return t.KeysRequired || len(t.Organisations) > 0 }

// ServiceByName returns the service of a name, or nil.
func (t *Table) ServiceByName(name string) *Service { return t.services[name] }

// KVStores returns the services that are external KV cache stores.
func (t *Table) KVStores() []*Service {
	var stores []*Service
	for i := range t.Services {
		if t.Services[i].KVStoreAddress.IsValid() {
			stores = append(stores, &t.Services[i])
		}
	}
	return stores
}

// SelectService selects the service of a request according to the route's traffic
// split. The choice is a hash of the request's identity, so that every instance
// selects the same service for a request.
func (t *Table) SelectService(r *Route, request string) *Service {
	total := 0
	for _, split := range r.TrafficSplit {
		total += split.Weight
	}
	offset := int(xxhash.Sum64String(request) % uint64(total))
	for _, split := range r.TrafficSplit {
		if offset < split.Weight {
			return t.services[split.Service]
		}
		offset -= split.Weight
	}
	return nil
}
