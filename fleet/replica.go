package fleet

import (
	"errors"
	"maps"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Replica is an instance's copy of a Table. It is not safe for concurrent use.
type Replica struct {
	source, version uint64
	rows            map[tables.EndpointID]Endpoint
}

// NewReplica returns a copy that has nothing yet.
func NewReplica() *Replica { return &Replica{rows: map[tables.EndpointID]Endpoint{}} }

// Position is what the source needs to know to send the next difference.
func (r *Replica) Position() (source, version uint64) { return r.source, r.version }

// RequestFullUpdate asks the next source for all endpoints.
func (r *Replica) RequestFullUpdate() { r.source = 0 }

// Apply brings the copy up to date. Endpoints that cannot be read are left out
// and reported; the others hold.
//
// A full answer may come from another control instance whose list is older.
// What was known of an endpoint's draining and weights stays, so that a change
// of source sends no work to an endpoint that is already known to leave.
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
			e.Draining = e.Draining || before.Draining
			for model, version := range before.Weights {
				e.Weights[model] = max(e.Weights[model], version)
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

// Endpoints returns the endpoints; the caller may keep the map but not change
// the endpoints' weights.
func (r *Replica) Endpoints() map[tables.EndpointID]Endpoint { return maps.Clone(r.rows) }
