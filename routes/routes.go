// Package routes is the configuration of a forwarding deployment, in which
// requests pass unchanged: which service answers which host and path, what of
// it may run more than once, and whose keys are accepted. It is plain values;
// package platform reads them from what operators send.
package routes

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/tables"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// AtMostOnce is work that runs at most once.
	AtMostOnce Kind = iota
	// Idempotent work may be run again after any failure.
	Idempotent
	// Stream is an answer in events. It runs at most once unless the route is
	// resumable; then another endpoint may go on after the last event.
	Stream
)

// String gives the kind's name in logs.
func (k Kind) String() string { return [...]string{"once", "idempotent", "stream"}[k] }

// Route is one host and path prefix with what happens to requests there.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest one that begins a path
	// takes the request.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Timeout bounds the whole request from arrival. Target is the time to the
	// answer, or to a stream's first event, that callers are content with, and
	// TargetGap the longest pause between events.
	Timeout        time.Duration
	TargetLatency  time.Duration
	TargetEventGap time.Duration
	// Priority is the route's rank; 0 comes first.
	Priority int
	// MaxAttempts is how many endpoints one request may be sent to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// Inference is set where requests name a model and the parts of their prompt.
	Inference bool
	// TrafficSplit divide the requests by weight; there is at least one.
	TrafficSplit []WeightedService
}

// SafeToRetry says whether a request that may have run may be sent again.
func (r *Route) SafeToRetry() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of endpoints that answer alike.
type Service struct {
	Name string
	// MaxConnections is what one endpoint accepts from all instances together.
	MaxConnections int
	// Slots is how many requests a model engine runs at once, and CacheTokens
	// the memory that running requests and cached prompts share; both are zero
	// for a plain service.
	Slots            int
	KVCapacityTokens int
	// TransferTimePerToken is how long an engine's link is busy with one cached token that
	// another endpoint of its zone sends, as declared; 0 where it is not.
	TransferTimePerToken time.Duration
	// Models are those that the engines serve.
	Models []string
	// KVStoreAddress is the address of a store of cached prompts, and StoreZone where it
	// stands. A service that is a store takes no requests.
	KVStoreAddress netip.AddrPort
	KVStoreZone    tables.Zone
}

// Organisation is a customer with the keys of its callers.
type Organisation struct {
	ID   tables.OrganisationID
	Keys []string
	// Priority takes precedence over that of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated organisations share no cached prompt with any other.
	Isolated bool
	// UsageLimit limits what the organisation uses over all instances.
	UsageLimit RateLimit
}

// UsageUnit is what a rate limit counts.
type UsageUnit uint8

// The units.
const (
	UsageInRequests UsageUnit = iota
	// UsageInTokens counts a request's prompt tokens and the most tokens of its output.
	UsageInTokens
)

// RateLimit is a limit of use in some unit.
type RateLimit struct {
	// Rate is the use a second in the long run, Burst what may be used at once beyond it.
	// A Rate of 0 means no limit.
	Rate, Burst float64
	Unit        UsageUnit
	// DefaultTokens is what a request that names no tokens counts as.
	DefaultTokens int64
}

// Limited says whether there is a limit.
func (l RateLimit) Limited() bool { return l.Rate > 0 }

// ClientLimits bound what one caller may send.
type ClientLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time for a header, IdleTimeout that between two
	// requests of one connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is what an operator declares under one number.
type Configuration struct {
	Revision      uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        ClientLimits
}

// Table finds the route and the organisation of a request. It is immutable.
type Table struct {
	Configuration
	byHost   map[string][]*Route
	byKey    map[string]*Organisation
	services map[string]*Service
}

// NewTable checks the configuration. Its failure is *Invalid.
func NewTable(c Configuration) (*Table, error) {
	t := &Table{
		Configuration: c,
		byHost:        make(map[string][]*Route),
		byKey:         make(map[string]*Organisation),
		services:      make(map[string]*Service, len(c.Services)),
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

func (t *Table) addOrganisation(o *Organisation) error {
	for _, key := range o.Keys {
		if owner := t.byKey[key]; owner != nil && owner != o {
			return &ConfigurationError{Reason: DuplicateKey, Name: string(o.ID)}
		}
		t.byKey[key] = o
	}
	return nil
}

// Match returns the route of a host, with or without its port, and a path; nil
// if there is none.
func (t *Table) Match(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationByKey returns whose key it is, nil if it is nobody's.
func (t *Table) OrganisationByKey(key string) *Organisation { return t.byKey[key] }

// RequiresKey says whether requests need a key at all.
func (t *Table) RequiresKey() bool { return len(t.Organisations) > 0 }

// ServiceByName returns a service by name, nil if it is not declared.
func (t *Table) ServiceByName(name string) *Service { return t.services[name] }

// KVStores lists the services that are stores of cached prompts.
func (t *Table) KVStores() []*Service {
	var stores []*Service
	for i := range t.Services {
		if t.Services[i].KVStoreAddress.IsValid() {
			stores = append(stores, &t.Services[i])
		}
	}
	return stores
}

// SelectService picks the service of one request by the weights of its route. The
// same request gets the same service at every instance.
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
