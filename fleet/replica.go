package fleet

import (
	"errors"
	"maps"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Replica is a read replica of a Table, which it follows by full updates and
// deltas. It is not safe for concurrent use.
type Replica struct {
	source, version uint64
	rows            map[tables.EndpointID]Endpoint
}

// NewReplica returns an empty replica. Its first update is a full one.
func NewReplica() *Replica { return &Replica{rows: map[tables.EndpointID]Endpoint{}} }

// Position returns the table and the version that the replica reflects. The
// source computes the next delta from them.
func (r *Replica) Position() (source, version uint64) { return r.source, r.version }

// RequestFullUpdate resets the position, so that the next update is a full one.
func (r *Replica) RequestFullUpdate() { r.source = 0 }

// Apply applies an update; nil is no change. Malformed endpoints are skipped and
// returned as errors of type *DecodeError; the rest of the update takes effect.
//
// A full update may come from another control instance whose list is older.
// Within one incarnation of an endpoint, Draining therefore stays set, unless a
// table has taken it back, and a full update never lowers the versions of weights.
// Otherwise a change of the source would send requests to an endpoint that is known
// to be leaving. A delta lowers versions if the endpoint has gone back.
func (r *Replica) Apply(update *rpc.Fleet) error {
	if update == nil {
		return nil
	}
	known := r.rows
	if update.GetFull() {
		r.rows = make(map[tables.EndpointID]Endpoint, len(update.GetEndpoints()))
	}
	var errs []error
	for _, in := range update.GetEndpoints() {
		e, err := decode(in)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if before, ok := known[e.ID]; ok && before.StartUnixMilli == e.StartUnixMilli {
			e.mergeDraining(&before)
			for model, version := range before.Weights {
				if update.GetFull() {
					e.Weights[model] = max(e.Weights[model], version)
				}
			}
		}
		r.rows[e.ID] = e
	}
	for _, id := range update.GetRemoved() {
		delete(r.rows, tables.EndpointID(id))
	}
	r.source, r.version = update.GetSource(), update.GetVersion()
	return errors.Join(errs...)
}

// Endpoints returns a copy of the table. The Weights maps in it are shared and
// must not be modified.
func (r *Replica) Endpoints() map[tables.EndpointID]Endpoint { return maps.Clone(r.rows) }
