// Package fleet is the service discovery table of a forwarding deployment: the
// endpoint processes known from the platform's list and from the rollout of
// weights. Each control instance holds a versioned Table. Entry instances, and
// control instances other than the leader, hold a Replica of another instance's
// Table. A replica is synchronised incrementally: by a full update first, then by
// deltas from the version that it reflects.
package fleet

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Endpoint describes one incarnation of an endpoint's process.
type Endpoint struct {
	ID      tables.EndpointID
	Service string
	Address netip.AddrPort
	Zone    tables.Zone
	// Slots is the maximum number of requests that the endpoint runs concurrently.
	Slots int
	// Software is the version of the endpoint's software, empty if it is not known. A stream
	// continues only at the version that began it.
	Software string
	// Draining is set once the platform's list has shown the endpoint as leaving, or the
	// endpoint has announced it.
	Draining bool
	// Reinstated counts how often Draining was taken back in the life of this process.
	Reinstated uint32
	// Loading is set while the endpoint executes an order to load other weights.
	// Until the load is done, the endpoint declines requests that have not started.
	Loading bool
	// Weights maps each model to the last reported version of its weights.
	Weights map[string]uint64
	// StartUnixMilli is the start time of the process in Unix milliseconds by its
	// own clock. It distinguishes incarnations: an endpoint may restart under the
	// same identity, and its state is lost then.
	StartUnixMilli int64
	// IsKVStore is set for an external KV cache store. The platform's list contains
	// no stores; a store is in the table while it accepts connections.
	IsKVStore bool
}

// Clone returns a deep copy.
func (e Endpoint) Clone() Endpoint {
	e.Weights = maps.Clone(e.Weights)
	return e
}

// mayStartAt reports whether the endpoint can be the process with a start time, in Unix milliseconds. Zero is
// unknown.
func (e *Endpoint) mayStartAt(startUnixMilli int64) bool {
	return e.StartUnixMilli == startUnixMilli || e.StartUnixMilli == 0 || startUnixMilli == 0
}

// Equal reports whether two endpoints agree in every field.
func (e *Endpoint) Equal(other *Endpoint) bool {
	return e.ID == other.ID && e.Service == other.Service && e.Address == other.Address && e.Zone == other.Zone &&
		e.Slots == other.Slots && e.Software == other.Software && e.Draining == other.Draining && e.Reinstated == other.Reinstated && e.Loading == other.Loading && e.StartUnixMilli == other.StartUnixMilli && e.IsKVStore == other.IsKVStore &&
		maps.Equal(e.Weights, other.Weights)
}

// mergeDraining takes over Draining from what is known of the same process: it stays set unless the row comes
// from a table that has taken it back since.
func (e *Endpoint) mergeDraining(known *Endpoint) {
	switch {
	case known.Reinstated > e.Reinstated:
		e.Draining, e.Reinstated = known.Draining, known.Reinstated
	case known.Reinstated == e.Reinstated:
		e.Draining = e.Draining || known.Draining
	}
}

// encode returns the message for an endpoint, with the weights sorted by model.
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
		Software: e.Software,

		Reinstated: e.Reinstated,
	}
	for _, model := range slices.Sorted(maps.Keys(e.Weights)) {
		out.Weights = append(out.Weights, &rpc.ModelWeights{Model: model, Version: e.Weights[model]})
	}
	return out
}

// decode returns a *DecodeError if the address cannot be parsed.
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
		Reinstated:     in.GetReinstated(),
		Loading:        in.GetLoading(),
		StartUnixMilli: in.GetBorn(),
		IsKVStore:      in.GetStore(),
		Software:       in.GetSoftware(),
		Weights:        map[string]uint64{},
	}
	for _, weights := range in.GetWeights() {
		e.Weights[weights.GetModel()] = weights.GetVersion()
	}
	return e, nil
}

// DecodeError means that an update from another instance contains a malformed
// endpoint.
type DecodeError struct {
	ID    string
	Cause error
}

// Error returns a message with the endpoint's identity and the cause.
func (e *DecodeError) Error() string {
	return "malformed endpoint " + e.ID + " in update: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }
