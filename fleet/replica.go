package fleet

import (
	"errors"
	"maps"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// maxHeldAnswers is for how many answers of a new source a replica keeps higher versions of weights that it has
// from the source before. An answer comes once a second, or with a change.
const maxHeldAnswers = 2

// Replica is a read replica of a Table, which it follows by full updates and
// deltas. It is not safe for concurrent use.
type Replica struct {
	source, version uint64
	rows            map[tables.EndpointID]Endpoint
	// held are the weights that the source has sent where those of the source before are kept, and
	// answersSinceFull counts its answers since the full update.
	held             map[tables.EndpointID]map[string]uint64
	answersSinceFull int
}

// NewReplica returns an empty replica. Its first update is a full one.
func NewReplica() *Replica { return &Replica{rows: map[tables.EndpointID]Endpoint{}} }

// Position returns the table and the version that the replica reflects. The
// source computes the next delta from them.
func (r *Replica) Position() (source, version uint64) { return r.source, r.version }

// RequestFullUpdate resets the position, so that the next update is a full one.
func (r *Replica) RequestFullUpdate() { r.source = 0 }

// Apply applies an update; nil is an answer without a change. Malformed endpoints are skipped and
// returned as errors of type *DecodeError; the rest of the update takes effect.
//
// A full update may come from another control instance whose list is older. Within one
// incarnation of an endpoint, Draining therefore stays set, unless a table has taken it
// back, and higher versions of weights are kept for the next maxHeldAnswers answers.
// Otherwise a change of the source would send requests to an endpoint that is known to be
// leaving. A delta lowers versions if the endpoint has gone back.
func (r *Replica) Apply(update *rpc.Fleet) error {
	r.answersSinceFull++
	known := r.rows
	if update.GetFull() {
		r.rows = make(map[tables.EndpointID]Endpoint, len(update.GetEndpoints()))
		r.held, r.answersSinceFull = map[tables.EndpointID]map[string]uint64{}, 0
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
			delete(r.held, e.ID)
			if update.GetFull() {
				r.keepHigherWeights(&e, before.Weights)
			}
		}
		r.rows[e.ID] = e
	}
	for _, id := range update.GetRemoved() {
		delete(r.rows, tables.EndpointID(id))
	}
	if update != nil {
		r.source, r.version = update.GetSource(), update.GetVersion()
	}
	r.releaseHeld()
	return errors.Join(errs...)
}

// keepHigherWeights raises the weights of an endpoint that the source has sent to those known.
func (r *Replica) keepHigherWeights(e *Endpoint, known map[string]uint64) {
	sent := maps.Clone(e.Weights)
	for model, version := range known {
		e.Weights[model] = max(e.Weights[model], version)
	}
	if !maps.Equal(sent, e.Weights) {
		r.held[e.ID] = sent
	}
}

// HoldsWeights reports whether weights are kept that the source has not sent, so that an answer without a change
// may change the replica.
func (r *Replica) HoldsWeights() bool { return len(r.held) > 0 }

// releaseHeld takes the weights over that the source has sent once it has answered often enough.
func (r *Replica) releaseHeld() {
	if r.answersSinceFull < maxHeldAnswers {
		return
	}
	for id, weights := range r.held {
		if e, present := r.rows[id]; present {
			e.Weights = weights
			r.rows[id] = e
		}
	}
	clear(r.held)
}

// Endpoints returns a copy of the table. The Weights maps in it are shared and
// must not be modified.
func (r *Replica) Endpoints() map[tables.EndpointID]Endpoint { return maps.Clone(r.rows) }
