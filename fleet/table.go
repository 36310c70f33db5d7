package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// maxTombstones bounds the removals that are remembered for differences; a copy
// that is further behind gets all endpoints.
const maxTombstones = 512

// Table is a control instance's view of all endpoints. It is safe for
// concurrent use.
type Table struct {
	source uint64

	mu sync.Mutex
	// synced is set once the table was taken over from the list or from another instance.
	synced  bool
	version uint64
	rows    map[tables.EndpointID]*row
	// changeLog lists rows by the version of their change. Those that have changed again since
	// stand there more than once, and only the last one counts.
	changeLog []change
	tombstones []tombstone
	// oldestDeltaBase is the oldest version that differences can start from.
	oldestDeltaBase uint64
	changed chan struct{}
	// cachedDeltas are those that were asked for since the last change, by the version that they
	// start from, and full is the one with all endpoints. Followers share them: most ask for
	// the same.
	cachedDeltas map[uint64]*rpc.Fleet
	cachedFull    *rpc.Fleet
}

type row struct {
	Endpoint
	// version is that of the table at the row's last change.
	version uint64
}

type change struct {
	id      tables.EndpointID
	version uint64
}

type tombstone struct {
	id      tables.EndpointID
	version uint64
}

// NewTable returns an empty table. The source must differ between any two lives
// of control instances: versions of two tables cannot be compared.
func NewTable(source uint64) *Table {
	return &Table{
		source: source, rows: map[tables.EndpointID]*row{}, changed: make(chan struct{}), cachedDeltas: map[uint64]*rpc.Fleet{},
	}
}

// ApplyList takes over what the platform's list says, which lags behind. An endpoint
// that was seen to drain stays so for its life, and weights only grow: an older
// page of the list must not bring back what is over.
func (t *Table) ApplyList(listed []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.markSynced()
	seen := make(map[tables.EndpointID]bool, len(listed))
	for _, e := range listed {
		seen[e.ID] = true
		changed = t.upsert(t.merge(e)) || changed
	}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		if !seen[id] {
			t.remove(id)
			changed = true
		}
	}
	t.commit(changed)
}

// markSynced notes that the table holds what others know, and says whether it did not before.
func (t *Table) markSynced() (first bool) {
	first = !t.synced
	t.synced = true
	return first
}

func (t *Table) merge(listed Endpoint) Endpoint {
	e := listed.Clone()
	known := t.rows[e.ID]
	if known == nil || known.StartUnixMilli != e.StartUnixMilli && e.StartUnixMilli != 0 {
		return e
	}
	e.Draining = e.Draining || known.Draining
	e.Loading = known.Loading
	for model, version := range known.Weights {
		e.Weights[model] = max(e.Weights[model], version)
	}
	return e
}

// RecordWeights notes which version of a model an endpoint has said it serves.
func (t *Table) RecordWeights(id tables.EndpointID, model string, version uint64) {
	t.mutate(id, func(e *Endpoint) { e.Weights[model] = max(e.Weights[model], version) })
}

// SetLoading notes whether an order is being carried out at an endpoint.
func (t *Table) SetLoading(id tables.EndpointID, loading bool) {
	t.mutate(id, func(e *Endpoint) { e.Loading = loading })
}

// Mirror takes over the endpoints of the instance that gives orders, what it
// says of orders included.
func (t *Table) Mirror(leaderEndpoints map[tables.EndpointID]Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.markSynced()
	for _, id := range slices.Sorted(maps.Keys(leaderEndpoints)) {
		e := t.merge(leaderEndpoints[id])
		e.Loading = leaderEndpoints[id].Loading
		changed = t.upsert(e) || changed
	}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		if _, present := leaderEndpoints[id]; !present {
			t.remove(id)
			changed = true
		}
	}
	t.commit(changed)
}

// ClearLoading notes that nobody is known to give orders now.
func (t *Table) ClearLoading() {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, r := range t.rows {
		if r.Loading {
			e := r.Clone()
			e.Loading = false
			changed = t.upsert(e) || changed
		}
	}
	t.commit(changed)
}

func (t *Table) mutate(id tables.EndpointID, f func(*Endpoint)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.rows[id]
	if known == nil {
		return
	}
	e := known.Clone()
	f(&e)
	t.commit(t.upsert(e))
}

// upsert replaces a row under the next version and says whether it differs.
func (t *Table) upsert(e Endpoint) bool {
	known := t.rows[e.ID]
	if known != nil && known.Equal(&e) {
		return false
	}
	if known == nil || known.version != t.version+1 {
		t.logChange(e.ID)
	}
	t.rows[e.ID] = &row{Endpoint: e, version: t.version + 1}
	return true
}

// minStaleLogEntries is how many outdated entries of changes are kept at least.
const minStaleLogEntries = 64

// logChange lists a row as changed in the next version.
func (t *Table) logChange(id tables.EndpointID) {
	if len(t.changeLog) > 2*len(t.rows)+minStaleLogEntries {
		t.changeLog = slices.DeleteFunc(t.changeLog, func(c change) bool { return !t.isCurrent(c) })
	}
	t.changeLog = append(t.changeLog, change{id: id, version: t.version + 1})
}

// isCurrent says whether a change is the last one of a row that is still there.
func (t *Table) isCurrent(c change) bool {
	r := t.rows[c.id]
	return r != nil && r.version == c.version
}

func (t *Table) remove(id tables.EndpointID) {
	delete(t.rows, id)
	t.tombstones = append(t.tombstones, tombstone{id: id, version: t.version + 1})
	if len(t.tombstones) > maxTombstones {
		t.oldestDeltaBase = t.tombstones[0].version
		t.tombstones = t.tombstones[1:]
	}
}

func (t *Table) commit(changed bool) {
	if !changed {
		return
	}
	t.version++
	clear(t.cachedDeltas)
	t.cachedFull = nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// Len is the number of endpoints.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Version changes with the table; it is 0 while the table is empty as at its start.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Endpoints returns all endpoints, by identity.
func (t *Table) Endpoints() []Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Endpoint, 0, len(t.rows))
	for _, r := range t.rows {
		all = append(all, r.Clone())
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// UpdateSince returns what brings a copy at the given version of the given source up to date, nil
// if it is, and a channel that is closed at the next change. Callers share the update and must
// not change it. A table that was not filled yet returns none: a copy that took it over would
// lose all endpoints.
func (t *Table) UpdateSince(source, version uint64) (*rpc.Fleet, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.synced {
		return nil, t.changed
	}
	full := source != t.source || version > t.version || version < t.oldestDeltaBase
	if !full && version == t.version {
		return nil, t.changed
	}
	if full {
		return t.fullUpdate(), t.changed
	}
	return t.delta(version), t.changed
}

// fullUpdate is the update with fullUpdate endpoints.
func (t *Table) fullUpdate() *rpc.Fleet {
	if t.cachedFull != nil {
		return t.cachedFull
	}
	t.cachedFull = &rpc.Fleet{Source: t.source, Version: t.version, Full: true}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		t.cachedFull.Endpoints = append(t.cachedFull.Endpoints, encode(&t.rows[id].Endpoint))
	}
	return t.cachedFull
}

// delta is the update that starts from a version.
func (t *Table) delta(version uint64) *rpc.Fleet {
	if known := t.cachedDeltas[version]; known != nil {
		return known
	}
	update := &rpc.Fleet{Source: t.source, Version: t.version}
	for i := len(t.changeLog) - 1; i >= 0 && t.changeLog[i].version > version; i-- {
		if t.isCurrent(t.changeLog[i]) {
			update.Endpoints = append(update.Endpoints, encode(&t.rows[t.changeLog[i].id].Endpoint))
		}
	}
	slices.SortFunc(update.Endpoints, func(a, b *rpc.FleetEndpoint) int { return cmp.Compare(a.GetId(), b.GetId()) })
	for _, gone := range t.tombstones {
		if gone.version > version && t.rows[gone.id] == nil {
			update.Removed = append(update.Removed, string(gone.id))
		}
	}
	t.cachedDeltas[version] = update
	return update
}
