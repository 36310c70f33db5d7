// Package fleet is the table of endpoint processes that a forwarding deployment
// learns from the platform's list and from its own orders. Control instances
// keep a Table; the other instances hold a Copy of it that is brought up to
// date by differences.
package fleet

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Endpoint is one life of an endpoint's process.
type Endpoint struct {
	ID      tables.EndpointID
	Service string
	Address netip.AddrPort
	Zone    tables.Zone
	// Slots is how many requests it runs at once.
	Slots int
	// Draining is set once the list has shown that the endpoint leaves.
	Draining bool
	// Loading is set while an order to change weights is being carried out:
	// requests that have not started are declined until it is done.
	Loading bool
	// Weights is the version of each model, as last heard.
	Weights map[string]uint64
	// StartUnixMilli is when the process started, in Unix milliseconds by its own clock.
	// An endpoint may start again under its identity, and has forgotten
	// everything then.
	StartUnixMilli int64
	// IsKVStore is set for a store of cached prompts, which is not on the list: it
	// is there while it takes connections.
	IsKVStore bool
}

// Clone returns a copy that shares nothing.
func (e Endpoint) Clone() Endpoint {
	e.Weights = maps.Clone(e.Weights)
	return e
}

// Equal says whether nothing of an endpoint has changed.
func (e *Endpoint) Equal(other *Endpoint) bool {
	return e.ID == other.ID && e.Service == other.Service && e.Address == other.Address && e.Zone == other.Zone &&
		e.Slots == other.Slots && e.Draining == other.Draining && e.Loading == other.Loading && e.StartUnixMilli == other.StartUnixMilli && e.IsKVStore == other.IsKVStore &&
		maps.Equal(e.Weights, other.Weights)
}

func encode(e *Endpoint) *rpc.FleetEndpoint {
	out := &rpc.FleetEndpoint{
		Id:       string(e.ID),
		Service:  e.Service,
		Address:  e.Address.String(),
		Zone:     string(e.Zone),
		Slots:    uint32(e.Slots),
		Draining: e.Draining,
		Loading:  e.Loading,
		Born:     e.StartUnixMilli,
		Store:    e.IsKVStore,
	}
	for _, model := range slices.Sorted(maps.Keys(e.Weights)) {
		out.Weights = append(out.Weights, &rpc.ModelWeights{Model: model, Version: e.Weights[model]})
	}
	return out
}

// decode fails on an address that cannot be read.
func decode(in *rpc.FleetEndpoint) (Endpoint, error) {
	address, err := netip.ParseAddrPort(in.GetAddress())
	if err != nil {
		return Endpoint{}, &DecodeError{ID: in.GetId(), Cause: err}
	}
	e := Endpoint{
		ID:             tables.EndpointID(in.GetId()),
		Service:        in.GetService(),
		Address:        address,
		Zone:           tables.Zone(in.GetZone()),
		Slots:          int(in.GetSlots()),
		Draining:       in.GetDraining(),
		Loading:        in.GetLoading(),
		StartUnixMilli: in.GetBorn(),
		IsKVStore:      in.GetStore(),
		Weights:        map[string]uint64{},
	}
	for _, weights := range in.GetWeights() {
		e.Weights[weights.GetModel()] = weights.GetVersion()
	}
	return e, nil
}

// DecodeError means that another instance told of an endpoint that cannot be
// read.
type DecodeError struct {
	ID    string
	Cause error
}

// Error names the endpoint.
func (e *DecodeError) Error() string {
	return "endpoint " + e.ID + " cannot be read: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }
