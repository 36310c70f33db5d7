package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// maxTombstones bounds the removals that a table keeps for deltas. A replica
// that lags by more removals gets a full update.
const maxTombstones = 512

// Table is a control instance's versioned table of all endpoints. Each change
// increments the version; a log of changed rows and the tombstones of removed
// ones yield the delta from an earlier version. It is safe for concurrent use.
type Table struct {
	// source identifies this table. Versions of different tables are not comparable.
	source uint64

	mu sync.Mutex
	// synced is set once the table was filled from the platform's list or from the
	// leader's table.
	synced  bool
	version uint64
	rows    map[tables.EndpointID]*row
	// changeLog lists changed rows in the order of their versions. A row that has changed
	// several times has several entries, of which only the last is current.
	changeLog  []change
	tombstones []tombstone
	// oldestDeltaBase is the oldest version from which a delta can be computed.
	oldestDeltaBase uint64
	changed         chan struct{}
	// listed is what the list showed when it was last applied, listsApplied how often it was.
	listed       map[tables.EndpointID]map[string]uint64
	listsApplied uint64
	// reports holds what endpoints have reported to this instance itself.
	reports map[tables.EndpointID]*reportedWeights
	// readyLists counts, by endpoint that is Draining, the lists in a row that show it as ready.
	readyLists map[tables.EndpointID]int
	// cachedDeltas holds the deltas computed since the last change, by base version, and
	// cachedFull the full update. Replicas share them, since most request the same one.
	cachedDeltas map[uint64]*rpc.Fleet
	cachedFull   *rpc.Fleet
}

type row struct {
	Endpoint
	// version is the table's version that the row's last change led to.
	version uint64
}

// change is an entry of the change log.
type change struct {
	id      tables.EndpointID
	version uint64
}

// tombstone records the removal of a row.
type tombstone struct {
	id      tables.EndpointID
	version uint64
}

// NewTable returns an empty table. The source must be unique to each start of each
// control instance, since versions of different tables are not comparable.
func NewTable(source uint64) *Table {
	return &Table{
		source: source, rows: map[tables.EndpointID]*row{}, changed: make(chan struct{}), cachedDeltas: map[uint64]*rpc.Fleet{},
		reports:    map[tables.EndpointID]*reportedWeights{},
		readyLists: map[tables.EndpointID]int{},
	}
}

// ApplyList replaces the rows by the platform's list. The list lags, and an older
// page of it must not revert newer information: within one incarnation, Draining
// stays set until many lists in a row show the endpoint without it, and the list
// never lowers the versions of weights.
func (t *Table) ApplyList(listed []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed, t.listsApplied = listedWeights(listed), t.listsApplied+1
	changed := t.markSynced()
	chosen := t.uniqueByID(listed)
	for i, e := range listed {
		if chosen[e.ID] == i {
			changed = t.upsert(t.mergeListed(e)) || changed
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		if _, present := chosen[id]; !present {
			t.remove(id)
			changed = true
		}
	}
	t.commit(changed)
}

// uniqueByID returns the index of the entry for each identity. Of several, the one that continues the known
// row is chosen, or else the first: another must not take the place of an endpoint that is in use.
func (t *Table) uniqueByID(listed []Endpoint) map[tables.EndpointID]int {
	chosen := make(map[tables.EndpointID]int, len(listed))
	for i, e := range listed {
		before, present := chosen[e.ID]
		if !present || t.continues(e) && !t.continues(listed[before]) {
			chosen[e.ID] = i
		}
	}
	return chosen
}

// continues reports whether a listed endpoint is the process of the known row.
func (t *Table) continues(e Endpoint) bool {
	known := t.rows[e.ID]
	return known != nil && known.Address == e.Address && known.Service == e.Service && known.StartUnixMilli == e.StartUnixMilli
}

// markSynced sets synced and reports whether it was unset before.
func (t *Table) markSynced() (first bool) {
	first = !t.synced
	t.synced = true
	return first
}

// isSameProcess reports whether a listed endpoint may be the process of a known row, which may be nil.
func isSameProcess(known *row, listed Endpoint) bool {
	return known != nil && (known.StartUnixMilli == listed.StartUnixMilli || listed.StartUnixMilli == 0)
}

// merge combines a listed endpoint with the known row of the same incarnation. A
// listed endpoint without a start time counts as the same incarnation.
func (t *Table) merge(listed Endpoint) Endpoint {
	e := listed.Clone()
	known := t.rows[e.ID]
	if !isSameProcess(known, e) {
		return e
	}
	e.mergeDraining(&known.Endpoint)
	e.Loading = known.Loading
	if e.Weights == nil {
		e.Weights = make(map[string]uint64, len(known.Weights))
	}
	report := t.reportOf(&e)
	for model, version := range known.Weights {
		if claimed := e.Weights[model]; claimed < version || report.refutes(model, claimed) {
			e.Weights[model] = version
		}
	}
	return e
}

// SetLoading sets whether an endpoint is executing an order to load weights.
func (t *Table) SetLoading(id tables.EndpointID, loading bool) {
	t.mutate(id, func(e *Endpoint) { e.Loading = loading })
}

// SetDraining records that an endpoint has announced that it is about to stop, unless the row
// is of a process with another start time than the given one. Zero is unknown.
func (t *Table) SetDraining(id tables.EndpointID, startUnixMilli int64) {
	t.mutate(id, func(e *Endpoint) {
		if e.mayStartAt(startUnixMilli) {
			e.Draining = true
			t.readyLists[id] = announcedDraining
		}
	})
}

// Mirror replaces the rows by those of the leader, which sends the orders. Unlike
// ApplyList, it takes Loading from them, and lower versions of weights unless the endpoint
// has reported its own to this instance.
func (t *Table) Mirror(leaderEndpoints map[tables.EndpointID]Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.markSynced()
	for _, id := range slices.Sorted(maps.Keys(leaderEndpoints)) {
		leaders := leaderEndpoints[id]
		e := t.merge(leaders)
		e.Loading = leaders.Loading
		if t.reportOf(&e) == nil {
			e.Weights = leaders.Clone().Weights
		}
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

// ReplaceLoading sets Loading of the given endpoints and resets it for all others.
func (t *Table) ReplaceLoading(loading map[tables.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, r := range t.rows {
		if r.Loading != loading[id] {
			e := r.Clone()
			e.Loading = loading[id]
			changed = t.upsert(e) || changed
		}
	}
	t.commit(changed)
}

// ClearLoading resets Loading of all endpoints. It is called when no instance is
// known to send orders.
func (t *Table) ClearLoading() { t.ReplaceLoading(nil) }

// mutate applies f to a row and commits the result; an unknown endpoint is ignored.
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

// upsert inserts or replaces a row under the next version, and reports whether the
// row changed. commit makes that version current.
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

// minStaleLogEntries is the least number of stale entries of the change log that
// trigger its compaction, so that small tables are not compacted at each change.
const minStaleLogEntries = 64

// logChange appends a row's change in the next version to the change log, which it
// compacts once more than half of the entries are stale.
func (t *Table) logChange(id tables.EndpointID) {
	if len(t.changeLog) > 2*len(t.rows)+minStaleLogEntries {
		t.changeLog = slices.DeleteFunc(t.changeLog, func(c change) bool { return !t.isCurrent(c) })
	}
	t.changeLog = append(t.changeLog, change{id: id, version: t.version + 1})
}

// isCurrent reports whether an entry is the last change of a row that still exists.
func (t *Table) isCurrent(c change) bool {
	r := t.rows[c.id]
	return r != nil && r.version == c.version
}

// remove deletes a row and keeps a tombstone of it. Beyond maxTombstones it drops
// the oldest tombstone; deltas from versions before that removal are then impossible.
func (t *Table) remove(id tables.EndpointID) {
	delete(t.rows, id)
	delete(t.reports, id)
	delete(t.readyLists, id)
	t.tombstones = append(t.tombstones, tombstone{id: id, version: t.version + 1})
	if len(t.tombstones) > maxTombstones {
		t.oldestDeltaBase = t.tombstones[0].version
		t.tombstones = t.tombstones[1:]
	}
}

// commit makes the next version current if anything changed: it drops the cached
// updates and wakes up the waiting callers of UpdateSince.
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

// Len returns the number of endpoints.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Version returns the current version, which every change increments. A new table
// has version 0.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Endpoints returns deep copies of all endpoints, sorted by identity.
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

// Each calls visit for each endpoint, in any order. visit must neither modify nor keep it, nor call the table.
func (t *Table) Each(visit func(*Endpoint)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		visit(&r.Endpoint)
	}
}

// UpdateSince returns the update that brings a replica at the given position up to date, or nil
// if there is none, and a channel that is closed at the next change. Callers share the update
// and must not modify it. A table that is not synced yet returns no update, since a replica
// that applied it would lose all endpoints.
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

// fullUpdate returns the update that contains all endpoints.
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

// delta returns the changes and removals since a version.
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
	for _, removed := range t.tombstones {
		if removed.version > version && t.rows[removed.id] == nil {
			update.Removed = append(update.Removed, string(removed.id))
		}
	}
	t.cachedDeltas[version] = update
	return update
}
