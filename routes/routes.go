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
	// Once is work that runs at most once.
	Once Kind = iota
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
	Timeout   time.Duration
	Target    time.Duration
	TargetGap time.Duration
	// Priority is the route's rank; 0 comes first.
	Priority int
	// MaxAttempts is how many endpoints one request may be sent to.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// Generates is set where requests name a model and the parts of their prompt.
	Generates bool
	// Splits divide the requests by weight; there is at least one.
	Splits []Split
}

// Repeatable says whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Split is a service with its part of a route's requests.
type Split struct {
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
	Slots       int
	CacheTokens int
	// TransferTime is how long an engine's link is busy with one cached token that
	// another endpoint of its zone sends, as declared; 0 where it is not.
	TransferTime time.Duration
	// Models are those that the engines serve.
	Models []string
	// Store is the address of a store of cached prompts, and StoreZone where it
	// stands. A service that is a store takes no requests.
	Store     netip.AddrPort
	StoreZone tables.Zone
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
	// Usage limits what the organisation uses over all instances.
	Usage RateLimit
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
	// PlainTokens is what a request that names no tokens counts as.
	PlainTokens int64
}

// Limited says whether there is a limit.
func (c RateLimit) Limited() bool { return c.Rate > 0 }

// Limits bound what one caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time for a header, IdleTimeout that between two
	// requests of one connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is what an operator declares under one number.
type Configuration struct {
	Number        uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
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
		return &Invalid{Reason: NoTimeout, Name: r.Name}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &Invalid{Reason: BadPrefix, Name: r.Name}
	}
	total := 0
	for _, split := range r.Splits {
		if t.services[split.Service] == nil {
			return &Invalid{Reason: UnknownService, Name: r.Name}
		}
		if split.Weight < 0 {
			return &Invalid{Reason: NoWeight, Name: r.Name}
		}
		total += split.Weight
	}
	if total == 0 {
		return &Invalid{Reason: NoWeight, Name: r.Name}
	}
	host := strings.ToLower(r.Host)
	for _, other := range t.byHost[host] {
		if other.Prefix == r.Prefix {
			return &Invalid{Reason: SamePlace, Name: r.Name}
		}
	}
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

func (t *Table) addOrganisation(o *Organisation) error {
	for _, key := range o.Keys {
		if owner := t.byKey[key]; owner != nil && owner != o {
			return &Invalid{Reason: SharedKey, Name: string(o.ID)}
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

// Organisation returns whose key it is, nil if it is nobody's.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// HasOrganisations says whether requests need a key at all.
func (t *Table) HasOrganisations() bool { return len(t.Organisations) > 0 }

// Service returns a service by name, nil if it is not declared.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Stores lists the services that are stores of cached prompts.
func (t *Table) Stores() []*Service {
	var stores []*Service
	for i := range t.Services {
		if t.Services[i].Store.IsValid() {
			stores = append(stores, &t.Services[i])
		}
	}
	return stores
}

// ServiceOf picks the service of one request by the weights of its route. The
// same request gets the same service at every instance.
func (t *Table) ServiceOf(r *Route, request string) *Service {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	at := int(xxhash.Sum64String(request) % uint64(total))
	for _, split := range r.Splits {
		if at < split.Weight {
			return t.services[split.Service]
		}
		at -= split.Weight
	}
	return nil
}
